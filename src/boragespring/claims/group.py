"""Group commit: apply many conditional writes with one call to the store."""

import asyncio
import time
from collections.abc import Sequence
from itertools import count
from typing import Protocol

from attrs import define, frozen

from boragespring.store.store import (
    ConditionalWrite,
    StoreError,
    WriteResult,
)

__all__ = ["GroupSettings", "GroupWriter", "GroupStore"]


@frozen
class GroupSettings:
    """Timing and size of groups.

    Parameters
    ----------
    interval_s : float
        Shortest time, in seconds, between the starts of two calls.
    non_urgent_delay_s : float
        Longest time, in seconds, that a write which no caller waits for is
        delayed in order to share a call with others.
    writes_max : int
        Largest number of writes in one call.
    """

    interval_s: float = 0.02
    non_urgent_delay_s: float = 0.25
    writes_max: int = 64


class GroupStore(Protocol):
    """Destination of groups of writes: the store itself, or a combiner."""

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent conditional writes in one call."""
        ...


@define(eq=False)
class _Pending:
    """Write that waits for a group, and the time at which it is due."""

    write: ConditionalWrite
    future: asyncio.Future[WriteResult]
    due_s: float


class GroupWriter:
    """Collect the writes of a process and apply them in groups.

    Only one call is in progress at a time; writes that arrive meanwhile are sent
    with the next call. An urgent write is sent immediately if the last call
    started at least one interval ago.

    Parameters
    ----------
    store : GroupStore
        Destination of the groups.
    settings : GroupSettings
        Timing and size of the groups.

    Attributes
    ----------
    calls : int
        Number of calls so far.
    writes : int
        Number of writes in these calls.
    """

    def __init__(self, store: GroupStore, settings: GroupSettings) -> None:
        self._store = store
        self._settings = settings
        self._pending: dict[int, _Pending] = {}
        self._numbers = count()
        self._write_queued = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.calls = 0
        self.writes = 0

    async def write(
        self, write: ConditionalWrite, *, is_urgent: bool = True
    ) -> WriteResult:
        """Apply a write with the next group.

        Parameters
        ----------
        write : ConditionalWrite
            The write.
        is_urgent : bool, default=True
            Whether a caller waits for the result. Any other write is delayed by
            up to ``non_urgent_delay_s``.

        Raises
        ------
        StoreError
            If the call that contained the write failed.
        """
        delay_s = 0.0 if is_urgent else self._settings.non_urgent_delay_s
        future: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        self._pending[number] = _Pending(write, future, time.monotonic() + delay_s)
        self._write_queued.set()
        if self._task is None:
            self._task = asyncio.create_task(self._write_groups())
        try:
            return await future
        finally:
            self._pending.pop(number, None)

    async def close(self) -> None:
        """Cancel the call in progress; pending writes are not sent."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _write_groups(self) -> None:
        while True:
            await self._wait_due()
            started_s = time.monotonic()
            await self._write_group(self._take_group())
            remaining_s = started_s + self._settings.interval_s - time.monotonic()
            if remaining_s > 0:
                await asyncio.sleep(remaining_s)

    async def _wait_due(self) -> None:
        while True:
            self._write_queued.clear()
            due_s = [pending.due_s for pending in self._pending.values()]
            if not due_s:
                await self._write_queued.wait()
                continue
            delay_s = min(due_s) - time.monotonic()
            if delay_s <= 0:
                return
            try:
                async with asyncio.timeout(delay_s):
                    await self._write_queued.wait()
            except TimeoutError:
                return

    def _take_group(self) -> list[_Pending]:
        """Remove and return the oldest pending writes, at most one per key."""
        keys: set[str] = set()
        numbers = []
        for number, pending in self._pending.items():
            if pending.write.key in keys:
                continue
            keys.add(pending.write.key)
            numbers.append(number)
            if len(numbers) == self._settings.writes_max:
                break
        return [self._pending.pop(number) for number in numbers]

    async def _write_group(self, group: list[_Pending]) -> None:
        if not group:
            return
        self.calls += 1
        self.writes += len(group)
        try:
            results = await self._store.write_many([item.write for item in group])
        except StoreError as error:
            _fail(group, error)
            return
        except asyncio.CancelledError:
            for item in group:
                item.future.cancel()
            raise
        for item, result in zip(group, results, strict=True):
            if not item.future.done():
                item.future.set_result(result)


def _fail(group: list[_Pending], error: StoreError) -> None:
    for item in group:
        if not item.future.done():
            item.future.set_exception(error)
