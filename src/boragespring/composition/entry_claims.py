"""Wire the way of an entry's claims to the store."""

from boragespring.claims import (
    CombinerSettings,
    CombiningStore,
    NoCombinerError,
    WriteCombiner,
    choose_combiner,
)
from boragespring.claims.messages import CombineWrites, WritesCombined
from boragespring.links import Dispatcher
from boragespring.membership.entry_peers import EntryPeers
from boragespring.store import Instance, KeyValueStore

__all__ = ["EntryClaimWrites"]


class EntryClaimWrites:
    """Combiner of an entry, and its way to the one that combines its writes.

    Parameters
    ----------
    own_name : str
        Name of the entry.
    store : KeyValueStore
        The platform's store.
    peers : EntryPeers
        Links to other entries.
    dispatcher : Dispatcher
        Handlers of the process's links.
    """

    def __init__(
        self,
        own_name: str,
        store: KeyValueStore,
        peers: EntryPeers,
        dispatcher: Dispatcher,
    ) -> None:
        self._own_name = own_name
        self._peers = peers
        self._settings = CombinerSettings()
        self._listed: tuple[Instance, ...] = ()
        self._target: str | None = None
        self.combiner = WriteCombiner(store, self._settings, dispatcher)
        self.groups = CombiningStore(
            own_name, store, self.combiner, self.target, self._send
        )
        peers.add_selector(self._wanted_links)

    def target(self) -> str | None:
        """Return the entry that combines the writes; None to write directly."""
        entries = self._peers.entries
        if entries is not self._listed:
            self._listed = entries
            names = [entry.name for entry in entries]
            self._target = choose_combiner(self._own_name, names, self._settings)
        return self._target

    def _wanted_links(self) -> frozenset[str]:
        target = self.target()
        return frozenset() if target is None else frozenset((target,))

    async def _send(self, target: str, request: CombineWrites) -> WritesCombined:
        link = self._peers.link_to(target)
        if link is None:
            raise NoCombinerError(f"no link to {target!r}")
        return await link.call(request, WritesCombined, self._settings.timeout_s)
