"""Links of an entry to those other entries that its duties need."""

import asyncio
from collections.abc import Callable

from attrs import define

from boragespring.links import Link, LinkContext, LinkDialer
from boragespring.store.instances import Instance, InstanceRole, InstanceState

__all__ = ["EntryPeers", "EntrySelector"]

#: Chooses the names of the entries to be linked to.
EntrySelector = Callable[[], frozenset[str]]


@define
class _Peer:
    instance: Instance
    dialer: LinkDialer
    task: asyncio.Task[None]


class EntryPeers:
    """Keep links to the chosen entries of the platform's instance list.

    An empty list is not believed: the last one that was not empty stays.

    Parameters
    ----------
    context : LinkContext
        What all links of the process share.
    """

    def __init__(
        self,
        context: LinkContext,
    ) -> None:
        self._context = context
        self._selectors: list[EntrySelector] = []
        self._entries: dict[str, Instance] = {}
        self._ordered: tuple[Instance, ...] = ()
        self._peers: dict[str, _Peer] = {}

    @property
    def entries(self) -> tuple[Instance, ...]:
        """Live entries of the list, in order of name, this one included.

        The same object while they are the same.
        """
        return self._ordered

    def add_selector(self, selector: EntrySelector) -> None:
        """Link to the entries that a selector names at each `refresh`."""
        self._selectors.append(selector)

    def take(self, instances: tuple[Instance, ...]) -> None:
        """Take a new instance list and adapt the links."""
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
        """Dial the entries that are wanted now and drop the others."""
        wanted = frozenset[str]().union(*(select() for select in self._selectors))
        names = wanted & self._entries.keys() - {self._context.local_identity.name}
        for name in self._peers.keys() - names:
            self._peers.pop(name).task.cancel()
        for name in names:
            self._follow(self._entries[name])

    def link_to(self, name: str) -> Link | None:
        """Return the open link to an entry, or None."""
        peer = self._peers.get(name)
        return peer.dialer.link if peer is not None else None

    def stop(self) -> None:
        """End all dialling."""
        for peer in self._peers.values():
            peer.task.cancel()
        self._peers.clear()

    def _follow(self, instance: Instance) -> None:
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
        self._peers[instance.name] = _Peer(instance, dialer, task)


def _address(instance: Instance) -> tuple[str, int]:
    return instance.host, instance.link_port
