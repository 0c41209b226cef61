"""Tests of claims on a store that loses replies and becomes unavailable."""

import asyncio

import pytest

from boragespring.answers.messages import ServiceAnswered
from boragespring.claims import ClaimStore, ClaimStoreError, GroupSettings, GroupWriter
from boragespring.claims.record import claim_key, new_record
from boragespring.settings import ClaimSettings
from boragespring.store import MemoryStore
from boragespring.store.keyspace import Keyspace
from boragespring.store.store import ABSENT_REVISION, ConditionalWrite

KEY = claim_key("coop", "app", "k1")
SETTINGS = ClaimSettings(store_timeout_s=0.3, retention_s=100.0, lease_window_s=10.0)


class Clock:
    now_s = 1000.0

    def __call__(self):
        return self.now_s


def make_record(answer_id=b"a"):
    return new_record(b"digest", "service-0", 7, answer_id)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def store(clock):
    return MemoryStore(Keyspace(clock))


@pytest.fixture
async def claims(store):
    writer = GroupWriter(
        store, GroupSettings(interval_s=0.001, non_urgent_delay_s=0.001)
    )
    yield ClaimStore(store, writer, SETTINGS)
    await writer.close()


async def test_only_first_of_two_claims_is_acquired(claims):
    first, second = await asyncio.gather(
        claims.put(KEY, make_record(b"a"), ABSENT_REVISION),
        claims.put(KEY, make_record(b"b"), ABSENT_REVISION),
    )
    assert (first.is_acquired, second.is_acquired) == (True, False)
    assert second.record == first.record


async def test_lost_reply_is_resolved_by_reading_back_change_id(claims, store):
    await claims.put("warm", make_record(), ABSENT_REVISION)
    store.faults.lost_answers = 1
    claim = await claims.put(KEY, make_record(), ABSENT_REVISION)
    assert claim.is_acquired
    assert store.keyspace.get(KEY).item.mod_revision == claim.revision


async def test_put_fails_without_a_record_while_store_is_down(claims, store):
    store.faults.down = True
    with pytest.raises(ClaimStoreError):
        await claims.put(KEY, make_record(), ABSENT_REVISION)
    store.faults.down = False
    assert (await claims.read(KEY)).record is None


async def test_replacing_a_claim_compares_the_revision(claims):
    first = await claims.put(KEY, make_record(b"a"), ABSENT_REVISION)
    replacement = await claims.put(KEY, make_record(b"b"), first.revision)
    outdated = await claims.put(KEY, make_record(b"c"), first.revision)
    assert replacement.is_acquired and not outdated.is_acquired
    assert outdated.record.answer_id == b"b"


async def test_outcome_body_above_the_limit_is_not_stored(claims):
    claim = await claims.put(KEY, make_record(), ABSENT_REVISION)
    answer = ServiceAnswered(b"a", 201, {"Content-Type": "text/plain"}, b"x" * 5000)
    finished = claim.record.with_outcome(answer, body_max_bytes=4096)
    await claims.record_outcome(KEY, finished, claim.revision)
    stored = (await claims.read(KEY)).record.to_answer()
    assert (stored.status, stored.body) == (201, b"")
    assert "5000" in stored.headers["X-Outcome-Body"]


async def test_claim_does_not_expire_before_its_retention(claims, clock):
    await claims.put("early", make_record(), ABSENT_REVISION)
    clock.now_s += 9.0
    await claims.put(KEY, make_record(), ABSENT_REVISION)
    clock.now_s += 100.0
    assert (await claims.read(KEY)).record is not None
    clock.now_s += 11.0
    assert (await claims.read(KEY)).record is None


async def test_expired_lease_is_replaced(claims, clock):
    await claims.put("early", make_record(), ABSENT_REVISION)
    clock.now_s += 1000.0
    assert (await claims.put(KEY, make_record(), ABSENT_REVISION)).is_acquired


async def test_concurrent_writes_share_few_store_calls(store):
    writer = GroupWriter(store, GroupSettings(interval_s=0.01))
    writes = [ConditionalWrite(f"k{n}", b"v", ABSENT_REVISION) for n in range(100)]
    results = await asyncio.gather(*(writer.write(write) for write in writes))
    await writer.close()
    assert all(result.applied for result in results)
    assert store.calls["write"] <= 3


async def test_failed_group_fails_each_of_its_writes(store):
    store.faults.down = True
    writer = GroupWriter(store, GroupSettings())
    writes = [ConditionalWrite(f"k{n}", b"v", ABSENT_REVISION) for n in range(3)]
    results = await asyncio.gather(
        *(writer.write(write) for write in writes), return_exceptions=True
    )
    await writer.close()
    assert [type(result).__name__ for result in results] == [
        "StoreUnavailableError"
    ] * 3
