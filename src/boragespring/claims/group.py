"""Group commit: many conditional writes in one call to the store."""

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
    """Pace and size of groups.

    Parameters
    ----------
    interval_s : float
        Least time between the starts of two calls.
    patient_wait_s : float
        Longest wait of a write that nobody waits for.
    writes_max : int
        Most writes of one call.
    """

    interval_s: float = 0.02
    patient_wait_s: float = 0.25
    writes_max: int = 64


class GroupStore(Protocol):
    """What carries out a group; the store itself, or a way to a combiner."""

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent conditional writes in one call."""
        ...


@define(eq=False)
class _Pending:
    write: ConditionalWrite
    future: asyncio.Future[WriteResult]
    due_s: float


class GroupWriter:
    """Collect the writes of a process and send them in groups.

    One call is under way at a time; what arrives meanwhile goes with the next.
    An urgent write leaves at once when the last call is an interval ago.

    Parameters
    ----------
    store : GroupStore
        Carries out the groups.
    settings : GroupSettings
        Pace and size.
    """

    def __init__(self, store: GroupStore, settings: GroupSettings) -> None:
        self._store = store
        self._settings = settings
        self._pending: dict[int, _Pending] = {}
        self._numbers = count()
        self._arrived = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.calls = 0
        self.writes = 0

    async def write(
        self, write: ConditionalWrite, *, is_urgent: bool = True
    ) -> WriteResult:
        """Apply a write with the next group.

        Raises
        ------
        StoreError
            What the call for the group raised.
        """
        wait_s = 0.0 if is_urgent else self._settings.patient_wait_s
        future: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        self._pending[number] = _Pending(write, future, time.monotonic() + wait_s)
        self._arrived.set()
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        try:
            return await future
        finally:
            self._pending.pop(number, None)

    async def close(self) -> None:
        """Stop; writes that have not left fail."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._wait_due()
            started_s = time.monotonic()
            await self._send(self._take_group())
            rest_s = started_s + self._settings.interval_s - time.monotonic()
            if rest_s > 0:
                await asyncio.sleep(rest_s)

    async def _wait_due(self) -> None:
        while True:
            self._arrived.clear()
            due_s = [pending.due_s for pending in self._pending.values()]
            if not due_s:
                await self._arrived.wait()
                continue
            wait_s = min(due_s) - time.monotonic()
            if wait_s <= 0:
                return
            try:
                async with asyncio.timeout(wait_s):
                    await self._arrived.wait()
            except TimeoutError:
                return

    def _take_group(self) -> list[_Pending]:
        """Take the longest waiting writes, of different keys."""
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

    async def _send(self, group: list[_Pending]) -> None:
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
