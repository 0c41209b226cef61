"""Tests of writes that many entries send to the store through few combiners."""

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


def create_write(key, value=b"v", lease_id=0):
    return ConditionalWrite(key, value, 0, lease_id)


def test_only_large_fleets_choose_combiners():
    names = [f"e{number}" for number in range(410)]
    assert choose_combiner("e1", names[:15], SETTINGS) is None
    chosen = {choose_combiner(name, names, SETTINGS) for name in names}
    assert len(chosen) == 2 and None not in chosen
    assert all(choose_combiner(name, names, SETTINGS) == name for name in chosen)


def entries_with_remote_combiner(fleet, settings):
    """Return the entries that send their writes to another entry."""
    names = fleet.names
    return [name for name in names if choose_combiner(name, names, settings) != name]


def test_one_of_many_conflicting_claims_applies():
    async def main():
        fleet = ClaimFleet(40, SETTINGS)
        keys = [f"k{number}" for number in range(30)]
        writes = [
            fleet.writers[name].write(create_write(key, name.encode()))
            for name in fleet.names
            for key in keys
        ]
        results = await asyncio.gather(*writes)
        assert sum(result.applied for result in results) == len(keys)
        calls = fleet.write_calls
        await fleet.close()
        return calls

    # A call contains each key at most once, so the 1,200 conflicting writes of 30
    # keys need about 40 calls.
    assert run_in_virtual_time(main()) <= 40 + 2


def test_lost_reply_is_unknown_outcome_and_unreachable_combiner_is_bypassed():
    async def main():
        fleet = ClaimFleet(20, SETTINGS)
        name = entries_with_remote_combiner(fleet, SETTINGS)[0]
        combiner_name = choose_combiner(name, fleet.names, SETTINGS)
        fleet.reply_loss_probability = 1.0
        with pytest.raises(WriteOutcomeUnknownError):
            await fleet.combining_stores[name].write_many([create_write("a")])
        # The write took effect although its reply was lost.
        assert (await fleet.stores[name].get("a")).item.value == b"v"
        fleet.unreachable.add(combiner_name)
        (result,) = await fleet.combining_stores[name].write_many([create_write("b")])
        assert result.applied
        assert fleet.stores[name].calls["write"] == 1
        await fleet.close()

    run_in_virtual_time(main())


def test_expired_lease_fails_only_the_writes_of_its_entry():
    async def main():
        settings = CombinerSettings(entries_min=16, combiners=1)
        fleet = ClaimFleet(20, settings)
        first, second = entries_with_remote_combiner(fleet, settings)[:2]
        outcomes = await asyncio.gather(
            fleet.combining_stores[first].write_many([create_write("a", lease_id=999)]),
            fleet.combining_stores[second].write_many([create_write("b")]),
            return_exceptions=True,
        )
        assert isinstance(outcomes[0], LeaseExpiredError)
        assert outcomes[1][0].applied
        assert (await fleet.stores[first].get("a")).item is None
        await fleet.close()

    run_in_virtual_time(main())


def test_largest_fleet_stays_within_the_store_call_budget():
    result = measure_claim_writes(410, 1000.0, CombinerSettings())
    assert result.calls_per_s <= 300
