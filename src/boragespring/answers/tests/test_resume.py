"""Resuming, disconnecting and retrying callers against a complete deployment."""

import asyncio
import re

import aiohttp
import pytest

from boragespring.faults import FaultDeployment
from boragespring.local import LOCAL_API_KEY, LOCAL_MODEL
from boragespring.standins.engine_core import RunState

TOKEN = re.compile(r" g([0-9a-f]+):(\d+)")
EVENT_ID = re.compile(r"^id: (\S+)$", re.MULTILINE)
AUTH_HEADERS = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
OTHER_AUTH_HEADERS = {"Authorization": "Bearer other-key"}
TOKENS = 60


@pytest.fixture
async def deployment():
    async with FaultDeployment() as running:
        await running.wait_ready()
        yield running


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as opened:
        yield opened


def request_body(tokens=TOKENS, **fields):
    return {
        "model": LOCAL_MODEL,
        "prompt": "plan",
        "max_tokens": tokens + 1,
        "standin_output_tokens": tokens,
    } | fields


def completions_url(deployment, entry_number):
    return f"{deployment.entry_url(entry_number)}/v1/completions"


async def read_tokens(response, count):
    text = ""
    while len(TOKEN.findall(text)) < count:
        text += (await response.content.readany()).decode()
    return text[: text.rindex("\n\n")]


async def start_stream(session, deployment, tokens=TOKENS, count=10):
    """Start a stream at the first entry; return the first events and the response."""
    response = await session.post(
        completions_url(deployment, 0),
        json=request_body(tokens, stream=True),
        headers=AUTH_HEADERS,
    )
    return await read_tokens(response, count), response


def last_event_id(text):
    return EVENT_ID.findall(text)[-1]


def check_complete(text, tokens=TOKENS):
    found = TOKEN.findall(text)
    assert [int(index) for _, index in found] == list(range(tokens))
    assert len({generation for generation, _ in found}) == 1
    assert text.endswith("data: [DONE]\n\n")


def run_states(deployment):
    return [run.state for engine in deployment.engines for run in engine.ledger]


async def test_an_answer_resumes_at_another_entry_after_a_kill(deployment, session):
    text, _ = await start_stream(session, deployment)
    await deployment.hosted_entries["entry-0"].kill()
    headers = AUTH_HEADERS | {"Last-Event-ID": last_event_id(text)}
    async with session.post(
        completions_url(deployment, 1), json=request_body(stream=True), headers=headers
    ) as response:
        check_complete(text + (await response.read()).decode())
    assert run_states(deployment) == [RunState.COMPLETE]


async def test_get_resumes_an_answer_at_any_position(deployment, session):
    text, response = await start_stream(session, deployment)
    complete = text + (await response.read()).decode()
    for handle in (EVENT_ID.findall(complete)[0], last_event_id(complete)):
        position = int(handle.rpartition(".")[2])
        url = f"{deployment.entry_url(1)}/v1/answers/{handle}"
        async with session.get(url, headers=AUTH_HEADERS) as rest:
            tokens = TOKEN.findall((await rest.read()).decode())
        assert [int(index) for _, index in tokens] == list(range(position, TOKENS))


async def test_a_handle_is_bound_to_its_workspace(deployment, session):
    text, response = await start_stream(session, deployment)
    url = f"{deployment.entry_url(1)}/v1/answers/{last_event_id(text)}"
    for method in ("GET", "DELETE"):
        async with session.request(method, url, headers=OTHER_AUTH_HEADERS) as rejected:
            assert rejected.status == 404
            error = (await rejected.json())["error"]
        assert error["code"] == "unknown_answer"
    check_complete(text + "\n\n" + (await response.read()).decode().lstrip("\n"))


async def test_invalid_handles_get_specific_errors(deployment, session):
    cases = [
        ("nonsense", 404, "unknown_answer"),
        (f"{'0' * 32}.agent-0.3", 404, "unknown_answer"),
        (f"{'0' * 32}.agent-9.3", 410, "answer_gone"),
    ]
    for handle, status, code in cases:
        url = f"{deployment.entry_url(0)}/v1/answers/{handle}"
        async with session.get(url, headers=AUTH_HEADERS) as response:
            error = (await response.json())["error"]
            assert (response.status, error["code"]) == (status, code)


async def test_cancel_and_disconnect_stop_the_engine_run(deployment, session):
    text, response = await start_stream(session, deployment, tokens=9000)
    url = f"{deployment.entry_url(1)}/v1/answers/{last_event_id(text)}"
    async with session.delete(url, headers=AUTH_HEADERS) as cancelled:
        assert cancelled.status == 200
    while run_states(deployment) != [RunState.CANCELLED]:
        await asyncio.sleep(0.01)
    response.close()
    _, response = await start_stream(session, deployment, tokens=9000)
    response.close()
    while run_states(deployment) != [RunState.CANCELLED] * 2:
        await asyncio.sleep(0.01)


async def test_engine_loss_ends_a_started_stream_with_an_error(deployment, session):
    _, response = await start_stream(session, deployment, tokens=9000)
    for engine in deployment.engines:
        engine.drop_streams()
    rest = (await response.read()).decode()
    assert "event: error" in rest
    assert '"code": "answer_lost", "not_run": false' in rest
    assert "[DONE]" not in rest


async def test_engine_loss_restarts_a_buffered_answer(deployment, session):
    request_task = asyncio.create_task(
        session.post(
            completions_url(deployment, 0), json=request_body(200), headers=AUTH_HEADERS
        )
    )
    while not any(
        run.produced_tokens > 5 for e in deployment.engines for run in e.ledger
    ):
        await asyncio.sleep(0.01)
    for engine in deployment.engines:
        engine.drop_streams()
    response = await request_task
    text = (await response.json())["choices"][0]["text"]
    tokens = TOKEN.findall(text)
    assert [int(index) for _, index in tokens] == list(range(200))
    assert len({generation for generation, _ in tokens}) == 1
    assert sorted(run_states(deployment)) == [RunState.CANCELLED, RunState.COMPLETE]


async def test_a_retry_with_the_same_key_gets_the_buffered_answer(deployment, session):
    headers = AUTH_HEADERS | {"Idempotency-Key": "plan-1"}
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await session.post(
                completions_url(deployment, 0), json=request_body(), headers=headers
            )
    async with session.post(
        completions_url(deployment, 0), json=request_body(), headers=headers
    ) as response:
        assert response.status == 200
    async with session.post(
        completions_url(deployment, 0), json=request_body(5), headers=headers
    ) as response:
        assert response.status == 422
    assert run_states(deployment) == [RunState.COMPLETE]


async def test_a_draining_agent_waits_for_a_slow_caller(deployment, session):
    text, response = await start_stream(session, deployment, tokens=400)
    name = last_event_id(text).split(".")[1]
    drain = asyncio.create_task(deployment.hosted_agents[name].drain())
    while True:
        chunk = (await response.content.readany()).decode()
        if not chunk:
            break
        text += chunk if text.endswith("\n\n") or chunk.startswith("\n") else chunk
        await asyncio.sleep(0.02)
    await drain
    assert [int(index) for _, index in TOKEN.findall(text)] == list(range(400))
    assert text.endswith("data: [DONE]\n\n")
