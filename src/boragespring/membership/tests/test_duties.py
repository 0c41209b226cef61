"""Test that a duty has at most one holder despite store and process faults."""

import asyncio
import contextlib
import random

import pytest

from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.membership import DutyManager, DutySettings
from boragespring.store import Keyspace, MemoryStore, StoreFaults
from boragespring.store.etcd import MAX_WRITES_PER_CALL
from boragespring.store.store import WriteOutcomeUnknownError

TTL_S = 6.0


class Process:
    """Candidate for a duty whose store calls block while it is paused."""

    def __init__(self, keyspace, name):
        self.loop = asyncio.get_running_loop()
        self.faults = StoreFaults()
        self.resumed = asyncio.Event()
        self.resumed.set()
        store = MemoryStore(keyspace, self.faults)
        original_begin_call = store._begin_call

        async def begin_call(kind):
            await self.resumed.wait()
            await original_begin_call(kind)
            await self.resumed.wait()

        store._begin_call = begin_call
        self.is_candidate = True
        self.duty_manager = DutyManager(store, name, DutySettings(), self.loop.time)
        self.duty = self.duty_manager.register("orders", lambda: self.is_candidate)
        self.task = asyncio.create_task(self.duty_manager.run())

    async def stop(self):
        self.resumed.set()
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


def run_virtual(scenario):
    async def main():
        loop = asyncio.get_running_loop()
        keyspace = Keyspace(loop.time)
        started = []

        def start(name):
            started.append(Process(keyspace, name))
            return started[-1]

        try:
            await scenario(start, keyspace)
        finally:
            for process in started:
                await process.stop()

    run_in_virtual_time(main())


async def wait_until(condition, timeout_s=60.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_planned_stop_frees_the_duty_before_the_lease_expires():
    async def scenario(start, keyspace):
        first = start("a")
        await first.duty.wait_until_held()
        second = start("b")
        await asyncio.sleep(3)
        assert second.duty.holder_name == "a"
        await first.stop()
        assert not first.duty.is_held()
        fence = await asyncio.wait_for(second.duty.wait_until_held(), TTL_S / 2)
        assert fence > first.duty.observed_fence

    run_virtual(scenario)


def test_holder_that_is_no_longer_a_candidate_releases_the_duty():
    async def scenario(start, keyspace):
        first = start("a")
        await first.duty.wait_until_held()
        second = start("b")
        first.is_candidate = False
        await asyncio.wait_for(second.duty.wait_until_held(), TTL_S)
        assert not first.duty.is_held() and first.duty.fence == 0
        await wait_until(lambda: first.duty.holder_name == "b")

    run_virtual(scenario)


def test_paused_holder_stops_before_it_calls_the_store():
    async def scenario(start, keyspace):
        first = start("a")
        old_fence = await first.duty.wait_until_held()
        second = start("b")
        first.resumed.clear()
        await asyncio.sleep(TTL_S)
        assert not first.duty.is_held() and first.duty.fence == 0
        assert await asyncio.wait_for(second.duty.wait_until_held(), TTL_S) > old_fence
        first.resumed.set()
        await asyncio.sleep(TTL_S)
        assert second.duty.is_held() and not first.duty.is_held()
        assert first.duty.holder_name == "b"

    run_virtual(scenario)


@pytest.mark.parametrize("takes_effect", [True, False])
def test_lost_reply_to_an_acquisition_is_resolved_by_reading(takes_effect):
    async def scenario(start, keyspace):
        process = start("a")
        store = process.duty_manager._store
        original = store.write_many
        lost_writes = []

        async def lose_first_reply(writes):
            if lost_writes:
                return await original(writes)
            lost_writes.append(writes)
            if takes_effect:
                await original(writes)
            raise WriteOutcomeUnknownError("lost")

        store.write_many = lose_first_reply
        fence = await asyncio.wait_for(process.duty.wait_until_held(), TTL_S)
        assert fence == keyspace.get("duties/orders").item.create_revision
        assert process.duty_manager.counters.writes == (1 if takes_effect else 2)

    run_virtual(scenario)


def test_revoked_lease_leads_to_a_larger_fence():
    async def scenario(start, keyspace):
        process = start("a")
        old_fence = await process.duty.wait_until_held()
        keyspace.revoke_lease(process.duty_manager._lease.lease_id)
        await wait_until(lambda: process.duty.fence > old_fence)
        item = keyspace.get("duties/orders").item
        assert item.lease_id == process.duty_manager._lease.lease_id
        assert process.duty.fence == item.create_revision

    run_virtual(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_leave_one_holder_and_increasing_fences(seed):
    rng = random.Random(seed)

    async def scenario(start, keyspace):
        processes = [start(name) for name in "abc"]
        highest = 0

        async def inject_faults():
            while True:
                process = rng.choice(processes)
                fault = rng.choice(("pause", "down", "lost", "slow"))
                if fault == "pause":
                    process.resumed.clear()
                process.faults.down = fault == "down"
                process.faults.lost_answers = int(fault == "lost") * 2
                process.faults.delay_s = 1.5 * (fault == "slow")
                await asyncio.sleep(rng.uniform(0.5, 2 * TTL_S))
                process.resumed.set()
                process.faults.down = False
                process.faults.delay_s = 0.0

        injector = asyncio.create_task(inject_faults())
        for _ in range(6000):
            await asyncio.sleep(0.05)
            holders = [p for p in processes if p.duty.is_held()]
            assert len(holders) <= 1
            if holders:
                assert holders[0].duty.fence >= highest
                highest = holders[0].duty.fence
                item = keyspace.get("duties/orders").item
                assert item.create_revision == highest
        injector.cancel()
        assert highest > 0

    random.seed(seed)
    run_virtual(scenario)


def test_hundreds_of_duties_are_acquired_and_released_in_batches():
    async def scenario(start, keyspace):
        process = start("a")
        await process.duty.wait_until_held()
        store, original = (
            process.duty_manager._store,
            process.duty_manager._store.write_many,
        )

        async def write_limited(writes):
            if len(writes) > MAX_WRITES_PER_CALL:
                raise ValueError("too many writes")
            return await original(writes)

        store.write_many = write_limited
        duties = [
            process.duty_manager.register(f"limits/{n}", lambda: process.is_candidate)
            for n in range(300)
        ]
        await wait_until(lambda: all(duty.is_held() for duty in duties))
        process.is_candidate = False
        await wait_until(lambda: not keyspace.range("duties/", "duties0").items)
        assert not any(duty.is_held() for duty in duties)

    run_virtual(scenario)


def test_malformed_reply_does_not_end_a_duty():
    async def scenario(start, keyspace):
        process = start("a")
        await process.duty.wait_until_held()
        store, original = process.duty_manager._store, process.duty_manager._store.range

        async def malformed(prefix, limit=0):
            store.range = original
            raise KeyError("header")

        store.range = malformed
        await asyncio.sleep(3 * TTL_S)
        assert store.range == original
        assert process.duty.is_held()

    run_virtual(scenario)


def test_store_call_rate_is_low_when_idle_and_in_an_outage():
    async def scenario(start, keyspace):
        process = start("a")
        await process.duty.wait_until_held()
        store = process.duty_manager._store
        store.calls.clear()
        await asyncio.sleep(100)
        assert store.calls.total() < 130
        process.faults.down = True
        store.calls.clear()
        await asyncio.sleep(100)
        assert store.calls.total() < 250
        assert not process.duty.is_held()
        process.faults.down = False
        await asyncio.wait_for(process.duty.wait_until_held(), TTL_S)

    run_virtual(scenario)
