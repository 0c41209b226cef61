"""Load reports expire, and lost cache events leave prefixes unconfirmed."""

import asyncio

import pytest
from prometheus_client import CollectorRegistry

from boragespring.admission import AdmissionQueue
from boragespring.agent.cache_follower import CacheFollower
from boragespring.agent.load_monitor import LoadMonitor
from boragespring.engines import VendorName, create_engine_client
from boragespring.routing import CacheIndex, prefix_hashes
from boragespring.standins import (
    EngineCoreSettings,
    EngineStandIn,
    EngineStandInSettings,
)
from boragespring.standins.cache_events import CacheEventPublisher


class FakeClock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.fixture
async def engine():
    core = EngineCoreSettings(memory_tokens=1_000)
    engine = EngineStandIn(EngineStandInSettings(core=core))
    await engine.start()
    yield engine
    await engine.stop()


async def test_unusable_reports_are_counted_and_last_usable_one_expires(engine):
    registry = CollectorRegistry()
    queue = AdmissionQueue()
    client = create_engine_client(VendorName.VLLM, engine.url)
    monitor = LoadMonitor(client, queue, 1.0, registry)
    await monitor.read()
    last_usable = monitor.report
    assert last_usable.memory_tokens == 992
    clock = FakeClock()
    clock.now_s = last_usable.received_at_s + 1.0
    monitor._clock = clock
    engine.faults.report = "vllm:kv_cache_usage_perc 9\n"
    await monitor.read()
    await engine.stop()
    await monitor.read()
    assert monitor.report is last_usable
    clock.now_s += 5.0
    await monitor.read()
    assert monitor.report is None

    def count(fault):
        name = "boragespring_load_report_faults_total"
        return registry.get_sample_value(name, {"fault": fault})

    assert count("absurd_value") == 1 and count("unreachable") == 2
    await client.close()


async def test_lost_or_malformed_cache_events_make_confirmed_prefixes_unconfirmed():
    index = CacheIndex(capacity_tokens=10_000)
    publisher = CacheEventPublisher("127.0.0.1", 0, 0.0, 0.0, seed=1)
    follower = CacheFollower(publisher.endpoint, index)
    follower.start()
    prompt = "p" * 1_024
    key = prefix_hashes(prompt)[0].digest
    index.record_prompt(prompt)
    # A ZeroMQ subscription takes effect with a delay.
    async with asyncio.timeout(10):
        while follower._next_sequence_number is None:  # noqa: ASYNC110
            publisher.publish([1], [])
            await asyncio.sleep(0.02)
    assert key in index.digest().confirmed_hashes()
    next(publisher._sequence_numbers)
    publisher.publish([2], [])
    async with asyncio.timeout(10):
        while not follower.gaps:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    assert key in index.digest().unconfirmed_hashes()
    index.record_prompt(prompt)
    follower.handle_batch([b"", b"12345678", b"\xc1"])
    assert follower.malformed == 1 and key in index.digest().unconfirmed_hashes()
    publisher.publish([], list(range(20)))
    async with asyncio.timeout(10):
        while index.digest().unconfirmed_hashes():  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    await follower.close()
    publisher.close()
