"""Benchmark a simulated fleet of entries that combine their claim writes.

The group writers and combiners are the production classes. Function calls with
a delay replace the links, and can lose replies or find the target unreachable.
"""

import asyncio
import random

from attrs import frozen

from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.claims import (
    CombinerSettings,
    CombiningStore,
    GroupSettings,
    GroupWriter,
    NoCombinerError,
    WriteCombiner,
    choose_combiner,
)
from boragespring.claims.messages import CombineWrites, WritesCombined
from boragespring.links import Dispatcher, LinkClosedError
from boragespring.store import Keyspace, MemoryStore
from boragespring.store.store import ABSENT_REVISION, ConditionalWrite

__all__ = ["ClaimFleet", "ClaimWriteResult", "measure_claim_writes", "run"]

LINK_DELAY_S = 0.002
DURATION_S = 5.0
#: No fleet is large enough for these settings to combine writes.
DIRECT_WRITES = CombinerSettings(entries_min=10**9)


@frozen
class ClaimWriteResult:
    """Store load and latency of the claim writes of a fleet.

    Parameters
    ----------
    entries : int
        Number of entries.
    claims_per_s : float
        Rate of claims over all entries.
    calls_per_s : float
        Rate of write calls to the store.
    p50_s, p99_s : float
        Percentiles of the time, in seconds, from a claim to its result.
    """

    entries: int
    claims_per_s: float
    calls_per_s: float
    p50_s: float
    p99_s: float


class ClaimFleet:
    """Simulated entries that write to one store.

    Parameters
    ----------
    entries : int
        Number of entries.
    settings : CombinerSettings
        Settings of the combiners.
    seed : int
        Seed of the random reply loss.

    Attributes
    ----------
    unreachable : set of str
        Names of entries whose combiner cannot be reached.
    reply_loss_probability : float
        Probability that the reply of a combiner is lost.
    keyspace : Keyspace
        State of the store.
    """

    def __init__(self, entries: int, settings: CombinerSettings, seed: int = 0) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self.unreachable: set[str] = set()
        self.reply_loss_probability = 0.0
        self.keyspace = Keyspace(asyncio.get_running_loop().time)
        self.names = [f"e{number}" for number in range(entries)]
        self.stores = {name: MemoryStore(self.keyspace) for name in self.names}
        self.combiners = {
            name: WriteCombiner(self.stores[name], settings, Dispatcher())
            for name in self.names
        }
        self.combining_stores = {
            name: self._create_combining_store(name) for name in self.names
        }
        self.writers = {
            name: GroupWriter(self.combining_stores[name], GroupSettings())
            for name in self.names
        }

    @property
    def write_calls(self) -> int:
        """Number of write calls of all entries to the store."""
        return sum(store.calls["write"] for store in self.stores.values())

    async def close(self) -> None:
        """Close the writers and combiners of all entries."""
        for name in self.names:
            await self.writers[name].close()
            await self.combiners[name].close()

    def _create_combining_store(self, name: str) -> CombiningStore:
        target = choose_combiner(name, self.names, self._settings)
        return CombiningStore(
            name, self.stores[name], self.combiners[name], lambda: target, self._send
        )

    async def _send(self, target: str, request: CombineWrites) -> WritesCombined:
        if target in self.unreachable:
            raise NoCombinerError(f"combiner {target!r} is unreachable")
        await asyncio.sleep(LINK_DELAY_S)
        reply = await self.combiners[target].handle(request)
        await asyncio.sleep(LINK_DELAY_S)
        if self._rng.random() < self.reply_loss_probability:
            raise LinkClosedError("the reply was lost")
        return reply


def measure_claim_writes(
    entries: int, claims_per_s: float, settings: CombinerSettings
) -> ClaimWriteResult:
    """Measure store calls and latencies of claims in virtual time.

    Parameters
    ----------
    entries : int
        Number of entries.
    claims_per_s : float
        Rate of claims over all entries.
    settings : CombinerSettings
        Settings of the combiners.
    """

    async def main() -> ClaimWriteResult:
        fleet = ClaimFleet(entries, settings)
        loop = asyncio.get_running_loop()
        latencies_s: list[float] = []
        rng = random.Random(1)

        async def write_claim(number: int) -> None:
            await asyncio.sleep(rng.uniform(0, DURATION_S))
            started_s = loop.time()
            writer = fleet.writers[rng.choice(fleet.names)]
            key = f"claims/{number}"
            result = await writer.write(ConditionalWrite(key, b"x", ABSENT_REVISION))
            assert result.applied
            latencies_s.append(loop.time() - started_s)

        count = int(claims_per_s * DURATION_S)
        await asyncio.gather(*map(write_claim, range(count)))
        calls = fleet.write_calls
        await fleet.close()
        latencies_s.sort()
        return ClaimWriteResult(
            entries,
            claims_per_s,
            calls / DURATION_S,
            latencies_s[len(latencies_s) // 2],
            latencies_s[len(latencies_s) * 99 // 100],
        )

    return run_in_virtual_time(main())


def run() -> list[ClaimWriteResult]:
    """Measure direct and combined claim writes at several fleet sizes."""
    results = []
    print("claims, in virtual time: write calls to the store and latency of a claim")
    for entries in (3, 50, 410):
        for name, settings in (
            ("direct", DIRECT_WRITES),
            ("combined", CombinerSettings()),
        ):
            result = measure_claim_writes(entries, 3000.0, settings)
            results.append(result)
            print(
                f"{entries:4} entries, 3,000 claims/s, {name:8} "
                f"calls={result.calls_per_s:7.0f}/s "
                f"p50={result.p50_s * 1e3:5.1f} ms p99={result.p99_s * 1e3:5.1f} ms"
            )
    return results
