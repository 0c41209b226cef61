"""Entries that write claims through combiners, in one process.

The group writers and combiners are those of the product; links are replaced by
calls with a delay that can lose replies or be cut.
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

__all__ = ["ClaimFleet", "ClaimWriteFigures", "measure_claim_writes", "run"]

HOP_S = 0.002
DURATION_S = 5.0
DIRECT = CombinerSettings(entries_min=10**9)


@frozen
class ClaimWriteFigures:
    """What the claims of a fleet cost the store.

    Parameters
    ----------
    entries : int
        Size of the fleet.
    claims_per_s : float
        Claims a second over all entries.
    calls_per_s : float
        Calls to the store a second.
    p50_s, p99_s : float
        Time from a claim to its result.
    """

    entries: int
    claims_per_s: float
    calls_per_s: float
    p50_s: float
    p99_s: float


class ClaimFleet:
    """Some entries that write to one store.

    Attributes
    ----------
    keyspace : Keyspace
        State of the store.
    dead : set of str
        Combiners that cannot be reached.
    lost_replies : float
        Share of combiners' replies that are lost.
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
        """Calls of all entries to the store."""
        return sum(store.calls["write"] for store in self.stores.values())

    async def close(self) -> None:
        """End all entries."""
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
            raise NoCombinerError(f"{target} is dead")
        await asyncio.sleep(HOP_S)
        reply = await self.combiners[target].handle(request)
        await asyncio.sleep(HOP_S)
        if self._rng.random() < self.reply_loss_probability:
            raise LinkClosedError("the reply was lost")
        return reply


def measure_claim_writes(
    entries: int, claims_per_s: float, settings: CombinerSettings
) -> ClaimWriteFigures:
    """Measure calls to the store and waits on virtual time."""

    async def main() -> ClaimWriteFigures:
        fleet = ClaimFleet(entries, settings)
        loop = asyncio.get_running_loop()
        waits_s: list[float] = []
        rng = random.Random(1)

        async def claim(number: int) -> None:
            await asyncio.sleep(rng.uniform(0, DURATION_S))
            started_s = loop.time()
            writer = fleet.writers[rng.choice(fleet.names)]
            key = f"claims/{number}"
            result = await writer.write(ConditionalWrite(key, b"x", ABSENT_REVISION))
            assert result.applied
            waits_s.append(loop.time() - started_s)

        count = int(claims_per_s * DURATION_S)
        await asyncio.gather(*map(claim, range(count)))
        calls = fleet.write_calls
        await fleet.close()
        waits_s.sort()
        return ClaimWriteFigures(
            entries,
            claims_per_s,
            calls / DURATION_S,
            waits_s[len(waits_s) // 2],
            waits_s[len(waits_s) * 99 // 100],
        )

    return run_in_virtual_time(main())


def run() -> list[ClaimWriteFigures]:
    """Measure claims of small and large fleets, direct and combined."""
    figures = []
    print("claims, on virtual time: calls to the store and wait for a claim")
    for entries in (3, 50, 410):
        for name, settings in (("direct", DIRECT), ("combined", CombinerSettings())):
            each = measure_claim_writes(entries, 3000.0, settings)
            figures.append(each)
            print(
                f"{entries:4} entries, 3,000 claims/s, {name:8} "
                f"calls={each.calls_per_s:7.0f}/s "
                f"p50={each.p50_s * 1e3:5.1f} ms p99={each.p99_s * 1e3:5.1f} ms"
            )
    return figures
