"""A passed deadline ends a request at the caller, the agent and the engine."""

import asyncio

import aiohttp
import pytest

from boragespring.faults import FaultDeployment
from boragespring.local import LOCAL_API_KEY, LOCAL_MODEL
from boragespring.standins.engine_core import RunState

AUTH_HEADERS = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
BODY = {
    "model": LOCAL_MODEL,
    "prompt": "p",
    "max_tokens": 11,
    "standin_output_tokens": 10,
}


@pytest.fixture
async def deployment(monkeypatch):
    monkeypatch.setattr("boragespring.local.lists.DEADLINE_S", 0.6)
    async with FaultDeployment() as running:
        await running.wait_ready()
        for engine in running.engines:
            # Admission predicts completion before the deadline, but the engine is
            # slowed down beyond it.
            engine.faults.slow_factor = 100.0
        yield running


async def send_request(deployment, path, **request):
    url = f"{deployment.entry_url(0)}/{path}"
    async with aiohttp.ClientSession(headers=AUTH_HEADERS) as session:
        async with session.post(url, **request) as response:
            return response.status, (await response.read()).decode()


async def wait_until_all_cancelled(deployment):
    runs = [run for engine in deployment.engines for run in engine.ledger]
    while not all(run.state is RunState.CANCELLED for run in runs):
        await asyncio.sleep(0.01)
    assert runs


async def test_a_buffered_answer_times_out_and_its_generation_is_cancelled(deployment):
    status, text = await send_request(deployment, "v1/completions", json=BODY)
    assert status == 504
    assert '"deadline_exceeded", "not_run": false' in text
    await wait_until_all_cancelled(deployment)


async def test_a_stream_ends_with_an_error_event(deployment):
    body = BODY | {"stream": True}
    status, text = await send_request(deployment, "v1/completions", json=body)
    assert status == 200
    assert "event: error" in text and '"deadline_exceeded"' in text
    assert "[DONE]" not in text
    await wait_until_all_cancelled(deployment)


async def test_a_paused_agent_does_not_delay_the_deadline(deployment):
    request_task = asyncio.create_task(
        send_request(deployment, "v1/completions", json=BODY)
    )
    while not any(engine.ledger for engine in deployment.engines):
        await asyncio.sleep(0.01)
    for name in ("agent-0", "agent-1"):
        deployment.hosted_agents[name].pause(2.0)
    status, _ = await request_task
    assert status == 504
    await wait_until_all_cancelled(deployment)


@pytest.mark.parametrize("key", ["", "k1"])
async def test_a_call_past_its_deadline_has_unknown_outcome_and_ran_once(
    deployment, key
):
    for service in deployment.services:
        service.faults.latency_s = 3.0
    path = "services/app-transporte/confirmations"
    headers = {"Idempotency-Key": key} if key else {}
    status, text = await send_request(deployment, path, data=b"b", headers=headers)
    assert status == 504
    assert '"outcome_unknown", "not_run": false' in text
    assert sum(len(service.ledger) for service in deployment.services) == 1
