"""In-memory key-value store with fault injection, for tests."""

import asyncio
from collections import Counter
from collections.abc import AsyncGenerator, Sequence

from attrs import define

from boragespring.store.keyspace import Keyspace
from boragespring.store.store import (
    ConditionalWrite,
    GetResult,
    Lease,
    RangeResult,
    StoreSteppedBackError,
    StoreUnavailableError,
    WatchBatch,
    WriteOutcomeUnknownError,
    WriteResult,
)
from boragespring.store.text import prefix_end

__all__ = ["MemoryStore", "StoreFaults"]


@define
class StoreFaults:
    """Faults that a stand-in for the key-value service injects.

    Parameters
    ----------
    down : bool
        Every call fails without having an effect.
    delay_s : float
        Delay of each reply in seconds.
    lost_answers : int
        Number of upcoming writes that are applied but whose reply is lost.
    silent_watches : bool
        Watches stay open but deliver nothing.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    silent_watches: bool = False


class MemoryStore:
    """`KeyValueStore` backed by a `Keyspace` in the same process.

    Parameters
    ----------
    keyspace : Keyspace
        State, which several stores can share.
    faults : StoreFaults or None
        Faults to inject; None for a new set with no faults enabled.
    progress_interval_s : float
        Seconds between progress notifications on an idle watch.
    silence_timeout_s : float
        Seconds after which a watch that delivers nothing fails.
    """

    def __init__(
        self,
        keyspace: Keyspace,
        faults: StoreFaults | None = None,
        progress_interval_s: float = 1.0,
        silence_timeout_s: float = 5.0,
    ) -> None:
        self.keyspace = keyspace
        self.faults = faults or StoreFaults()
        self.calls: Counter[str] = Counter()
        self._progress_interval_s = progress_interval_s
        self._silence_timeout_s = silence_timeout_s

    async def get(self, key: str) -> GetResult:
        """Read one key."""
        await self._begin_call("read")
        return self.keyspace.get(key)

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """Read the keys under a prefix, at most ``limit`` of them; 0 for no limit."""
        await self._begin_call("read")
        return self.keyspace.range(prefix, prefix_end(prefix), limit)

    async def write(self, write: ConditionalWrite) -> WriteResult:
        """Apply one conditional write."""
        return (await self.write_many([write]))[0]

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent conditional writes in one call."""
        await self._begin_call("write")
        results = self.keyspace.apply(writes)
        self._maybe_lose_reply()
        return results

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""
        await self._begin_call("lease")
        lease_id = self.keyspace.grant_lease(ttl_s)
        return Lease(lease_id, ttl_s, self.keyspace.generation)

    async def renew_lease(self, lease_id: int) -> Lease:
        """Renew a lease; raise `LeaseExpiredError` if it has expired."""
        await self._begin_call("lease")
        ttl_s = self.keyspace.renew_lease(lease_id)
        return Lease(lease_id, ttl_s, self.keyspace.generation)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        await self._begin_call("lease")
        self.keyspace.revoke_lease(lease_id)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes under a prefix in order, starting at a revision."""
        await self._begin_call("watch")
        keyspace, generation = self.keyspace, self.keyspace.generation
        if from_revision > keyspace.revision + 1:
            raise StoreSteppedBackError(f"store is at revision {keyspace.revision}")
        next_revision = from_revision
        while True:
            if self.faults.silent_watches:
                await asyncio.sleep(self._silence_timeout_s)
                raise StoreUnavailableError(
                    f"watch of {prefix!r} delivered nothing for too long"
                )
            self._check_watch_alive(generation)
            batches = keyspace.events_from(prefix, prefix_end(prefix), next_revision)
            next_revision = keyspace.revision + 1
            for batch in batches:
                yield batch
            if not batches:
                yield WatchBatch(keyspace.revision, (), generation)
            if next_revision > keyspace.revision:
                await keyspace.wait_for_change(self._progress_interval_s)

    async def close(self) -> None:
        """Close the connections to the service."""

    async def _begin_call(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise StoreUnavailableError("the store is down")

    def _maybe_lose_reply(self) -> None:
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise WriteOutcomeUnknownError("the reply to the write was lost")

    def _check_watch_alive(self, generation: int) -> None:
        if self.faults.down or generation != self.keyspace.generation:
            raise StoreUnavailableError("the watch was interrupted")
