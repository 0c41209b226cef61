"""Tell the other gateways that one stops, and know which of them do."""

import time
from collections.abc import Callable

from boragespring.gateway_peers.messages import GatewayLeaving
from boragespring.gateway_peers.network import PeerNetwork
from boragespring.links import Dispatcher, Link

__all__ = ["StopSharing"]

#: Time for which a gateway that is stopping is remembered.
LEAVING_TTL_S = 15.0


class StopSharing:
    """Exchange which gateways are stopping.

    Parameters
    ----------
    dispatcher : Dispatcher
        Reports new links.
    network : PeerNetwork
        Links to the other gateways, and those of them that are stopping.
    clock : callable, default=time.monotonic
        Source of time in seconds.

    Attributes
    ----------
    stopping_hooks : list of callable
        Called with the name of a gateway that begins to stop.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        network: PeerNetwork,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._network = network
        self._clock = clock
        self._is_leaving = False
        self.stopping_hooks: list[Callable[[str], None]] = []
        network.on_broadcast(GatewayLeaving, self._handle_leaving)
        dispatcher.on_up(self._on_up)

    def has_serving_peer(self) -> bool:
        """Return whether at least one other gateway is not stopping.

        Gateways without a link count too, as long as some gateway is linked.
        """
        if not self._network.linked_names():
            return False
        names = {*self._network.linked_names(), *self._network.known_names()}
        return bool(names - self._network.leaving.keys())

    def leave(self) -> None:
        """Inform the other gateways at once that this one is stopping."""
        self._is_leaving = True
        self._network.broadcast(GatewayLeaving(self._network.local_name))

    def expire_outdated(self) -> None:
        """Forget the gateways whose stop began long ago."""
        cutoff_s = self._clock() - LEAVING_TTL_S
        leaving = self._network.leaving
        for name in [name for name, at_s in leaving.items() if at_s < cutoff_s]:
            del leaving[name]

    def _on_up(self, link: Link) -> None:
        # To its peer, a new link is one to a gateway that has started again.
        if self._is_leaving:
            link.send(GatewayLeaving(self._network.local_name))

    def _handle_leaving(self, message: GatewayLeaving) -> None:
        is_known = message.name in self._network.leaving
        self._network.leaving[message.name] = self._clock()
        if is_known:
            return
        for hook in self.stopping_hooks:
            hook(message.name)
