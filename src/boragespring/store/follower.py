"""Keep a copy of the keys under a prefix up to date."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from contextlib import aclosing
from typing import Protocol

from attrs import frozen

from boragespring.store.store import (
    KeyValue,
    KeyValueStore,
    StoreError,
    WatchBatch,
    WatchCompactedError,
    WatchEvent,
)

__all__ = [
    "PrefixFollower",
    "PrefixFollowerSettings",
    "PrefixListener",
    "StoreContactListener",
]


@frozen
class PrefixFollowerSettings:
    """Pauses of a follower.

    Parameters
    ----------
    retry_backoff_s : float
        Pause after the first failed call; it doubles with each further one.
    retry_backoff_max_s : float
        Longest pause; it bounds how late a returning store is noticed.
    standby_poll_interval_s : float
        Time between two looks at whether others still watch for this process.
    """

    retry_backoff_s: float = 0.1
    retry_backoff_max_s: float = 0.4
    standby_poll_interval_s: float = 0.05


#: Told of a batch that the own watch brought, and the revision it follows on.
BatchHook = Callable[[int, WatchBatch], None]


class PrefixListener(Protocol):
    """What takes in the keys of a prefix."""

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Take in all keys; ``is_after_outage`` when the store was away before."""
        ...

    def on_change(self, event: WatchEvent) -> None:
        """Take in one change."""
        ...

    def on_confirmed(self, complete_at_s: float) -> None:
        """Note that the copy was complete at a monotonic time."""
        ...


class StoreContactListener(Protocol):
    """What is told of the loss and return of the store."""

    def on_lost(self, reason: str) -> None:
        """Note that the store does not answer."""
        ...

    def on_regained(self, away_s: float) -> None:
        """Note that the store answers again."""
        ...


class PrefixFollower:
    """Read a prefix, then watch it; read again where the history is gone.

    Parameters
    ----------
    store : KeyValueStore
        Where the keys lie.
    prefix : str
        Start of the keys.
    target : PrefixListener
        What takes them in.
    contact : StoreContactListener
        What is told of the loss and return of the store.
    settings : PrefixFollowerSettings, optional
        Pauses.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        target: PrefixListener,
        contact: StoreContactListener,
        settings: PrefixFollowerSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._target = target
        self._contact = contact
        self._settings = settings or PrefixFollowerSettings()
        self._clock = clock
        self._items: dict[str, KeyValue] = {}
        self._read_revision = 0
        self._content_revision = 0
        self._next_revision = 0
        self._snapshot_revision = 0
        self._complete_at_s = float("-inf")
        self._last_reply_at_s = float("-inf")
        self._lost_at_s: float | None = None
        self._had_outage = False
        self._failures = 0
        #: Returns whether other processes watch for this one.
        self.is_on_standby: Callable[[], bool] = _never
        self.batch_hooks: list[BatchHook] = []

    @property
    def revision(self) -> int:
        """Store revision of the copy; 0 before the first one."""
        return self._snapshot_revision

    @property
    def content_revision(self) -> int:
        """Revision of the last change that the copy has; equal for equal copies."""
        return self._content_revision

    @property
    def is_store_lost(self) -> bool:
        """Whether the last call to the store failed."""
        return self._lost_at_s is not None

    @property
    def complete_at_s(self) -> float:
        """Monotonic time at which the copy was last known to be complete."""
        return self._complete_at_s

    @property
    def last_reply_at_s(self) -> float:
        """Monotonic time of the store's last answer to this process."""
        return self._last_reply_at_s

    @property
    def items(self) -> list[KeyValue]:
        """All keys of the copy."""
        return list(self._items.values())

    def confirm_snapshot(self, content_revision: int, complete_at_s: float) -> None:
        """Note that a process with the same copy knew it to be complete."""
        if content_revision == self._content_revision:
            self._record_confirmation(self._snapshot_revision, complete_at_s)

    def apply_peer_snapshot(
        self,
        items: Sequence[KeyValue],
        revision: int,
        content_revision: int,
        complete_at_s: float,
    ) -> None:
        """Take over another process's copy unless the own one is newer."""
        if revision < self._snapshot_revision:
            return
        self._replace_items(items, revision)
        self._content_revision = content_revision
        self._target.on_snapshot(items, False)
        if self._next_revision:
            self._next_revision = max(self._next_revision, revision + 1)
        self._record_confirmation(revision, complete_at_s)

    def apply_peer_batch(self, after_revision: int, batch: WatchBatch) -> bool:
        """Take in what another process's watch brought.

        Returns
        -------
        is_known : bool
            False when changes are missing in between.
        """
        if not self._next_revision or after_revision >= self._next_revision:
            return False
        self._apply_new_events(batch)
        self._record_confirmation(batch.revision, self._clock())
        return True

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                if not self._next_revision:
                    await self._read_snapshot()
                while self.is_on_standby():  # noqa: ASYNC110
                    await asyncio.sleep(self._settings.standby_poll_interval_s)
                await self._watch()
            except WatchCompactedError:
                self._next_revision = 0
            except StoreError as error:
                self._on_failure(str(error))
                await asyncio.sleep(self._next_backoff_s())

    async def _read_snapshot(self) -> None:
        requested_at_s = self._clock()
        result = await self._store.range(self._prefix)
        self._on_reply()
        self._next_revision = result.revision + 1
        is_after_outage, self._had_outage = self._had_outage, False
        if result.revision < self._snapshot_revision:
            return
        self._replace_items(result.items, result.revision)
        self._target.on_snapshot(result.items, is_after_outage)
        self._record_confirmation(result.revision, requested_at_s)

    async def _watch(self) -> None:
        batches = self._store.watch(self._prefix, self._next_revision)
        async with aclosing(batches):
            async for batch in batches:
                self._on_reply()
                after_revision = self._next_revision - 1
                self._apply_new_events(batch)
                self._record_confirmation(batch.revision, self._clock())
                if batch.events:
                    for hook in self.batch_hooks:
                        hook(after_revision, batch)
                if self.is_on_standby():
                    return

    def _replace_items(self, items: Sequence[KeyValue], revision: int) -> None:
        self._items = {item.key: item for item in items}
        self._read_revision = revision
        newest = max((item.mod_revision for item in items), default=0)
        self._content_revision = max(self._content_revision, newest)

    def _apply_new_events(self, batch: WatchBatch) -> None:
        # The own watch and those of other processes bring the same changes.
        new_events = (
            change for change in batch.events if change.revision >= self._next_revision
        )
        for event in new_events:
            self._apply_event(event)
        self._next_revision = max(self._next_revision, batch.revision + 1)

    def _apply_event(self, event: WatchEvent) -> None:
        # A range of several pages, or a copy of another process, may hold a
        # change that the watch repeats.
        stored = self._items.get(event.key)
        stored_revision = stored.mod_revision if stored else 0
        if event.revision <= max(stored_revision, self._read_revision):
            return
        self._content_revision = max(self._content_revision, event.revision)
        if event.item is None:
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = event.item
        self._target.on_change(event)

    def _record_confirmation(self, revision: int, at_s: float) -> None:
        self._snapshot_revision = max(self._snapshot_revision, revision)
        if at_s > self._complete_at_s:
            self._complete_at_s = at_s
            self._target.on_confirmed(at_s)

    def _on_reply(self) -> None:
        self._failures = 0
        self._last_reply_at_s = self._clock()
        if self._lost_at_s is None:
            return
        away_s = self._clock() - self._lost_at_s
        self._lost_at_s = None
        self._contact.on_regained(away_s)

    def _on_failure(self, reason: str) -> None:
        self._failures += 1
        if self._lost_at_s is not None:
            return
        self._lost_at_s = self._clock()
        self._had_outage = True
        self._contact.on_lost(reason)

    def _next_backoff_s(self) -> float:
        backoff_s = self._settings.retry_backoff_s * 2.0 ** min(self._failures - 1, 8)
        backoff_s = min(backoff_s, self._settings.retry_backoff_max_s)
        return backoff_s * random.uniform(0.5, 1.0)


def _never() -> bool:
    return False
