"""Links between entries."""

import asyncio
from collections.abc import Callable

from attrs import define

from boragespring.links import Link, LinkContext, LinkDialer
from boragespring.store.instances import Instance, InstanceRole, InstanceState

__all__ = ["EntryPeers", "EntrySelector"]

#: Returns the names of the entries to link to.
EntrySelector = Callable[[], frozenset[str]]


@define
class _EntryPeer:
    """Entry, and the dialer and task that maintain the link to it."""

    instance: Instance
    dialer: LinkDialer
    task: asyncio.Task[None]


class EntryPeers:
    """Maintain links to the entries that registered selectors choose.

    The entries come from the platform's instance list. A list without live
    entries is taken to be faulty, and the previous one stays in use.

    Parameters
    ----------
    context : LinkContext
        Context shared by all links of the process.
    """

    def __init__(
        self,
        context: LinkContext,
    ) -> None:
        self._context = context
        self._selectors: list[EntrySelector] = []
        self._entries: dict[str, Instance] = {}
        self._ordered: tuple[Instance, ...] = ()
        self._peers: dict[str, _EntryPeer] = {}

    @property
    def entries(self) -> tuple[Instance, ...]:
        """Live entries in order of name, including this one.

        The same tuple is returned until the entries change.
        """
        return self._ordered

    def add_selector(self, selector: EntrySelector) -> None:
        """Add a selector, which is called at each `refresh`."""
        self._selectors.append(selector)

    def apply_instances(self, instances: tuple[Instance, ...]) -> None:
        """Apply a new instance list and update the links."""
        live = {
            instance.name: instance
            for instance in instances
            if instance.role is InstanceRole.ENTRY
            and instance.state is InstanceState.LIVE
        }
        if live and live != self._entries:
            self._entries = live
            self._ordered = tuple(live[name] for name in sorted(live))
        self.refresh()

    def refresh(self) -> None:
        """Open links to the selected entries and close all others."""
        wanted = frozenset[str]().union(*(select() for select in self._selectors))
        names = wanted & self._entries.keys() - {self._context.local_identity.name}
        for name in self._peers.keys() - names:
            self._peers.pop(name).task.cancel()
        for name in names:
            self._ensure_link(self._entries[name])

    def link_to(self, name: str) -> Link | None:
        """Return the open link to an entry, or None if there is none."""
        peer = self._peers.get(name)
        return peer.dialer.link if peer is not None else None

    def down_since_s(self, name: str) -> float:
        """Return the monotonic time since which a dialed entry has had no link.

        It is infinite for an entry with an open link and for one that is not dialed.
        """
        peer = self._peers.get(name)
        if peer is None or peer.dialer.link is not None:
            return float("inf")
        return peer.dialer.down_since_s

    def stop(self) -> None:
        """Close all links."""
        for peer in self._peers.values():
            peer.task.cancel()
        self._peers.clear()

    def _ensure_link(self, instance: Instance) -> None:
        """Dial an entry unless a link to its current address is maintained."""
        peer = self._peers.get(instance.name)
        if peer is not None:
            if _address(peer.instance) == _address(instance):
                return
            peer.task.cancel()
        dialer = LinkDialer(
            instance.host,
            instance.link_port,
            self._context,
        )
        task = asyncio.create_task(dialer.run())
        self._peers[instance.name] = _EntryPeer(instance, dialer, task)


def _address(instance: Instance) -> tuple[str, int]:
    return instance.host, instance.link_port
