"""Exchange the load of each backend server between gateways.

Each gateway passes on the sum of what it knows: to the relay that it has joined or to
the other relays, its own load and that of the gateways that have joined it; to a joined
gateway, the load of all others. So the number of messages that a gateway receives does
not depend on the number of gateways. Only changed sums are sent.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from enum import Enum, auto

from attrs import define, field, frozen

from boragespring.event_loop import sleep_until_tick
from boragespring.external_values import (
    check_integer,
    check_number,
    check_row,
    check_text,
)
from boragespring.fleet import Fleet
from boragespring.fleet.model import BackendServer, PeerLoad, ServerLoadTotals
from boragespring.gateway_peers.messages import GatewayLoads
from boragespring.gateway_peers.network import PeerNetwork
from boragespring.links import Dispatcher, Link, LinkClosedError

__all__ = ["LoadSharing", "LoadSharingSettings"]

NO_LOAD = ServerLoadTotals(0, 0.0, 0.0)


class _PeerKind(Enum):
    """What a peer is to this gateway."""

    #: The peer has joined this gateway.
    JOINED = auto()
    #: This gateway has joined the peer.
    UPLINK = auto()
    #: Both are relays.
    RELAY = auto()


@define
class _SentLoads:
    """Loads that one peer knows from this gateway.

    Parameters
    ----------
    link : Link
        Link on which all loads were sent.
    kind : _PeerKind
        What the peer is to this gateway, on which the loads that it needs depend.
    loads : dict of str to ServerLoadTotals
        Last load that was sent of each server that had one.
    """

    link: Link
    kind: _PeerKind
    loads: dict[str, ServerLoadTotals] = field(factory=dict)


@frozen
class LoadSharingSettings:
    """Lifetime of received loads and delay of updates.

    Parameters
    ----------
    lost_link_grace_s : float
        Time in seconds for which the loads of a peer still count after its link was
        lost. It is short, because those of a failed relay soon come by way of another.
    update_delay_s : float
        Delay in seconds of an update after a run is placed; placements within it are
        sent together.
    relay_delay_s : float
        The same for loads received from other gateways.
    update_interval_s : float
        Time in seconds between two updates with all other changes, such as runs that
        have ended.
    """

    lost_link_grace_s: float = 0.5
    update_delay_s: float = 0.01
    relay_delay_s: float = 0.05
    update_interval_s: float = 0.15


class LoadSharing:
    """Send changed loads periodically and soon after a run is placed.

    Parameters
    ----------
    fleet : Fleet
        Servers whose local loads are sent and whose peer loads are stored.
    dispatcher : Dispatcher
        Registry for the message handlers of this class.
    network : PeerNetwork
        Links to the other gateways.
    settings : LoadSharingSettings
        Lifetime and delays.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        dispatcher: Dispatcher,
        network: PeerNetwork,
        settings: LoadSharingSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet = fleet
        self._network = network
        self._settings = settings
        self._clock = clock
        #: Loads received from each peer, by server.
        self._received: dict[str, dict[str, PeerLoad]] = {}
        #: Link on which each peer sent all its loads. They count as long as it is open.
        self._received_on: dict[str, Link] = {}
        #: Peers whose loads are counted. Two relays can report the same loads, of which
        #: only one counts.
        self._counted: set[str] = set()
        #: Role, joined and counted peers at the last update.
        self._structure: tuple[bool, frozenset[str], frozenset[str]] | None = None
        #: Local load of each server at the last update.
        self._local: dict[str, ServerLoadTotals] = {}
        #: Servers whose load has changed since the last update.
        self._changed: set[str] = set()
        #: Monotonic times at which the loads of lost peers are dropped.
        self._drop_at_s: dict[str, float] = {}
        #: What each receiver of loads knows.
        self._sent: dict[str, _SentLoads] = {}
        self._update_due_at_s = float("inf")
        self._update: asyncio.TimerHandle | None = None
        dispatcher.on(GatewayLoads, self._handle_loads)
        network.change_hooks.append(self._send_changes)
        dispatcher.on_down(self._on_down)
        fleet.join_hooks.append(self._on_server_joined)

    async def run(self) -> None:
        """Send changes periodically until cancelled."""
        while True:
            await sleep_until_tick(self._settings.update_interval_s)
            self._send_changes()

    def schedule_update(self) -> None:
        """Send the current loads soon, without waiting for the next interval."""
        self._schedule(self._settings.update_delay_s)

    def expire_outdated(self) -> None:
        """Drop the loads of peers whose link was lost and not opened again."""
        now_s = self._clock()
        due = [name for name, drop_at_s in self._drop_at_s.items() if drop_at_s < now_s]
        for name in due:
            self._drop(name)

    def has_load(self, name: str, server_id: str) -> bool:
        """Return whether a peer reported requests on a server, or may have some."""
        if name not in self._received:
            return True
        return server_id in self._received[name]

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_at_s = loop.time() + delay_s
        if due_at_s >= self._update_due_at_s:
            return
        if self._update is not None:
            self._update.cancel()
        self._update_due_at_s = due_at_s
        self._update = loop.call_at(due_at_s, self._send_changes)

    def _send_changes(self) -> None:
        if self._update is not None:
            self._update.cancel()
        self._update, self._update_due_at_s = None, float("inf")
        self._collect_local_changes()
        self._choose_counted()
        changed, self._changed = self._changed, set()
        if self._has_new_structure():
            changed.update(self._loaded_servers(), *map(_servers, self._sent.values()))
        receivers = self._receivers()
        self._withdraw_from(self._sent.keys() - receivers.keys())
        for name, link in receivers.items():
            kind = self._kind(name)
            sent = self._sent.get(name)
            if sent is None or sent.link is not link or sent.kind is not kind:
                self._sent[name] = _SentLoads(link, kind)
                self._send(name, self._loaded_servers(), True)
            elif changed:
                self._send(name, changed, False)

    def _has_new_structure(self) -> bool:
        """Return whether other peers count or get loads than at the last update."""
        joined = frozenset(self._network.joined_links())
        structure = (self._network.is_relay, joined, frozenset(self._counted))
        is_new = structure != self._structure
        self._structure = structure
        return is_new

    def _kind(self, name: str) -> _PeerKind:
        if name in self._network.joined_links():
            return _PeerKind.JOINED
        return _PeerKind.RELAY if self._network.is_relay else _PeerKind.UPLINK

    def _receivers(self) -> dict[str, Link]:
        return {**self._network.upstream_links(), **self._network.joined_links()}

    def _withdraw_from(self, names: Iterable[str]) -> None:
        """Withdraw the reported loads from peers that now get them from others."""
        for name in names:
            link = self._sent.pop(name).link
            if link.is_up:
                link.send(GatewayLoads([], True))

    def _loaded_servers(self) -> set[str]:
        received = (self._received[name].keys() for name in self._counted)
        return {*self._local}.union(*received)

    def _choose_counted(self) -> None:
        """Update which peers' loads count after links or roles have changed.

        A relay gets distinct loads from each peer. Any other gateway gets those of all
        others from the relay that it has joined; until that one has reported, those
        from the previous relay still count.
        """
        counted = set(self._received)
        if not self._network.is_relay:
            joined = self._network.joined_links().keys()
            upstream = self._network.upstream_links().keys()
            reporting = upstream & counted or self._counted - joined
            counted = counted & (joined | reporting)
        for name in counted ^ self._counted:
            self._apply(name, self._received.get(name, {}), name in counted)
        self._counted = counted

    def _apply(self, name: str, loads: dict[str, PeerLoad], is_counted: bool) -> None:
        for server_id, load in loads.items():
            server = self._fleet.find(server_id)
            if server is not None:
                _set_peer_load(server, name, load if is_counted else None)
        self._changed.update(loads)

    def _collect_local_changes(self) -> None:
        current = {
            server.server_id: server.local_load
            for server in self._fleet.servers
            if server.runs
        }
        previous, self._local = self._local, current
        self._changed.update(
            server_id
            for server_id in current.keys() | previous.keys()
            if current.get(server_id) != previous.get(server_id)
        )

    def _send(self, name: str, server_ids: Iterable[str], is_complete: bool) -> None:
        sent = self._sent[name]
        sources = [
            self._received[peer]
            for peer in self._counted
            if peer != name and self._is_passed_on(peer, sent.kind)
        ]
        loads = {server_id: self._sum(server_id, sources) for server_id in server_ids}
        new = {
            server_id: load
            for server_id, load in loads.items()
            if load != sent.loads.get(server_id, NO_LOAD)
        }
        if not new and not is_complete:
            return
        for server_id, load in new.items():
            if load.runs:
                sent.loads[server_id] = load
            else:
                sent.loads.pop(server_id, None)
        rows = [[server_id, *load] for server_id, load in new.items()]
        try:
            sent.link.send(GatewayLoads(rows, is_complete))
        except LinkClosedError:
            # After the link is opened again, all loads are sent.
            return

    def _is_passed_on(self, peer: str, receiver_kind: _PeerKind) -> bool:
        """Return whether the loads from a peer are passed on to a receiver."""
        is_joined = peer in self._network.joined_links()
        return is_joined or receiver_kind is _PeerKind.JOINED

    def _sum(
        self, server_id: str, sources: Iterable[dict[str, PeerLoad]]
    ) -> ServerLoadTotals:
        runs, memory_tokens, prefill_tokens = self._local.get(server_id, NO_LOAD)
        for loads in sources:
            load = loads.get(server_id)
            if load is not None:
                runs += load.runs
                memory_tokens += load.memory_tokens
                prefill_tokens += load.prefill_tokens
        return ServerLoadTotals(runs, round(memory_tokens), round(prefill_tokens))

    def _handle_loads(self, link: Link, message: GatewayLoads) -> None:
        name = link.peer.name
        loads = dict(map(_read_load, message.loads))
        if message.is_complete:
            self._drop(name)
            self._received_on[name] = link
        elif self._received_on.get(name) is not link:
            # All loads follow on the link that the peer uses now.
            return
        known = self._received.setdefault(name, {})
        self._choose_counted()
        for server_id, load in loads.items():
            self._store(name, known, server_id, load)
        if self._network.joined_links():
            # Otherwise nobody gets these loads from this gateway.
            self._schedule(self._settings.relay_delay_s)

    def _store(
        self, name: str, known: dict[str, PeerLoad], server_id: str, load: PeerLoad
    ) -> None:
        if load.runs:
            known[server_id] = load
        else:
            known.pop(server_id, None)
        if name not in self._counted:
            return
        server = self._fleet.find(server_id)
        if server is not None:
            _set_peer_load(server, name, known.get(server_id))
        self._changed.add(server_id)

    def _on_down(self, link: Link) -> None:
        name = link.peer.name
        if self._received_on.get(name) is link:
            grace_s = self._settings.lost_link_grace_s
            self._drop_at_s.setdefault(name, self._clock() + grace_s)

    def _drop(self, name: str) -> None:
        """Drop all loads that a peer has reported."""
        self._drop_at_s.pop(name, None)
        self._received_on.pop(name, None)
        self._counted.discard(name)
        self._apply(name, self._received.pop(name, {}), False)

    def _on_server_joined(self, server: BackendServer) -> None:
        """Apply loads that were reported before the server was known here."""
        for name in self._counted:
            loads = self._received[name]
            _set_peer_load(server, name, loads.get(server.server_id))


def _read_load(row: object) -> tuple[str, PeerLoad]:
    server_id, runs, memory_tokens, prefill_tokens = check_row(row, 4)
    return check_text(server_id), PeerLoad(
        check_integer(runs), check_number(memory_tokens), check_number(prefill_tokens)
    )


def _servers(sent: _SentLoads) -> Iterable[str]:
    return sent.loads


def _set_peer_load(server: BackendServer, name: str, load: PeerLoad | None) -> None:
    if load is None:
        server.peer_loads.pop(name, None)
    else:
        server.peer_loads[name] = load
