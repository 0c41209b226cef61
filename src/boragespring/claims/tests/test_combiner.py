"""Claims of a large fleet go through few entries and lose nothing."""

import asyncio

import pytest

from boragespring.bench.claim_fleet import ClaimFleet, measure_claim_writes
from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.claims import CombinerSettings, choose_combiner
from boragespring.store.store import (
    ConditionalWrite,
    LeaseExpiredError,
    WriteOutcomeUnknownError,
)

SETTINGS = CombinerSettings(entries_min=16, combiners=2)


def create(key, value=b"v", lease_id=0):
    return ConditionalWrite(key, value, 0, lease_id)


def test_small_fleets_write_directly_and_large_ones_by_few_entries():
    names = [f"e{number}" for number in range(410)]
    assert choose_combiner("e1", names[:15], SETTINGS) is None
    chosen = {choose_combiner(name, names, SETTINGS) for name in names}
    assert len(chosen) == 2 and None not in chosen
    assert all(choose_combiner(name, names, SETTINGS) == name for name in chosen)


def others(fleet, settings):
    """Return the entries whose writes another entry combines."""
    names = fleet.names
    return [name for name in names if choose_combiner(name, names, settings) != name]


def test_of_rival_claims_over_all_entries_one_applies():
    async def main():
        fleet = ClaimFleet(40, SETTINGS)
        keys = [f"k{number}" for number in range(30)]
        writes = [
            fleet.writers[name].write(create(key, name.encode()))
            for name in fleet.names
            for key in keys
        ]
        results = await asyncio.gather(*writes)
        assert sum(result.applied for result in results) == len(keys)
        calls = fleet.calls
        await fleet.close()
        return calls

    # 1,200 rival writes of 30 keys, of which one call takes each key once.
    assert run_in_virtual_time(main()) <= 40 + 2


def test_lost_reply_is_an_unknown_outcome_and_a_dead_combiner_is_passed_by():
    async def main():
        fleet = ClaimFleet(20, SETTINGS)
        name = others(fleet, SETTINGS)[0]
        target = choose_combiner(name, fleet.names, SETTINGS)
        fleet.lost_replies = 1.0
        with pytest.raises(WriteOutcomeUnknownError):
            await fleet.groups[name].write_many([create("a")])
        # It took effect, so that reading it back finds it.
        assert (await fleet.stores[name].get("a")).item.value == b"v"
        fleet.dead.add(target)
        (result,) = await fleet.groups[name].write_many([create("b")])
        assert result.applied
        assert fleet.stores[name].calls["write"] == 1
        await fleet.close()

    run_in_virtual_time(main())


def test_expired_lease_of_one_entry_fails_that_entry_only():
    async def main():
        one = CombinerSettings(entries_min=16, combiners=1)
        fleet = ClaimFleet(20, one)
        first, second = others(fleet, one)[:2]
        outcomes = await asyncio.gather(
            fleet.groups[first].write_many([create("a", lease_id=999)]),
            fleet.groups[second].write_many([create("b")]),
            return_exceptions=True,
        )
        assert isinstance(outcomes[0], LeaseExpiredError)
        assert outcomes[1][0].applied
        assert (await fleet.stores[first].get("a")).item is None
        await fleet.close()

    run_in_virtual_time(main())


def test_claims_of_the_largest_fleet_stay_within_the_budget_of_the_store():
    figures = measure_claim_writes(410, 1000.0, CombinerSettings())
    assert figures.calls_per_s <= 300
