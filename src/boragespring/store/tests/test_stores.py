"""Tests of the rate budget and of writes whose outcome is unknown."""

from contextlib import aclosing

import pytest

from boragespring.store.budget import BudgetedStore, BudgetSettings, CallKind
from boragespring.store.keyspace import Keyspace
from boragespring.store.memory_store import MemoryStore
from boragespring.store.store import (
    ConditionalWrite,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)
from boragespring.store.write_resolution import WriteResolutionSettings, write_resolved


def put(key, value, expected=0):
    return ConditionalWrite(key, value, expected)


async def test_budget_delays_then_rejects_calls():
    store = BudgetedStore(
        MemoryStore(Keyspace()),
        BudgetSettings(
            writes_per_s=100, reads_per_s=0.5, open_watches=1, burst_s=0, max_wait_s=0.1
        ),
        clock=lambda: 0.0,
    )
    with pytest.raises(StoreUnavailableError):
        await store.get("k")
    await store.write(put("k", b""))
    assert store.counters.refused[CallKind.READ] == 1
    assert store.counters.delayed[CallKind.WRITE] == 1
    assert store.counters.made[CallKind.WRITE] == 1


async def test_budget_limits_open_watches():
    store = BudgetedStore(MemoryStore(Keyspace()), BudgetSettings(open_watches=1))
    async with aclosing(store.watch("", 2)) as first:
        await anext(first)
        with pytest.raises(StoreUnavailableError):
            await anext(store.watch("", 2))
    async with aclosing(store.watch("", 2)) as second:
        await anext(second)
    assert store.counters.open_watches == 0


class ConcurrentWriterStore(MemoryStore):
    """Store with another writer between the lost reply and the read that follows."""

    def __init__(self, keyspace, first_write_applies):
        super().__init__(keyspace)
        self.first_write_applies = first_write_applies
        self.writes = 0

    async def write(self, write):
        self.writes += 1
        if self.writes > 1:
            return await super().write(write)
        if self.first_write_applies:
            await super().write(write)
        current = (await self.get(write.key)).item
        await super().write(put(write.key, current.value + b",b", current.mod_revision))
        raise WriteOutcomeUnknownError("lost")


@pytest.mark.parametrize("first_write_applies", [True, False])
async def test_resolution_finds_the_change_under_later_writes(first_write_applies):
    keyspace = Keyspace()
    await MemoryStore(keyspace).write(put("k", b"0"))
    store = ConcurrentWriterStore(keyspace, first_write_applies)
    result = await write_resolved(
        store, put("k", b"0,a", 2), lambda item: b"a" in item.value.split(b",")
    )
    assert result.applied is first_write_applies
    assert store.writes == 1


async def test_outcome_stays_unknown_while_the_store_is_down():
    store = MemoryStore(Keyspace())

    async def lose_reply_and_go_down(write):
        store.faults.down = True
        raise WriteOutcomeUnknownError("lost")

    store.write = lose_reply_and_go_down
    with pytest.raises(WriteOutcomeUnknownError, match="still unknown"):
        await write_resolved(
            store, put("k", b"a"), lambda item: True, WriteResolutionSettings(0.1, 0.01)
        )


async def test_resolution_retries_a_write_that_never_arrived():
    store = MemoryStore(Keyspace())
    original_write, lost_writes = store.write, []

    async def lose_first_request(write):
        if not lost_writes:
            lost_writes.append(write)
            raise WriteOutcomeUnknownError("request lost")
        return await original_write(write)

    store.write = lose_first_request
    result = await write_resolved(
        store, put("k", b"a"), lambda item: item.value == b"a"
    )
    assert result.applied
    assert (await store.get("k")).item.value == b"a"
