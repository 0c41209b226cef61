"""Rate limiter for the calls of one process to the key-value service."""

import asyncio
import time
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import aclosing
from enum import StrEnum

from attrs import define, frozen

from boragespring.store.store import (
    ConditionalWrite,
    GetResult,
    KeyValueStore,
    Lease,
    RangeResult,
    StoreUnavailableError,
    WatchBatch,
    WriteResult,
)

__all__ = ["BudgetSettings", "BudgetedStore", "CallCounters", "CallKind"]


class CallKind(StrEnum):
    """Kind of call, as the service counts them."""

    READ = "read"
    WRITE = "write"
    LEASE = "lease"
    WATCH = "watch"


@frozen
class BudgetSettings:
    """Share of the service's rate limits that one process is allowed to use.

    Parameters
    ----------
    writes_per_s : float
        Writes and lease calls per second.
    reads_per_s : float
        Reads and newly opened watches per second.
    open_watches : int
        Maximum number of watches open at the same time.
    burst_s : float
        Seconds of unused rate that can be spent in one burst.
    max_wait_s : float
        Maximum delay of a call in seconds; a call that would wait longer is refused.
    """

    writes_per_s: float = 50.0
    reads_per_s: float = 100.0
    open_watches: int = 8
    burst_s: float = 1.0
    max_wait_s: float = 2.0


@define
class CallCounters:
    """Number of calls made, delayed and refused by kind, since the process started."""

    made: dict[str, int]
    delayed: dict[str, int]
    refused: dict[str, int]
    open_watches: int = 0


class _RateLimiter:
    """Token bucket that reserves time slots in first-come, first-served order."""

    def __init__(
        self, rate_per_s: float, burst_s: float, clock: Callable[[], float]
    ) -> None:
        self._interval_s = 1.0 / rate_per_s
        self._burst_s = burst_s
        self._clock = clock
        self._next_slot_s = clock() - burst_s

    def reserve(self, max_wait_s: float) -> float | None:
        """Reserve the next slot and return the delay until it, in seconds.

        Return None, and reserve nothing, if the delay would exceed ``max_wait_s``.
        """
        now_s = self._clock()
        slot_s = max(self._next_slot_s, now_s - self._burst_s) + self._interval_s
        delay_s = max(slot_s - now_s, 0.0)
        if delay_s > max_wait_s:
            return None
        self._next_slot_s = slot_s
        return delay_s


class BudgetedStore:
    """`KeyValueStore` that limits the rate of the calls to another store.

    A call that exceeds the rate is delayed. If the delay would be too long, the call
    is refused with `StoreUnavailableError` and has no effect.

    Parameters
    ----------
    store : KeyValueStore
        Store that executes the calls.
    settings : BudgetSettings
        Share of the rate limits for this process.
    clock : callable, default=time.monotonic
        Clock that returns a time in seconds.
    """

    def __init__(
        self,
        store: KeyValueStore,
        settings: BudgetSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._settings = settings
        writes = _RateLimiter(settings.writes_per_s, settings.burst_s, clock)
        reads = _RateLimiter(settings.reads_per_s, settings.burst_s, clock)
        self._limiters = {
            CallKind.READ: reads,
            CallKind.WATCH: reads,
            CallKind.WRITE: writes,
            CallKind.LEASE: writes,
        }
        self.counters = CallCounters(
            made=_zero_counts(), delayed=_zero_counts(), refused=_zero_counts()
        )

    async def get(self, key: str) -> GetResult:
        """Read one key."""
        await self._acquire_slot(CallKind.READ)
        return await self._store.get(key)

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """Read the keys under a prefix, at most ``limit`` of them; 0 for no limit."""
        await self._acquire_slot(CallKind.READ)
        return await self._store.range(prefix, limit)

    async def write(self, write: ConditionalWrite) -> WriteResult:
        """Apply one conditional write."""
        await self._acquire_slot(CallKind.WRITE)
        return await self._store.write(write)

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent conditional writes in one call."""
        await self._acquire_slot(CallKind.WRITE)
        return await self._store.write_many(writes)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""
        await self._acquire_slot(CallKind.LEASE)
        return await self._store.grant_lease(ttl_s)

    async def renew_lease(self, lease_id: int) -> Lease:
        """Renew a lease; raise `LeaseExpiredError` if it has expired."""
        await self._acquire_slot(CallKind.LEASE)
        return await self._store.renew_lease(lease_id)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        await self._acquire_slot(CallKind.LEASE)
        await self._store.revoke_lease(lease_id)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes under a prefix in order, starting at a revision."""
        if self.counters.open_watches >= self._settings.open_watches:
            self.counters.refused[CallKind.WATCH] += 1
            raise StoreUnavailableError("the limit of open watches is reached")
        self.counters.open_watches += 1
        try:
            await self._acquire_slot(CallKind.WATCH)
            async with aclosing(self._store.watch(prefix, from_revision)) as batches:
                async for batch in batches:
                    yield batch
        finally:
            self.counters.open_watches -= 1

    async def close(self) -> None:
        """Close the connections to the service."""
        await self._store.close()

    async def _acquire_slot(self, kind: CallKind) -> None:
        delay_s = self._limiters[kind].reserve(self._settings.max_wait_s)
        if delay_s is None:
            self.counters.refused[kind] += 1
            raise StoreUnavailableError(f"{kind} calls exceed the rate budget")
        if delay_s > 0:
            self.counters.delayed[kind] += 1
            await asyncio.sleep(delay_s)
        self.counters.made[kind] += 1


def _zero_counts() -> dict[str, int]:
    return {kind.value: 0 for kind in CallKind}
