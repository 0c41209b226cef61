"""Build the write path of an entry's claims to the store."""

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
    """Send the claim writes of an entry to the store or to a combiner.

    In a large fleet, a few entries act as combiners: they merge the groups of
    writes of several entries into fewer calls to the store.

    Parameters
    ----------
    local_name : str
        Name of this entry.
    store : KeyValueStore
        The platform's store.
    peers : EntryPeers
        Links to the other entries.
    dispatcher : Dispatcher
        Registry for the message handlers of the combiner.

    Attributes
    ----------
    combiner : WriteCombiner
        Combiner of this entry, which serves the others if this entry is selected.
    group_store : CombiningStore
        Carries out groups of writes, directly or through the selected combiner.
    """

    def __init__(
        self,
        local_name: str,
        store: KeyValueStore,
        peers: EntryPeers,
        dispatcher: Dispatcher,
    ) -> None:
        self._local_name = local_name
        self._peers = peers
        self._settings = CombinerSettings()
        self._ranked_entries: tuple[Instance, ...] = ()
        self._combiner_name: str | None = None
        self.combiner = WriteCombiner(store, self._settings, dispatcher)
        self.group_store = CombiningStore(
            local_name, store, self.combiner, self.combiner_name, self._send
        )
        peers.add_selector(self._required_links)

    def combiner_name(self) -> str | None:
        """Return the name of the combiner for this entry, or None to write directly."""
        entries = self._peers.entries
        if entries is not self._ranked_entries:
            self._ranked_entries = entries
            names = [entry.name for entry in entries]
            self._combiner_name = choose_combiner(
                self._local_name, names, self._settings
            )
        return self._combiner_name

    def _required_links(self) -> frozenset[str]:
        combiner_name = self.combiner_name()
        return frozenset() if combiner_name is None else frozenset((combiner_name,))

    async def _send(self, combiner_name: str, request: CombineWrites) -> WritesCombined:
        link = self._peers.link_to(combiner_name)
        if link is None:
            raise NoCombinerError(f"no link to {combiner_name!r}")
        return await link.call(request, WritesCombined, self._settings.timeout_s)
