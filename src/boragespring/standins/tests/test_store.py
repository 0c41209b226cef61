"""Test the etcd and instance-list clients against the store stand-in over HTTP."""

import asyncio
from contextlib import aclosing

import aiohttp
import pytest

from boragespring.standins.store import StoreStandIn, StoreStandInSettings
from boragespring.store.etcd import EtcdSettings, EtcdStore
from boragespring.store.instances import Instance, InstanceListError, InstanceRole
from boragespring.store.instances_http import HttpInstanceList
from boragespring.store.store import (
    ConditionalWrite,
    LeaseExpiredError,
    StoreSteppedBackError,
    StoreUnavailableError,
    WatchCompactedError,
    WriteOutcomeUnknownError,
)
from boragespring.store.write_resolution import write_resolved


@pytest.fixture
async def standin():
    server = StoreStandIn(StoreStandInSettings(progress_interval_s=0.05))
    await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def store(standin):
    client = EtcdStore(
        EtcdSettings(urls=(standin.url,), call_timeout_s=2.0, silence_timeout_s=0.5)
    )
    yield client
    await client.close()


def conditional_write(key, value, expected=0, lease_id=0):
    return ConditionalWrite(key, value, expected, lease_id)


async def test_grouped_writes_return_one_result_each(store):
    first = await store.write(conditional_write("a/1", b"one"))
    assert first.applied
    results = await store.write_many(
        [
            conditional_write("a/1", b"uno", first.revision),
            conditional_write("a/2", b"two"),
            conditional_write("a/1x", b"", 99),
            conditional_write("a/3", None, 7),
        ]
    )
    assert [result.applied for result in results] == [True, True, False, False]
    rejected = await store.write(conditional_write("a/2", b"other"))
    assert (rejected.applied, rejected.current.value) == (False, b"two")
    found = await store.range("a/")
    assert [(item.key, item.value) for item in found.items] == [
        ("a/1", b"uno"),
        ("a/2", b"two"),
    ]
    limited = await store.range("a/", limit=1)
    assert len(limited.items) == 1
    assert (await store.get("a/")).item is None


async def test_lost_reply_is_an_unknown_outcome_and_resolved_with_one_write(
    standin, store
):
    standin.faults.lost_answers = 1
    with pytest.raises(WriteOutcomeUnknownError):
        await store.write(conditional_write("k", b"id-1"))
    assert (await store.get("k")).item.value == b"id-1"

    standin.faults.lost_answers = 1
    revision = (await store.get("k")).item.mod_revision
    calls = standin.calls["/v3/kv/txn"]
    result = await write_resolved(
        store,
        conditional_write("k", b"id-2", revision),
        lambda item: item.value == b"id-2",
    )
    assert result.applied
    assert standin.calls["/v3/kv/txn"] == calls + 1


async def test_refused_connection_is_not_an_unknown_outcome(standin, store):
    await standin.stop()
    with pytest.raises(StoreUnavailableError):
        await store.write(conditional_write("k", b"v"))
    with pytest.raises(StoreUnavailableError):
        await store.get("k")
    await standin.start()
    assert (await store.write(conditional_write("k", b"v"))).applied


async def test_aborted_connection_leaves_the_outcome_unknown(standin, store):
    standin.faults.down = True
    with pytest.raises(WriteOutcomeUnknownError):
        await store.write(conditional_write("k", b"v"))
    with pytest.raises(StoreUnavailableError):
        await store.get("k")
    standin.faults.down = False
    assert (await store.get("k")).item is None


async def test_slow_write_times_out_with_an_unknown_outcome(standin):
    client = EtcdStore(EtcdSettings(urls=(standin.url,), call_timeout_s=0.1))
    standin.faults.delay_s = 5.0
    with pytest.raises(WriteOutcomeUnknownError):
        await client.write(conditional_write("k", b"v"))
    await client.close()


async def test_unreachable_member_is_skipped(standin, unused_tcp_port):
    unreachable_url = f"http://127.0.0.1:{unused_tcp_port}"
    client = EtcdStore(EtcdSettings(urls=(unreachable_url, standin.url)))
    assert (await client.write(conditional_write("k", b"v"))).applied
    assert (await client.get("k")).item.value == b"v"
    await client.close()


async def test_oversized_value_is_rejected_without_effect(store):
    with pytest.raises(StoreUnavailableError, match="too large"):
        await store.write(conditional_write("k", bytes(1024 * 1024 + 1)))


async def test_watch_delivers_each_revision_in_order(store):
    start = await store.write(conditional_write("w/1", b"1"))
    changes = []
    async with aclosing(store.watch("w/", start.revision)) as batches:
        async for batch in batches:
            changes += [(e.key, e.item and e.item.value) for e in batch.events]
            if len(changes) == 1 and batch.events:
                await store.write_many(
                    [conditional_write("w/2", b"2"), conditional_write("other", b"")]
                )
                await store.write(conditional_write("w/1", None, start.revision))
            if len(changes) == 3:
                break
    assert changes == [("w/1", b"1"), ("w/2", b"2"), ("w/1", None)]


async def first_batch(batches):
    async with aclosing(batches):
        return await anext(aiter(batches))


async def test_watch_failures_raise_distinct_errors(standin, store):
    for number in range(5):
        await store.write(conditional_write(f"w/{number}", b""))
    standin.keyspace.compact(4)
    with pytest.raises(WatchCompactedError):
        await first_batch(store.watch("w/", 2))
    standin.keyspace.restore(5)
    with pytest.raises(StoreSteppedBackError):
        await first_batch(store.watch("w/", 7))
    standin.faults.silent_watches = True
    with pytest.raises(StoreUnavailableError):
        await first_batch(store.watch("w/", 6))
    assert (await store.get("w/0")).item is not None


async def test_open_watch_fails_when_the_store_loses_revisions(standin, store):
    await store.write(conditional_write("w/1", b""))
    with pytest.raises(StoreUnavailableError):
        async with aclosing(store.watch("w/", 2)) as batches:
            async for batch in batches:
                if batch.events:
                    standin.keyspace.restore(1)


async def test_lease_deletes_its_keys_when_it_expires():
    now_s = [100.0]
    server = StoreStandIn(clock=lambda: now_s[0])
    await server.start()
    client = EtcdStore(EtcdSettings(urls=(server.url,)))
    lease = await client.grant_lease(2.5)
    assert lease.ttl_s == 3.0
    await client.write(conditional_write("held", b"me", lease_id=lease.lease_id))
    now_s[0] += 2.0
    await client.renew_lease(lease.lease_id)
    now_s[0] += 2.0
    assert (await client.get("held")).item.lease_id == lease.lease_id
    now_s[0] += 1.0
    assert (await client.get("held")).item is None
    with pytest.raises(LeaseExpiredError):
        await client.renew_lease(lease.lease_id)
    with pytest.raises(LeaseExpiredError):
        await client.write(conditional_write("held", b"me", lease_id=lease.lease_id))
    with pytest.raises(LeaseExpiredError):
        await client.revoke_lease(lease.lease_id)
    await client.close()
    await server.stop()


async def test_instance_list_is_delayed_and_can_fail(standin):
    now_s = [0.0]
    standin._clock = lambda: now_s[0]
    standin.settings.instances_lag_s = 2.0
    client = HttpInstanceList(standin.url)
    instance = Instance("e1", InstanceRole.ENTRY, "", "r", "z", "127.0.0.1", 1, 2)
    standin.put_instances((instance,))
    assert await client.fetch() == ()
    now_s[0] = 2.0
    assert await client.fetch() == (instance,)
    standin.faults.down = True
    with pytest.raises(InstanceListError):
        await client.fetch()
    await client.close()


async def test_faults_and_weight_loads_over_http(standin):
    async with aiohttp.ClientSession(standin.url) as session:
        async with session.post("/faults", json={"lost_answers": 2}) as response:
            assert (await response.json())["lost_answers"] == 2
        async with session.post("/faults", json={"nonsense": 1}) as response:
            assert response.status == 400
        statuses = []
        for _ in range(2):
            async with session.post("/weights/m") as response:
                statuses.append(response.status)
    assert statuses == [200, 429]
    assert standin.faults.lost_answers == 2
    await asyncio.sleep(0)
