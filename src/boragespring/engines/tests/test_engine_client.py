import asyncio

import pytest

from boragespring.engines import (
    CallNotRunError,
    EngineOrder,
    FinishReason,
    GenerationFailedError,
    GenerationRequest,
    LoadReportError,
    LoadReportFault,
    OrderKind,
    OrderRefusedError,
    RequestRejectedError,
    VendorName,
    create_engine_client,
    create_vendor,
)
from boragespring.standins import (
    EngineCoreSettings,
    EngineDialect,
    EngineStandIn,
    EngineStandInSettings,
)

FAST = EngineCoreSettings(memory_tokens=2_000, token_interval_s=0.001)


async def until(condition, timeout_s=10.0):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


@pytest.fixture(params=list(VendorName))
async def pair(request):
    dialect = EngineDialect(request.param.value)
    engine = EngineStandIn(EngineStandInSettings(dialect=dialect, core=FAST))
    await engine.start()
    client = create_engine_client(
        create_vendor(request.param, memory_tokens=2_000), engine.url
    )
    yield client, engine
    await client.close()
    await engine.stop()


@pytest.fixture
async def vllm_pair():
    engine = EngineStandIn(EngineStandInSettings(core=FAST, checks_fencing=True))
    await engine.start()
    client = create_engine_client(VendorName.VLLM, engine.url)
    yield client, engine
    await client.close()
    await engine.stop()


def a_request(output_tokens=20, max_tokens=100, **fields):
    return GenerationRequest(
        generation_id="gen-1",
        model="model-a",
        prompt="x" * 400,
        max_tokens=max_tokens,
        parameters={"standin_output_tokens": output_tokens},
        **fields,
    )


async def collect(client, request):
    return [batch async for batch in client.generate(request)]


async def test_each_vendor_streams_whole_generation_in_order(pair):
    client, engine = pair
    batches = await collect(client, a_request())
    texts = [text for batch in batches for text in batch.texts]
    (run,) = engine.ledger
    assert texts == [f" g{run.generation_id}:{i}" for i in range(20)]
    assert batches[-1].finish_reason is FinishReason.STOP
    assert run.request_id == "gen-1"
    assert run.state == "complete"


async def test_each_vendor_reports_length_stop_and_load(pair):
    client, engine = pair
    task = asyncio.create_task(collect(client, a_request(500, max_tokens=400)))
    await until(lambda: engine.core.running and engine.core.used_tokens > 100)
    report = await client.fetch_load_report()
    assert (report.running, report.waiting) == (1, 0)
    assert 100 <= report.used_memory_tokens <= 600
    assert report.memory_tokens == 2_000
    batches = await task
    assert batches[-1].finish_reason is FinishReason.LENGTH


async def test_closing_the_iterator_cancels_at_the_engine(pair):
    client, engine = pair
    stream = client.generate(a_request(1_500, max_tokens=1_500))
    await anext(stream)
    await stream.aclose()
    await until(lambda: engine.ledger[0].state == "cancelled")
    assert not engine.core.running and engine.core.used_tokens == 0


async def test_broken_stream_is_a_failure_and_never_a_silent_end(vllm_pair):
    client, engine = vllm_pair
    task = asyncio.create_task(collect(client, a_request(1_500, max_tokens=1_500)))
    await until(lambda: engine.ledger and engine.ledger[0].produced_tokens > 3)
    engine.drop_streams()
    with pytest.raises(GenerationFailedError):
        await task


async def test_refusals_are_not_run_and_absent_from_the_ledger(vllm_pair):
    client, engine = vllm_pair
    with pytest.raises(RequestRejectedError):
        await collect(client, a_request(3_000, max_tokens=3_000))
    engine.faults.refuses = True
    with pytest.raises(CallNotRunError):
        await collect(client, a_request())
    await engine.stop()
    with pytest.raises(CallNotRunError):
        await collect(client, a_request())
    assert not engine.ledger


@pytest.mark.parametrize(
    ("report", "fault"),
    [
        ("vllm:num_requests_running 1\n", LoadReportFault.MISSING_FIELD),
        ("vllm:kv_cache_usage_perc -3\n", LoadReportFault.ABSURD_VALUE),
        ("vllm:kv_cache_usage_perc NaN\n", LoadReportFault.ABSURD_VALUE),
        ("vllm:kv_cache_usage_perc 7\n", LoadReportFault.ABSURD_VALUE),
        ("vllm:kv_cache_usage_perc{ 0.5 zz\n", LoadReportFault.MALFORMED),
        ("<html>not found</html>", LoadReportFault.MISSING_FIELD),
    ],
)
async def test_unusable_report_names_its_fault(vllm_pair, report, fault):
    client, engine = vllm_pair
    engine.faults.report = report
    with pytest.raises(LoadReportError) as caught:
        await client.fetch_load_report()
    assert caught.value.fault is fault


async def test_engine_that_checks_fencing_refuses_an_old_order(vllm_pair):
    client, engine = vllm_pair
    await client.order(EngineOrder(OrderKind.LOAD_MODEL, "model-b", "1", 7))
    with pytest.raises(OrderRefusedError):
        await client.order(EngineOrder(OrderKind.LOAD_MODEL, "model-c", "1", 6))
    assert engine.models == {"model-b"}
