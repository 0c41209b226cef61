"""Exchange the load of each backend server between gateways."""

import asyncio
import time
from collections.abc import Callable

from attrs import frozen

from boragespring.fleet import Fleet
from boragespring.fleet.model import BackendServer, PeerLoad
from boragespring.gateway_peers.messages import GatewayLoads
from boragespring.links import Dispatcher, Link, LinkClosedError

__all__ = ["LoadSharing", "LoadSharingSettings"]


@frozen
class LoadSharingSettings:
    """Lifetime of received loads and delay of updates.

    Parameters
    ----------
    age_max_s : float
        Age in seconds from which the loads of a peer are dropped.
    update_delay_s : float
        Delay in seconds of an update outside the heartbeats; placements within it are
        sent together.
    """

    age_max_s: float = 2.0
    update_delay_s: float = 0.01


class LoadSharing:
    """Send local loads with each heartbeat and soon after a run is placed.

    Parameters
    ----------
    fleet : Fleet
        Servers whose local loads are sent and whose peer loads are stored.
    dispatcher : Dispatcher
        Registry for the message handlers of this class.
    links : callable
        Returns the open links to other gateways.
    settings : LoadSharingSettings
        Lifetime and delay.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        dispatcher: Dispatcher,
        links: Callable[[], list[Link]],
        settings: LoadSharingSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet = fleet
        self._links = links
        self._settings = settings
        self._clock = clock
        self._is_update_scheduled = False
        self._leaving_peers: set[str] = set()
        #: Whether this gateway is stopping.
        self.is_leaving = False
        dispatcher.on(GatewayLoads, self._handle_loads)
        dispatcher.on_tick(self._send_on_tick)

    def has_serving_peer(self) -> bool:
        """Return whether at least one linked gateway is not stopping."""
        names = {link.peer.name for link in self._links()}
        return bool(names - self._leaving_peers)

    def leave(self) -> None:
        """Inform the other gateways at once that this one is stopping."""
        self.is_leaving = True
        self._send_to_all()

    def schedule_update(self) -> None:
        """Send the current loads soon, without waiting for a heartbeat."""
        if self._is_update_scheduled:
            return
        self._is_update_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(self._settings.update_delay_s, self._send_to_all)

    def expire_outdated(self) -> None:
        """Drop peer loads that were not renewed within `age_max_s`."""
        cutoff_s = self._clock() - self._settings.age_max_s
        for server in self._fleet.servers:
            for name, load in list(server.peer_loads.items()):
                if load.received_at_s < cutoff_s:
                    del server.peer_loads[name]

    def _send_to_all(self) -> None:
        self._is_update_scheduled = False
        for link in self._links():
            try:
                self._send(link)
            except LinkClosedError:
                # After the link is re-established, its heartbeats send all loads.
                continue

    def _send_on_tick(self, link: Link) -> None:
        """Send once per peer, even if both gateways dialled each other."""
        dialled = self._links()
        if link in dialled or all(
            other.peer.name != link.peer.name for other in dialled
        ):
            self._send(link)

    def _send(self, link: Link) -> None:
        link.send(GatewayLoads(self._rows(), self.is_leaving))

    def _rows(self) -> list[list[object]]:
        loads = (
            (server.server_id, server.local_load)
            for server in self._fleet.servers
            if server.runs
        )
        return [
            [
                server_id,
                load.runs,
                round(load.memory_tokens),
                round(load.prefill_tokens),
            ]
            for server_id, load in loads
        ]

    def _handle_loads(self, link: Link, message: GatewayLoads) -> None:
        now_s = self._clock()
        name = link.peer.name
        if message.is_leaving:
            self._leaving_peers.add(name)
        else:
            self._leaving_peers.discard(name)
        loads = {
            str(row[0]): PeerLoad(int(row[1]), float(row[2]), float(row[3]), now_s)
            for row in message.loads
        }
        for server in self._fleet.servers:
            _set_peer_load(server, name, loads.get(server.server_id))


def _set_peer_load(server: BackendServer, name: str, load: PeerLoad | None) -> None:
    if load is None:
        server.peer_loads.pop(name, None)
    else:
        server.peer_loads[name] = load
