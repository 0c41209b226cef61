"""Watch the lists in the store, and restore changes that a failover lost."""

import asyncio
import random
from collections.abc import Callable
from contextlib import aclosing

from absl import logging
from attrs import define, frozen

from boragespring.lists.editor import (
    LISTS_KEY,
    ListsEditor,
    StoredLists,
    decode_stored_lists,
)
from boragespring.lists.errors import ListsError
from boragespring.lists.lineage import VersionOrder, merge_versions
from boragespring.lists.replica import ListsReplica
from boragespring.store import KeyValueStore, StoreError

__all__ = ["ListsWatcher", "WatcherCounters", "WatcherSettings"]


@frozen
class WatcherSettings:
    """Retry delays of a watcher.

    Parameters
    ----------
    retry_delay_s : float
        Delay after the first failure, in seconds; it doubles with each further
        consecutive failure.
    retry_delay_max_s : float
        Maximum delay after a failure, in seconds.
    """

    retry_delay_s: float = 0.2
    retry_delay_max_s: float = 5.0


@define
class WatcherCounters:
    """Counts since the start of the process."""

    watches_opened: int = 0
    watches_lost: int = 0
    revision_decreases: int = 0
    restores_written: int = 0


class ListsWatcher:
    """Keep a replica up to date with the store.

    A watch that ends or falls silent is replaced after a new read, so that no
    change is missed. If the store holds an older version than the replica, or one
    that was edited on older data, the missing changes are written back.

    Parameters
    ----------
    store : KeyValueStore
        Store that holds the lists.
    replica : ListsReplica
        Replica to update.
    settings : WatcherSettings or None
        Retry delays; None for the defaults.
    on_store_contact : callable or None
        Called each time the store replies or delivers an event.
    """

    def __init__(
        self,
        store: KeyValueStore,
        replica: ListsReplica,
        settings: WatcherSettings | None = None,
        on_store_contact: Callable[[], None] | None = None,
    ) -> None:
        self._store = store
        self._editor = ListsEditor(store)
        self._replica = replica
        self._settings = settings or WatcherSettings()
        self._on_store_contact = on_store_contact or _do_nothing
        self._newest_revision = 0
        self.counters = WatcherCounters()

    async def run(self) -> None:
        """Watch the store until cancelled."""
        delay_s = self._settings.retry_delay_s
        while True:
            opened_before = self.counters.watches_opened
            try:
                await self._follow()
            except (StoreError, ListsError) as error:
                self.counters.watches_lost += 1
                logging.warning("event=lists_watch_lost reason=%r", str(error))
            if self.counters.watches_opened > opened_before:
                delay_s = self._settings.retry_delay_s
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, self._settings.retry_delay_max_s)

    async def refresh(self) -> int:
        """Read the lists once, and restore changes that are missing from the store.

        Returns
        -------
        int
            Store revision of the read.
        """
        result = await self._store.get(LISTS_KEY)
        self._on_store_contact()
        if result.revision < self._newest_revision:
            self.counters.revision_decreases += 1
            logging.error(
                "event=store_stepped_back revision=%d seen=%d",
                result.revision,
                self._newest_revision,
            )
        self._newest_revision = result.revision
        stored = decode_stored_lists(result.item)
        if self._replica.offer(stored.state) in (VersionOrder.STALE, VersionOrder.FORK):
            await self._restore(stored)
        return result.revision

    async def _follow(self) -> None:
        revision = await self.refresh()
        async with aclosing(self._store.watch(LISTS_KEY, revision + 1)) as batches:
            self.counters.watches_opened += 1
            async for batch in batches:
                self._on_store_contact()
                self._newest_revision = max(self._newest_revision, batch.revision)
                items = [e.item for e in batch.events if e.key == LISTS_KEY]
                orders = [
                    self._replica.offer(decode_stored_lists(i).state) for i in items
                ]
                if any(
                    order in (VersionOrder.STALE, VersionOrder.FORK) for order in orders
                ):
                    # The replica may have received newer versions from peers before the
                    # watch delivered them; only a new read shows whether changes are
                    # missing from the store.
                    await self.refresh()

    async def _restore(self, stored: StoredLists) -> None:
        """Write the changes that are missing from the store back to it."""
        merged = merge_versions(self._replica.state, stored.state)
        if await self._editor.restore(merged, stored):
            self.counters.restores_written += 1
            logging.error(
                "event=lists_restored version=%d stored=%d",
                merged.number,
                stored.state.number,
            )
            self._replica.offer(merged)


def _do_nothing() -> None:
    """Ignore a store contact."""
