"""Tell other gateways what this one has at each backend server."""

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
    """How long loads of others are believed.

    Parameters
    ----------
    age_max_s : float
        Age from which the loads of a gateway are dropped.
    notice_pause_s : float
        Shortest time between two notices outside of heartbeats.
    """

    age_max_s: float = 2.0
    notice_pause_s: float = 0.01


class LoadSharing:
    """Send own loads with heartbeats and at once when a run is placed.

    Parameters
    ----------
    fleet : Fleet
        Where loads are read and entered.
    dispatcher : Dispatcher
        Handlers of links.
    links : callable
        Returns the open links to other gateways.
    settings : LoadSharingSettings
        Ages and pauses.
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
        self._is_notice_due = False
        self._leaving_peers: set[str] = set()
        #: Whether this gateway stops.
        self.is_leaving = False
        dispatcher.on(GatewayLoads, self._take)
        dispatcher.on_tick(self._send_on_tick)

    def has_serving_peer(self) -> bool:
        """Return whether a linked gateway does not stop."""
        names = {link.peer.name for link in self._links()}
        return bool(names - self._leaving_peers)

    def leave(self) -> None:
        """Tell the other gateways that this one stops."""
        self.is_leaving = True
        self._send_to_all()

    def schedule_update(self) -> None:
        """Tell the present loads soon, without waiting for a heartbeat."""
        if self._is_notice_due:
            return
        self._is_notice_due = True
        loop = asyncio.get_running_loop()
        loop.call_later(self._settings.notice_pause_s, self._send_to_all)

    def expire_outdated(self) -> None:
        """Forget loads that were not renewed."""
        due_s = self._clock() - self._settings.age_max_s
        for server in self._fleet.servers:
            for name, load in list(server.peer_loads.items()):
                if load.received_at_s < due_s:
                    del server.peer_loads[name]

    def _send_to_all(self) -> None:
        self._is_notice_due = False
        for link in self._links():
            try:
                self._send(link)
            except LinkClosedError:
                # The link is dialled again, and then tells everything.
                continue

    def _send_on_tick(self, link: Link) -> None:
        """Send once to each peer, though two may have dialled each other."""
        own = self._links()
        if link in own or all(one.peer.name != link.peer.name for one in own):
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
            [name, load.runs, round(load.memory_tokens), round(load.prefill_tokens)]
            for name, load in loads
        ]

    def _take(self, link: Link, told: GatewayLoads) -> None:
        now_s = self._clock()
        name = link.peer.name
        if told.is_leaving:
            self._leaving_peers.add(name)
        else:
            self._leaving_peers.discard(name)
        loads = {
            str(row[0]): PeerLoad(int(row[1]), float(row[2]), float(row[3]), now_s)
            for row in told.loads
        }
        for server in self._fleet.servers:
            _enter(server, name, loads.get(server.server_id))


def _enter(server: BackendServer, name: str, load: PeerLoad | None) -> None:
    if load is None:
        server.peer_loads.pop(name, None)
    else:
        server.peer_loads[name] = load
