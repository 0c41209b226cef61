"""Links between gateways, and broadcasts over them by way of the relays."""

import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from attrs import frozen

from boragespring.gateway_peers.messages import JoinRelay
from boragespring.gateway_peers.topology import (
    Topology,
    TopologySettings,
    build_topology,
    is_seed,
)
from boragespring.gateway_peers.watch_rotation import GatewayLocation
from boragespring.links import Dispatcher, Link, LinkClosedError
from boragespring.links.codec import Message
from boragespring.membership.entry_peers import EntryPeers
from boragespring.store.instances import Instance

__all__ = ["PeerNetwork", "PeerNetworkSettings"]

M = TypeVar("M")
#: Returns whether a gateway needs a message.
RecipientFilter = Callable[[str, Any], bool]


@frozen
class PeerNetworkSettings:
    """Conditions for choosing and replacing relays.

    Parameters
    ----------
    topology : TopologySettings
        Number of relays.
    unreachable_after_s : float
        Time in seconds without a link after which another gateway replaces a relay.
    """

    topology: TopologySettings = TopologySettings()
    unreachable_after_s: float = 0.4


class PeerNetwork:
    """Maintain the links of this gateway and forward broadcasts of others.

    A gateway that is no relay *joins* one relay of its zone. A broadcast goes from its
    sender to the relay that it has joined, from there to all other relays, and from
    each of them to the gateways that have joined it.

    Parameters
    ----------
    local : Instance
        This gateway.
    dispatcher : Dispatcher
        Registry for the message handlers and link hooks of this class.
    entries : EntryPeers
        Known gateways, and the links that this gateway dials.
    settings : PeerNetworkSettings
        Conditions for choosing and replacing relays.
    clock : callable, default=time.monotonic
        Source of time in seconds.

    Attributes
    ----------
    change_hooks : list of callable
        Called after a gateway joined this one, this one joined a relay, or a link came
        up.
    leaving : dict of str to float
        Monotonic times at which gateways announced that they are stopping, by name.
    """

    def __init__(
        self,
        local: Instance,
        dispatcher: Dispatcher,
        entries: EntryPeers,
        settings: PeerNetworkSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._local = local
        self._dispatcher = dispatcher
        self._entries = entries
        self._settings = settings
        self._clock = clock
        self._links: dict[str, list[Link]] = {}
        self._joined: dict[str, Link] = {}
        self._uplink: Link | None = None
        self._topology = Topology({}, {})
        self.leaving: dict[str, float] = {}
        self.change_hooks: list[Callable[[], None]] = []
        entries.add_selector(self._names_to_link)
        dispatcher.on_up(self._on_up)
        dispatcher.on_down(self._on_down)
        dispatcher.on(JoinRelay, self._handle_join)

    @property
    def is_relay(self) -> bool:
        """Whether this gateway relays messages to others."""
        return self._topology.is_relay(self._local.name)

    @property
    def local_name(self) -> str:
        """Name of this gateway."""
        return self._local.name

    def apply_gateways(self, gateways: tuple[Instance, ...]) -> None:
        """Apply a new list of gateways and update the links."""
        self._entries.apply_instances(gateways)
        self._choose_uplink()

    def refresh(self) -> None:
        """Replace relays that are unreachable; called periodically."""
        self._entries.refresh()
        self._choose_uplink()

    def links(self) -> list[Link]:
        """Return one open link to each linked gateway."""
        open_links = (self._open_link(name) for name in self._links)
        return [link for link in open_links if link is not None]

    def linked_names(self) -> list[str]:
        """Return the names of the linked gateways."""
        return list(self._links)

    def known_names(self) -> list[str]:
        """Return the names of all other known gateways."""
        names = (gateway.name for gateway in self._entries.entries)
        return [name for name in names if name != self._local.name]

    def joined_links(self) -> dict[str, Link]:
        """Return the links to the gateways that have joined this one."""
        return self._joined

    def upstream_links(self) -> dict[str, Link]:
        """Return the links to the gateways that connect this one to the others.

        These are the other relays or, for a gateway that is no relay, the joined one.
        """
        if not self.is_relay:
            if self._uplink is None or not self._uplink.is_up:
                return {}
            return {self._uplink.peer.name: self._uplink}
        links = {name: self._open_link(name) for name in self._topology.relay_names()}
        return {name: link for name, link in links.items() if link is not None}

    def reachable_relays(self) -> list[GatewayLocation]:
        """Return the relays as this gateway sees them.

        A relay counts itself and the relays to which it has a link. Another gateway,
        which has no link to the relays of other zones, counts all of them.
        """
        relays = [
            GatewayLocation(name, zone)
            for zone, names in self._topology.relays.items()
            for name in names
        ]
        if not self.is_relay:
            return relays
        return [
            relay
            for relay in relays
            if relay.name in self._links or relay.name == self._local.name
        ]

    def reachable_fraction(self) -> float:
        """Return the fraction of all known gateways that this relay can reach.

        A reachable relay stands for its part of the gateways of its zone.
        """
        known = {one.name: one for one in (*self._entries.entries, self._local)}
        sizes = Counter(one.availability_zone for one in known.values())
        relays_max = self._settings.topology.relays_per_zone
        reached = sum(
            sizes[relay.availability_zone]
            / min(relays_max, sizes[relay.availability_zone])
            for relay in self.reachable_relays()
        )
        # This gateway counts also while it knows no relay.
        return min(1.0, max(1.0, reached) / sizes.total())

    def broadcast(self, message: Message, needs: RecipientFilter | None = None) -> None:
        """Send a message to all other gateways, or to those that need it."""
        self._send_upstream(message, needs)
        _send(self._joined, message, needs)

    def on_broadcast(
        self,
        cls: type[M],
        handler: Callable[[M], None],
        needs: RecipientFilter | None = None,
    ) -> None:
        """Register the handler of a class of broadcasts, which are also forwarded.

        Parameters
        ----------
        cls : type
            Class of the message.
        handler : callable
            Handles the message in this process.
        needs : callable, optional
            Returns whether a gateway needs the message; all do by default.
        """

        def handle(link: Link, message: M) -> None:
            self._forward(link, message, needs)
            handler(message)

        self._dispatcher.on(cls, handle)

    def forward_to_joined(self, message: Message) -> None:
        """Send a message to the gateways that have joined this one."""
        _send(self._joined, message, None)

    def _forward(
        self, link: Link, message: Message, needs: RecipientFilter | None
    ) -> None:
        sender = link.peer.name
        if sender in self._joined:
            self._send_upstream(message, needs)
        joined = {name: to for name, to in self._joined.items() if name != sender}
        _send(joined, message, needs)

    def _send_upstream(self, message: Message, needs: RecipientFilter | None) -> None:
        # Only the joined relay knows which of the other gateways need a message.
        _send(self.upstream_links(), message, needs if self.is_relay else None)

    def _names_to_link(self) -> frozenset[str]:
        """Return the names of the gateways to dial, by the present topology."""
        gateways = self._entries.entries
        if all(is_seed(gateway) for gateway in gateways):
            return frozenset(gateway.name for gateway in gateways)
        known = {gateway.name: gateway for gateway in (*gateways, self._local)}
        self._topology = build_topology(
            known.values(), self._unreachable(known), self._settings.topology
        )
        return self._topology.names_to_link(self._local)

    def _unreachable(self, names: Iterable[str]) -> set[str]:
        cutoff_s = self._clock() - self._settings.unreachable_after_s
        return {
            name
            for name in names
            if self._open_link(name) is None
            and self._entries.down_since_s(name) < cutoff_s
        }

    def _open_link(self, name: str) -> Link | None:
        links = (link for link in self._links.get(name, ()) if link.is_up)
        return next(links, None)

    def _choose_uplink(self) -> None:
        """Join the first relay of the zone that has an open link."""
        names = [
            name
            for name in self._topology.uplink_names(self._local)
            if self._open_link(name) is not None
        ]
        staying = [name for name in names if name not in self.leaving]
        chosen = next(iter(staying or names), None)
        link = self._open_link(chosen) if chosen is not None else None
        if link is self._uplink:
            return
        previous, self._uplink = self._uplink, link
        if previous is not None and previous.is_up:
            previous.send(JoinRelay(False))
        if link is not None:
            link.send(JoinRelay(True))
        self._notify_changed()

    def _on_up(self, link: Link) -> None:
        self._links.setdefault(link.peer.name, []).append(link)
        self.leaving.pop(link.peer.name, None)
        self._choose_uplink()
        self._notify_changed()

    def _on_down(self, link: Link) -> None:
        name = link.peer.name
        remaining = [other for other in self._links.get(name, []) if other is not link]
        if remaining:
            self._links[name] = remaining
        else:
            self._links.pop(name, None)
        if self._joined.get(name) is link:
            del self._joined[name]
        self._choose_uplink()

    def _handle_join(self, link: Link, message: JoinRelay) -> None:
        name = link.peer.name
        if message.is_joined:
            self._joined[name] = link
            self._notify_changed()
        elif self._joined.get(name) is link:
            # It may have joined again on another link in the meantime.
            del self._joined[name]

    def _notify_changed(self) -> None:
        for hook in self.change_hooks:
            hook()


def _send(
    links: Mapping[str, Link], message: Message, needs: RecipientFilter | None
) -> None:
    for name, link in links.items():
        if needs is not None and not needs(name, message):
            continue
        try:
            link.send(message)
        except LinkClosedError:
            # The receivers bound the time for which they wait for a message.
            continue
