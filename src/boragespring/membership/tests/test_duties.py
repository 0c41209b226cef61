"""Duties: one holder at a time, whatever the store and the holders suffer."""

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
    """A candidate whose store calls hang while it is paused."""

    def __init__(self, keyspace, name):
        self.loop = asyncio.get_running_loop()
        self.faults = StoreFaults()
        self.awake = asyncio.Event()
        self.awake.set()
        store = MemoryStore(keyspace, self.faults)
        real_enter = store._enter

        async def enter(kind):
            await self.awake.wait()
            await real_enter(kind)
            await self.awake.wait()

        store._enter = enter
        self.wanted = True
        self.duty_manager = DutyManager(store, name, DutySettings(), self.loop.time)
        self.duty = self.duty_manager.register("orders", lambda: self.wanted)
        self.task = asyncio.create_task(self.duty_manager.run())

    async def stop(self):
        self.awake.set()
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


def virtual(body):
    async def main():
        loop = asyncio.get_running_loop()
        keyspace = Keyspace(loop.time)
        started = []

        def start(name):
            started.append(Process(keyspace, name))
            return started[-1]

        try:
            await body(start, keyspace)
        finally:
            for process in started:
                await process.stop()

    run_in_virtual_time(main())


async def until(condition, timeout_s=60.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_planned_stop_hands_over_before_the_lease_ends():
    async def body(start, keyspace):
        first = start("a")
        await first.duty.wait_until_held()
        second = start("b")
        await asyncio.sleep(3)
        assert second.duty.holder_name == "a"
        await first.stop()
        assert not first.duty.is_held()
        fence = await asyncio.wait_for(second.duty.wait_until_held(), TTL_S / 2)
        assert fence > first.duty.observed_fence

    virtual(body)


def test_holder_that_is_no_longer_a_candidate_gives_back():
    async def body(start, keyspace):
        first = start("a")
        await first.duty.wait_until_held()
        second = start("b")
        first.wanted = False
        await asyncio.wait_for(second.duty.wait_until_held(), TTL_S)
        assert not first.duty.is_held() and first.duty.fence == 0
        await until(lambda: first.duty.holder_name == "b")

    virtual(body)


def test_paused_holder_knows_before_it_asks_the_store():
    async def body(start, keyspace):
        first = start("a")
        old_fence = await first.duty.wait_until_held()
        second = start("b")
        first.awake.clear()
        await asyncio.sleep(TTL_S)
        assert not first.duty.is_held() and first.duty.fence == 0
        assert await asyncio.wait_for(second.duty.wait_until_held(), TTL_S) > old_fence
        first.awake.set()
        await asyncio.sleep(TTL_S)
        assert second.duty.is_held() and not first.duty.is_held()
        assert first.duty.holder_name == "b"

    virtual(body)


@pytest.mark.parametrize("takes_effect", [True, False])
def test_lost_answer_of_the_campaign_is_settled_by_reading(takes_effect):
    async def body(start, keyspace):
        process = start("a")
        store = process.duty_manager._store
        real = store.write_many
        lost = []

        async def lose_once(writes):
            if lost:
                return await real(writes)
            lost.append(writes)
            if takes_effect:
                await real(writes)
            raise WriteOutcomeUnknownError("lost")

        store.write_many = lose_once
        fence = await asyncio.wait_for(process.duty.wait_until_held(), TTL_S)
        assert fence == keyspace.get("duties/orders").item.create_revision
        assert process.duty_manager.counters.writes == (1 if takes_effect else 2)

    virtual(body)


def test_lease_that_the_store_ended_gives_a_new_fence():
    async def body(start, keyspace):
        process = start("a")
        old_fence = await process.duty.wait_until_held()
        keyspace.revoke_lease(process.duty_manager._lease.lease_id)
        await until(lambda: process.duty.fence > old_fence)
        item = keyspace.get("duties/orders").item
        assert item.lease_id == process.duty_manager._lease.lease_id
        assert process.duty.fence == item.create_revision

    virtual(body)


@pytest.mark.parametrize("seed", range(12))
def test_never_two_holders_and_fences_only_grow(seed):
    rng = random.Random(seed)

    async def body(start, keyspace):
        processes = [start(name) for name in "abc"]
        highest = 0

        async def disturb():
            while True:
                process = rng.choice(processes)
                fault = rng.choice(("pause", "down", "lost", "slow"))
                if fault == "pause":
                    process.awake.clear()
                process.faults.down = fault == "down"
                process.faults.lost_answers = int(fault == "lost") * 2
                process.faults.delay_s = 1.5 * (fault == "slow")
                await asyncio.sleep(rng.uniform(0.5, 2 * TTL_S))
                process.awake.set()
                process.faults.down = False
                process.faults.delay_s = 0.0

        disturber = asyncio.create_task(disturb())
        for _ in range(6000):
            await asyncio.sleep(0.05)
            holders = [p for p in processes if p.duty.is_held()]
            assert len(holders) <= 1
            if holders:
                assert holders[0].duty.fence >= highest
                highest = holders[0].duty.fence
                item = keyspace.get("duties/orders").item
                assert item.create_revision == highest
        disturber.cancel()
        assert highest > 0

    random.seed(seed)
    virtual(body)


def test_hundreds_of_duties_are_taken_and_given_back_in_small_writes():
    async def body(start, keyspace):
        process = start("a")
        await process.duty.wait_until_held()
        store, real = (
            process.duty_manager._store,
            process.duty_manager._store.write_many,
        )

        async def limited(writes):
            if len(writes) > MAX_WRITES_PER_CALL:
                raise ValueError("too many writes")
            return await real(writes)

        store.write_many = limited
        duties = [
            process.duty_manager.register(f"limits/{n}", lambda: process.wanted)
            for n in range(300)
        ]
        await until(lambda: all(duty.is_held() for duty in duties))
        process.wanted = False
        await until(lambda: not keyspace.range("duties/", "duties0").items)
        assert not any(duty.is_held() for duty in duties)

    virtual(body)


def test_malformed_answer_ends_no_duty():
    async def body(start, keyspace):
        process = start("a")
        await process.duty.wait_until_held()
        store, real = process.duty_manager._store, process.duty_manager._store.range

        async def malformed(prefix, limit=0):
            store.range = real
            raise KeyError("header")

        store.range = malformed
        await asyncio.sleep(3 * TTL_S)
        assert store.range == real
        assert process.duty.is_held()

    virtual(body)


def test_store_calls_at_rest_and_in_an_outage_are_few():
    async def body(start, keyspace):
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

    virtual(body)
