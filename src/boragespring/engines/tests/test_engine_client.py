"""Tests for the HTTP client of model engines, against stand-ins of all vendors."""

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

FAST_CORE = EngineCoreSettings(memory_tokens=2_000, token_interval_s=0.001)


async def wait_until(condition, timeout_s=10.0):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


@pytest.fixture(params=list(VendorName))
async def client_and_engine(request):
    dialect = EngineDialect(request.param.value)
    engine = EngineStandIn(EngineStandInSettings(dialect=dialect, core=FAST_CORE))
    await engine.start()
    client = create_engine_client(
        create_vendor(request.param, memory_tokens=2_000), engine.url
    )
    yield client, engine
    await client.close()
    await engine.stop()


@pytest.fixture
async def vllm_client_and_engine():
    engine = EngineStandIn(EngineStandInSettings(core=FAST_CORE, checks_fencing=True))
    await engine.start()
    client = create_engine_client(VendorName.VLLM, engine.url)
    yield client, engine
    await client.close()
    await engine.stop()


def make_request(output_tokens=20, max_tokens=100, **fields):
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


async def test_each_vendor_streams_a_complete_generation_in_order(client_and_engine):
    client, engine = client_and_engine
    batches = await collect(client, make_request())
    texts = [text for batch in batches for text in batch.texts]
    (run,) = engine.ledger
    assert texts == [f" g{run.generation_id}:{i}" for i in range(20)]
    assert batches[-1].finish_reason is FinishReason.STOP
    assert run.request_id == "gen-1"
    assert run.state == "complete"


async def test_each_vendor_reports_its_load_and_the_length_finish_reason(
    client_and_engine,
):
    client, engine = client_and_engine
    task = asyncio.create_task(collect(client, make_request(500, max_tokens=400)))
    await wait_until(lambda: engine.core.running and engine.core.used_tokens > 100)
    report = await client.fetch_load_report()
    assert (report.running, report.waiting) == (1, 0)
    assert 100 <= report.used_memory_tokens <= 600
    assert report.memory_tokens == 2_000
    batches = await task
    assert batches[-1].finish_reason is FinishReason.LENGTH


async def test_closing_the_iterator_cancels_the_generation_at_the_engine(
    client_and_engine,
):
    client, engine = client_and_engine
    stream = client.generate(make_request(1_500, max_tokens=1_500))
    await anext(stream)
    await stream.aclose()
    await wait_until(lambda: engine.ledger[0].state == "cancelled")
    assert not engine.core.running and engine.core.used_tokens == 0


async def test_broken_stream_raises_an_error_instead_of_ending_normally(
    vllm_client_and_engine,
):
    client, engine = vllm_client_and_engine
    task = asyncio.create_task(collect(client, make_request(1_500, max_tokens=1_500)))
    await wait_until(lambda: engine.ledger and engine.ledger[0].produced_tokens > 3)
    engine.drop_streams()
    with pytest.raises(GenerationFailedError):
        await task


async def test_rejected_requests_raise_call_not_run_and_never_run(
    vllm_client_and_engine,
):
    client, engine = vllm_client_and_engine
    with pytest.raises(RequestRejectedError):
        await collect(client, make_request(3_000, max_tokens=3_000))
    engine.faults.refuses = True
    with pytest.raises(CallNotRunError):
        await collect(client, make_request())
    await engine.stop()
    with pytest.raises(CallNotRunError):
        await collect(client, make_request())
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
async def test_unusable_load_report_raises_an_error_with_its_fault(
    vllm_client_and_engine, report, fault
):
    client, engine = vllm_client_and_engine
    engine.faults.report = report
    with pytest.raises(LoadReportError) as exc_info:
        await client.fetch_load_report()
    assert exc_info.value.fault is fault


async def test_engine_that_checks_fencing_refuses_an_outdated_order(
    vllm_client_and_engine,
):
    client, engine = vllm_client_and_engine
    await client.order(EngineOrder(OrderKind.LOAD_MODEL, "model-b", "1", 7))
    with pytest.raises(OrderRefusedError):
        await client.order(EngineOrder(OrderKind.LOAD_MODEL, "model-c", "1", 6))
    assert engine.models == {"model-b"}
