"""In-memory model of a key-value service with revisions, history and leases."""

import asyncio
import bisect
import itertools
import time
from collections.abc import Callable, Iterable, Sequence

from attrs import define, frozen
from sortedcontainers import SortedDict

from boragespring.store.store import (
    ConditionalWrite,
    GetResult,
    KeyValue,
    LeaseExpiredError,
    RangeResult,
    WatchBatch,
    WatchCompactedError,
    WatchEvent,
    WriteResult,
)

__all__ = ["FIRST_REVISION", "Keyspace"]

#: Store revision before the first change.
FIRST_REVISION = 1


@define
class _LeaseState:
    ttl_s: float
    deadline_s: float
    granted_at_revision: int


@frozen
class _CompactedState:
    items: tuple[KeyValue, ...]
    revision: int


class Keyspace:
    """State of a simulated key-value service, shared by its stand-ins.

    Parameters
    ----------
    clock : callable, default=time.monotonic
        Clock for the expiry of leases, in seconds.

    Attributes
    ----------
    revision : int
        Store revision of the last change.
    generation : int
        Number of restores, which is the era of all positions; watches opened before
        the last restore are interrupted.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._items: SortedDict = SortedDict()
        self._history: list[WatchEvent] = []
        self._compacted = _CompactedState(items=(), revision=FIRST_REVISION)
        self._leases: dict[int, _LeaseState] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self.revision = FIRST_REVISION
        self.generation = 0

    def get(self, key: str) -> GetResult:
        """Read one key."""
        self.expire_leases()
        return GetResult(item=self._items.get(key), revision=self.revision)

    def range(self, start: str, end: str, limit: int = 0) -> RangeResult:
        """Read the keys from ``start`` up to ``end``, which is excluded.

        An empty ``end`` means no upper bound, and a ``limit`` of 0 means no limit.
        """
        self.expire_leases()
        keys = self._items.irange(start, end or None, inclusive=(True, False))
        selected = itertools.islice(keys, limit or None)
        items = tuple(self._items[name] for name in selected)
        return RangeResult(items=items, revision=self.revision, era=self.generation)

    def apply(self, writes: Sequence[ConditionalWrite]) -> tuple[WriteResult, ...]:
        """Apply the writes whose expected revisions match, as one store revision.

        Raises
        ------
        LeaseExpiredError
            A write names a lease that does not exist; no write is applied.
        """
        self.expire_leases()
        unknown = [w.lease_id for w in writes if not self._has_lease(w.lease_id)]
        if unknown:
            raise LeaseExpiredError(f"requested lease not found: {unknown[0]}")
        matches = [self._matches(write) for write in writes]
        accepted = [w for w, match in zip(writes, matches, strict=True) if match]
        self._commit(accepted)
        return tuple(
            WriteResult(
                applied=match,
                revision=self.revision,
                current=None if match else self._items.get(write.key),
            )
            for write, match in zip(writes, matches, strict=True)
        )

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its ID."""
        self.expire_leases()
        lease_id = next(self._lease_ids)
        deadline_s = self._clock() + ttl_s
        self._leases[lease_id] = _LeaseState(ttl_s, deadline_s, self.revision)
        self.wake()
        return lease_id

    def renew_lease(self, lease_id: int) -> float:
        """Renew a lease and return its time to live, in seconds."""
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseExpiredError(f"requested lease not found: {lease_id}")
        lease.deadline_s = self._clock() + lease.ttl_s
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        self.expire_leases()
        if lease_id not in self._leases:
            raise LeaseExpiredError(f"requested lease not found: {lease_id}")
        self._end_leases([lease_id])

    def expire_leases(self) -> None:
        """Remove the leases that have expired, along with their keys."""
        now_s = self._clock()
        expired = [i for i, lease in self._leases.items() if lease.deadline_s <= now_s]
        if expired:
            self._end_leases(expired)

    def compact(self, revision: int) -> None:
        """Discard the history up to and including a revision."""
        items = self._items_at(revision)
        self._history = [event for event in self._history if event.revision > revision]
        self._compacted = _CompactedState(
            items=tuple(items.values()), revision=revision
        )

    def restore(self, revision: int) -> None:
        """Return to an older revision, as a failover to a stale replica does.

        Leases that were granted since then are lost, and their IDs are given out again.
        """
        self._items = self._items_at(revision)
        self._leases = {
            lease_id: lease
            for lease_id, lease in self._leases.items()
            if lease.granted_at_revision < revision
        }
        self._lease_ids = itertools.count(max(self._leases, default=0) + 1)
        self._history = [event for event in self._history if event.revision <= revision]
        self.revision = revision
        self.generation += 1
        self.wake()

    def events_from(self, start: str, end: str, from_revision: int) -> list[WatchBatch]:
        """Return the changes in a range of keys in order, starting at a revision."""
        if from_revision <= self._compacted.revision and self._compacted.revision > 1:
            raise WatchCompactedError(
                f"compacted at revision {self._compacted.revision}"
            )
        first = bisect.bisect_left(
            self._history, from_revision, key=lambda event: event.revision
        )
        in_range = (
            event
            for event in itertools.islice(self._history, first, None)
            if event.key >= start and (not end or event.key < end)
        )
        events_by_revision = itertools.groupby(
            in_range, key=lambda event: event.revision
        )
        return [
            WatchBatch(revision, tuple(events), self.generation)
            for revision, events in events_by_revision
        ]

    @property
    def compacted_revision(self) -> int:
        """Newest revision whose history has been discarded."""
        return self._compacted.revision

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a key changes, a lease expires, or the timeout is reached."""
        self.expire_leases()
        changed = self._changed
        deadlines = (lease.deadline_s for lease in self._leases.values())
        time_to_expiry_s = min(deadlines, default=float("inf")) - self._clock()
        try:
            async with asyncio.timeout(min(timeout_s, max(time_to_expiry_s, 0.0))):
                await changed.wait()
        except TimeoutError:
            self.expire_leases()

    def wake(self) -> None:
        """Wake all tasks that are waiting for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _has_lease(self, lease_id: int) -> bool:
        return lease_id == 0 or lease_id in self._leases

    def _matches(self, write: ConditionalWrite) -> bool:
        item = self._items.get(write.key)
        return (item.mod_revision if item else 0) == write.expected_mod_revision

    def _commit(self, writes: Iterable[ConditionalWrite]) -> None:
        effective = [w for w in writes if w.value is not None or w.key in self._items]
        if not effective:
            return
        self.revision += 1
        for write in effective:
            event = WatchEvent(write.key, self._item_after(write), self.revision)
            self._history.append(event)
            _apply_event(self._items, event)
        self.wake()

    def _item_after(self, write: ConditionalWrite) -> KeyValue | None:
        if write.value is None:
            return None
        previous = self._items.get(write.key)
        return KeyValue(
            key=write.key,
            value=write.value,
            create_revision=previous.create_revision if previous else self.revision,
            mod_revision=self.revision,
            lease_id=write.lease_id,
        )

    def _end_leases(self, lease_ids: Iterable[int]) -> None:
        ended_ids = set(lease_ids)
        for lease_id in ended_ids:
            del self._leases[lease_id]
        self._commit(
            ConditionalWrite(item.key, None, item.mod_revision)
            for item in list(self._items.values())
            if item.lease_id in ended_ids
        )

    def _items_at(self, revision: int) -> SortedDict:
        if not self._compacted.revision <= revision <= self.revision:
            raise WatchCompactedError(f"revision {revision} is not available")
        items = SortedDict({item.key: item for item in self._compacted.items})
        for event in self._history:
            if event.revision <= revision:
                _apply_event(items, event)
        return items


def _apply_event(items: SortedDict, event: WatchEvent) -> None:
    if event.item is None:
        items.pop(event.key, None)
    else:
        items[event.key] = event.item
