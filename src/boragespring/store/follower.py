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

__all__ = ["FollowerSettings", "FollowsContact", "FollowsPrefix", "PrefixFollower"]


@frozen
class FollowerSettings:
    """Pauses of a follower.

    Parameters
    ----------
    retry_pause_s : float
        Pause after the first failed call; it doubles with each further one.
    retry_pause_max_s : float
        Longest pause; it bounds how late a returning store is noticed.
    rest_look_s : float
        Time between two looks at whether others still watch for this process.
    """

    retry_pause_s: float = 0.1
    retry_pause_max_s: float = 0.4
    rest_look_s: float = 0.05


#: Told of a batch that the own watch brought, and the revision it follows on.
BatchHook = Callable[[int, WatchBatch], None]


class FollowsPrefix(Protocol):
    """What takes in the keys of a prefix."""

    def on_snapshot(self, items: Sequence[KeyValue], has_lapsed: bool) -> None:
        """Take in all keys; ``has_lapsed`` when the store was away before."""
        ...

    def on_change(self, event: WatchEvent) -> None:
        """Take in one change."""
        ...

    def on_contact(self, complete_at_s: float) -> None:
        """Note that the copy was complete at a monotonic time."""
        ...


class FollowsContact(Protocol):
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
    target : FollowsPrefix
        What takes them in.
    contact : FollowsContact
        What is told of the loss and return of the store.
    settings : FollowerSettings, optional
        Pauses.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        target: FollowsPrefix,
        contact: FollowsContact,
        settings: FollowerSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._target = target
        self._contact = contact
        self._settings = settings or FollowerSettings()
        self._clock = clock
        self._items: dict[str, KeyValue] = {}
        self._read_revision = 0
        self._content_revision = 0
        self._next_revision = 0
        self._copy_revision = 0
        self._complete_at_s = float("-inf")
        self._answered_at_s = float("-inf")
        self._lost_at_s: float | None = None
        self._has_lapsed = False
        self._failures = 0
        #: Returns whether other processes watch for this one.
        self.may_rest: Callable[[], bool] = _never
        self.batch_hooks: list[BatchHook] = []

    @property
    def revision(self) -> int:
        """Store revision of the copy; 0 before the first one."""
        return self._copy_revision

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
    def answered_at_s(self) -> float:
        """Monotonic time of the store's last answer to this process."""
        return self._answered_at_s

    @property
    def items(self) -> list[KeyValue]:
        """All keys of the copy."""
        return list(self._items.values())

    def confirm_copy(self, content_revision: int, complete_at_s: float) -> None:
        """Note that a process with the same copy knew it to be complete."""
        if content_revision == self._content_revision:
            self._note_complete(self._copy_revision, complete_at_s)

    def take_copy(
        self,
        items: Sequence[KeyValue],
        revision: int,
        content_revision: int,
        complete_at_s: float,
    ) -> None:
        """Take over another process's copy unless the own one is newer."""
        if revision < self._copy_revision:
            return
        self._replace(items, revision)
        self._content_revision = content_revision
        self._target.on_snapshot(items, False)
        if self._next_revision:
            self._next_revision = max(self._next_revision, revision + 1)
        self._note_complete(revision, complete_at_s)

    def take_batch(self, after_revision: int, batch: WatchBatch) -> bool:
        """Take in what another process's watch brought.

        Returns
        -------
        is_known : bool
            False when changes are missing in between.
        """
        if not self._next_revision or after_revision >= self._next_revision:
            return False
        self._apply_batch(batch)
        self._note_complete(batch.revision, self._clock())
        return True

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                if not self._next_revision:
                    await self._read_all()
                while self.may_rest():  # noqa: ASYNC110
                    await asyncio.sleep(self._settings.rest_look_s)
                await self._watch()
            except WatchCompactedError:
                self._next_revision = 0
            except StoreError as error:
                self._note_lost(str(error))
                await asyncio.sleep(self._pause_s())

    async def _read_all(self) -> None:
        asked_at_s = self._clock()
        result = await self._store.range(self._prefix)
        self._note_answer()
        self._next_revision = result.revision + 1
        has_lapsed, self._has_lapsed = self._has_lapsed, False
        if result.revision < self._copy_revision:
            return
        self._replace(result.items, result.revision)
        self._target.on_snapshot(result.items, has_lapsed)
        self._note_complete(result.revision, asked_at_s)

    async def _watch(self) -> None:
        batches = self._store.watch(self._prefix, self._next_revision)
        async with aclosing(batches):
            async for batch in batches:
                self._note_answer()
                after_revision = self._next_revision - 1
                self._apply_batch(batch)
                self._note_complete(batch.revision, self._clock())
                if batch.events:
                    for hook in self.batch_hooks:
                        hook(after_revision, batch)
                if self.may_rest():
                    return

    def _replace(self, items: Sequence[KeyValue], revision: int) -> None:
        self._items = {item.key: item for item in items}
        self._read_revision = revision
        newest = max((item.mod_revision for item in items), default=0)
        self._content_revision = max(self._content_revision, newest)

    def _apply_batch(self, batch: WatchBatch) -> None:
        # The own watch and those of other processes bring the same changes.
        fresh = (one for one in batch.events if one.revision >= self._next_revision)
        for event in fresh:
            self._apply(event)
        self._next_revision = max(self._next_revision, batch.revision + 1)

    def _apply(self, event: WatchEvent) -> None:
        # A range of several pages, or a copy of another process, may hold a
        # change that the watch repeats.
        known = self._items.get(event.key)
        known_revision = known.mod_revision if known else 0
        if event.revision <= max(known_revision, self._read_revision):
            return
        self._content_revision = max(self._content_revision, event.revision)
        if event.item is None:
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = event.item
        self._target.on_change(event)

    def _note_complete(self, revision: int, at_s: float) -> None:
        self._copy_revision = max(self._copy_revision, revision)
        if at_s > self._complete_at_s:
            self._complete_at_s = at_s
            self._target.on_contact(at_s)

    def _note_answer(self) -> None:
        self._failures = 0
        self._answered_at_s = self._clock()
        if self._lost_at_s is None:
            return
        away_s = self._clock() - self._lost_at_s
        self._lost_at_s = None
        self._contact.on_regained(away_s)

    def _note_lost(self, reason: str) -> None:
        self._failures += 1
        if self._lost_at_s is not None:
            return
        self._lost_at_s = self._clock()
        self._has_lapsed = True
        self._contact.on_lost(reason)

    def _pause_s(self) -> float:
        pause_s = self._settings.retry_pause_s * 2.0 ** min(self._failures - 1, 8)
        pause_s = min(pause_s, self._settings.retry_pause_max_s)
        return pause_s * random.uniform(0.5, 1.0)


def _never() -> bool:
    return False
