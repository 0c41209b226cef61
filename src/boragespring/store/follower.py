"""Maintain a local snapshot of the keys under a prefix."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from contextlib import aclosing
from typing import Protocol

from attrs import frozen

from boragespring.event_loop import sleep_until_tick
from boragespring.store.position import StorePosition
from boragespring.store.store import (
    KeyValue,
    KeyValueStore,
    StoreError,
    StoreRestoredError,
    StoreUnavailableError,
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
    """Delays of a follower.

    Parameters
    ----------
    retry_backoff_s : float
        Delay in seconds after the first failed call; it doubles with each further
        consecutive failure.
    retry_backoff_max_s : float
        Maximum delay in seconds, which limits how late the return of the store is
        detected.
    standby_poll_interval_s : float
        Seconds between two checks of whether this process is still on standby, that
        is, whether other processes watch the store on its behalf.
    """

    retry_backoff_s: float = 0.1
    retry_backoff_max_s: float = 0.4
    standby_poll_interval_s: float = 0.2


#: Called with each batch from the local watch, preceded by the position that the batch
#: follows.
BatchHook = Callable[[StorePosition, WatchBatch], None]


class PrefixListener(Protocol):
    """Receiver of the keys under a prefix and of their changes."""

    def on_snapshot(self, items: Sequence[KeyValue], is_after_outage: bool) -> None:
        """Replace all keys.

        Parameters
        ----------
        items : sequence of KeyValue
            All keys under the prefix.
        is_after_outage : bool
            Whether the store was unreachable before or has begun a new era, so that
            keys may be missing only until their owners write them again.
        """
        ...

    def on_change(self, event: WatchEvent) -> None:
        """Apply one change."""
        ...

    def on_confirmed(self, complete_at_s: float) -> None:
        """Record that the snapshot was complete at a monotonic time."""
        ...


class StoreContactListener(Protocol):
    """Receiver of notifications about the loss and return of the store."""

    def on_lost(self, reason: str) -> None:
        """Handle the loss of contact with the store."""
        ...

    def on_regained(self, away_s: float) -> None:
        """Handle the return of the store after an outage of ``away_s`` seconds."""
        ...

    def on_restored(self, era_before: int, era: int) -> None:
        """Handle that the store lost acknowledged changes and began a new era."""
        ...


class PrefixFollower:
    """Read the keys under a prefix, then watch them for changes.

    If the store no longer has the history that the watch needs, all keys are read
    again. Snapshots and batches of changes from other processes can be applied as well.

    Parameters
    ----------
    store : KeyValueStore
        Store to read and watch.
    prefix : str
        Prefix of the keys.
    listener : PrefixListener
        Receiver of the keys and changes.
    contact_listener : StoreContactListener
        Receiver of notifications about the loss and return of the store.
    settings : PrefixFollowerSettings, optional
        Delays.
    clock : callable, default=time.monotonic
        Clock that returns a time in seconds.

    Attributes
    ----------
    is_on_standby : callable
        Returns whether other processes watch the store on behalf of this one. While it
        returns True, this follower does not watch.
    batch_hooks : list of callable
        Functions called with each batch that the local watch delivers.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        listener: PrefixListener,
        contact_listener: StoreContactListener,
        settings: PrefixFollowerSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._contact_listener = contact_listener
        self._settings = settings or PrefixFollowerSettings()
        self._clock = clock
        self._items: dict[str, KeyValue] = {}
        #: Position at which all items were last replaced by a complete snapshot.
        self._snapshot_position = StorePosition()
        self._content_position = StorePosition()
        #: Position of the first change that the items do not reflect; None while all
        #: keys have to be read.
        self._next_position: StorePosition | None = None
        #: Newest position that the items reflect, including later batches of changes.
        self._position = StorePosition()
        self._complete_at_s = float("-inf")
        self._last_reply_at_s = float("-inf")
        self._lost_at_s: float | None = None
        self._had_outage = False
        self._failures = 0
        self.is_on_standby: Callable[[], bool] = _never
        self.batch_hooks: list[BatchHook] = []

    @property
    def position(self) -> StorePosition:
        """Position of the snapshot; its revision is 0 before the first one."""
        return self._position

    @property
    def content_position(self) -> StorePosition:
        """Position of the last change in the snapshot.

        Snapshots with the same content position have the same content.
        """
        return self._content_position

    @property
    def is_store_lost(self) -> bool:
        """Whether the last call to the store failed."""
        return self._lost_at_s is not None

    @property
    def complete_at_s(self) -> float:
        """Monotonic time at which the snapshot was last known to be complete."""
        return self._complete_at_s

    @property
    def last_reply_at_s(self) -> float:
        """Monotonic time of the store's last reply to this process."""
        return self._last_reply_at_s

    @property
    def items(self) -> list[KeyValue]:
        """All keys in the snapshot."""
        return list(self._items.values())

    def confirm_snapshot(
        self, content_position: StorePosition, complete_at_s: float
    ) -> None:
        """Record that a peer knew a snapshot with this content to be complete."""
        if content_position == self._content_position:
            self._record_confirmation(self._position, complete_at_s)

    def apply_peer_snapshot(
        self,
        items: Sequence[KeyValue],
        position: StorePosition,
        content_position: StorePosition,
        complete_at_s: float,
    ) -> None:
        """Replace the snapshot with that of a peer unless the local one is newer."""
        if position < self._position:
            return
        is_restored = self._check_era(position.era)
        self._replace_items(items, position)
        self._content_position = content_position
        self._listener.on_snapshot(items, is_restored)
        if self._next_position is not None:
            self._next_position = max(self._next_position, position.next)
        self._record_confirmation(position, complete_at_s)

    def apply_peer_batch(
        self, after_position: StorePosition, batch: WatchBatch
    ) -> bool:
        """Apply a batch of changes from the watch of a peer.

        Parameters
        ----------
        after_position : StorePosition
            Position that the batch follows.
        batch : WatchBatch
            Changes that the peer's watch delivered.

        Returns
        -------
        is_applied : bool
            False if changes between the snapshot and the batch are missing.
        """
        if self._next_position is None or after_position >= self._next_position:
            return False
        if batch.era < self._next_position.era:
            # The store has lost these changes, or they were made again.
            return True
        self._apply_new_events(batch)
        self._record_confirmation(batch.position, self._clock())
        return True

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                if self._next_position is None:
                    await self._read_snapshot()
                while self.is_on_standby():
                    await sleep_until_tick(self._settings.standby_poll_interval_s)
                await self._watch()
            except WatchCompactedError:
                self._next_position = None
            except StoreError as error:
                self._on_failure(str(error))
                await asyncio.sleep(self._next_backoff_s())

    async def _read_snapshot(self) -> None:
        requested_at_s = self._clock()
        result = await self._store.range(self._prefix)
        self._on_reply()
        position = result.position
        if position.era < self._position.era:
            raise StoreUnavailableError("the reply is of an earlier era of the store")
        is_restored = self._check_era(position.era)
        self._next_position = position.next
        is_after_outage, self._had_outage = self._had_outage, False
        if position < self._position:
            return
        self._replace_items(result.items, position)
        self._listener.on_snapshot(result.items, is_after_outage or is_restored)
        self._record_confirmation(position, requested_at_s)

    async def _watch(self) -> None:
        assert self._next_position is not None
        era = self._next_position.era
        batches = self._store.watch(self._prefix, self._next_position.revision)
        async with aclosing(batches):
            async for batch in batches:
                self._on_reply()
                # A snapshot from a peer can begin an era while the watch is pending.
                if not era == batch.era == self._next_position.era:
                    raise StoreRestoredError(f"the store is in era {batch.era}")
                after_position = self._next_position.previous
                self._apply_new_events(batch)
                self._record_confirmation(batch.position, self._clock())
                if batch.events:
                    for hook in self.batch_hooks:
                        hook(after_position, batch)
                if self.is_on_standby():
                    return

    def _check_era(self, era: int) -> bool:
        """Return whether the store has begun an era since the last snapshot."""
        era_before = self._position.era
        if era <= era_before or not self._position.revision:
            return False
        self._contact_listener.on_restored(era_before, era)
        return True

    def _replace_items(
        self, items: Sequence[KeyValue], position: StorePosition
    ) -> None:
        self._items = {item.key: item for item in items}
        self._snapshot_position = position
        newest_revision = max((item.mod_revision for item in items), default=0)
        newest = StorePosition(position.era, newest_revision)
        self._content_position = max(self._content_position, newest)

    def _apply_new_events(self, batch: WatchBatch) -> None:
        assert self._next_position is not None
        # The local watch and the watches of peers deliver the same changes.
        for event in batch.events:
            position = StorePosition(batch.era, event.revision)
            if position >= self._next_position:
                self._apply_event(event, position)
        self._next_position = max(self._next_position, batch.position.next)

    def _apply_event(self, event: WatchEvent, position: StorePosition) -> None:
        # A snapshot that was read in several pages or came from a peer may already
        # contain a change that the watch delivers later.
        stored = self._items.get(event.key)
        stored_position = StorePosition(
            self._snapshot_position.era, stored.mod_revision if stored else 0
        )
        if position <= max(stored_position, self._snapshot_position):
            return
        self._content_position = max(self._content_position, position)
        if event.item is None:
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = event.item
        self._listener.on_change(event)

    def _record_confirmation(self, position: StorePosition, at_s: float) -> None:
        self._position = max(self._position, position)
        if at_s > self._complete_at_s:
            self._complete_at_s = at_s
            self._listener.on_confirmed(at_s)

    def _on_reply(self) -> None:
        self._failures = 0
        self._last_reply_at_s = self._clock()
        if self._lost_at_s is None:
            return
        away_s = self._clock() - self._lost_at_s
        self._lost_at_s = None
        self._contact_listener.on_regained(away_s)

    def _on_failure(self, reason: str) -> None:
        self._failures += 1
        if self._lost_at_s is not None:
            return
        self._lost_at_s = self._clock()
        self._had_outage = True
        self._contact_listener.on_lost(reason)

    def _next_backoff_s(self) -> float:
        backoff_s = self._settings.retry_backoff_s * 2.0 ** min(self._failures - 1, 8)
        backoff_s = min(backoff_s, self._settings.retry_backoff_max_s)
        return backoff_s * random.uniform(0.5, 1.0)


def _never() -> bool:
    return False
