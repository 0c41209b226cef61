"""End-to-end requests from callers, through entry and agent, to backend servers."""

import asyncio
import json
import re

import aiohttp
import openai
import pytest

from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
)
from boragespring.standins import EngineDialect

ENDPOINTS = ("/v1/completions", "/v1/chat/completions")
TOKEN = re.compile(r" g([0-9a-f]{8}):(\d+)")


@pytest.fixture
async def deployment():
    settings = LocalSettings(
        dialects=(EngineDialect.VLLM, EngineDialect.SGLANG, EngineDialect.TGI)
    )
    async with LocalDeployment(settings) as local_deployment:
        yield local_deployment


@pytest.fixture
async def session(deployment):
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
    async with aiohttp.ClientSession(headers=headers) as client_session:
        await wait_until_ready(client_session, deployment)
        yield client_session


async def wait_until_ready(session, deployment):
    url = deployment.entries["entry-0"].url
    while True:
        async with session.get(f"{url}/readyz") as response:
            if response.status == 200:
                return
        await asyncio.sleep(0.02)


def check_tokens(text, count):
    """Check that a text has all tokens of one generation, in order."""
    found = TOKEN.findall(text)
    assert [int(index) for _, index in found] == list(range(count))
    assert len({generation for generation, _ in found}) == 1


async def test_openai_client_buffered_and_streaming(deployment, session):
    url = deployment.entries["entry-0"].url
    async with openai.AsyncOpenAI(
        api_key=LOCAL_API_KEY, base_url=f"{url}/v1", max_retries=0
    ) as client:
        extra = {"standin_output_tokens": 20}
        buffered = await client.completions.create(
            model=LOCAL_MODEL, prompt="hello", extra_body=extra
        )
        check_tokens(buffered.choices[0].text, 20)
        assert buffered.usage.completion_tokens == 20
        stream = await client.chat.completions.create(
            model=LOCAL_MODEL,
            messages=[{"role": "user", "content": "hello"}],
            stream=True,
            stream_options={"include_usage": True},
            extra_body=extra,
        )
        chunks = [chunk async for chunk in stream]
        texts = [
            chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices
        ]
        check_tokens("".join(texts), 20)
        assert chunks[-1].usage.completion_tokens == 20
        assert [model.id async for model in client.models.list()] == [LOCAL_MODEL]


async def test_concurrent_streams_are_not_mixed_up(deployment, session):
    url = deployment.entries["entry-0"].url

    async def check_stream(number):
        count = 1 + number % 30
        body = {
            "model": LOCAL_MODEL,
            "prompt": f"prompt {number}",
            "stream": True,
            "standin_output_tokens": count,
        }
        async with session.post(f"{url}/v1/completions", json=body) as response:
            raw_body = (await response.read()).decode()
        assert raw_body.endswith("data: [DONE]\n\n")
        events = [
            json.loads(line[6:])
            for line in raw_body.splitlines()
            if line[:6] == "data: " and line[6] == "{"
        ]
        check_tokens("".join(event["choices"][0]["text"] for event in events), count)

    await asyncio.gather(*(check_stream(number) for number in range(60)))


async def test_call_to_plain_service(deployment, session):
    url = deployment.entries["entry-0"].url
    call_url = f"{url}/services/app-transporte/confirmations?day=2"
    async with session.post(call_url, data=b"body") as response:
        assert response.status == 200
    async with session.get(f"{deployment.services[0].url}/ledger") as response:
        assert len((await response.json())["calls"]) == 1


INVALID_BODIES = [
    (b"{", 400, "invalid_json"),
    (b"[]", 400, "invalid_json"),
    (b"{}", 400, "invalid_field"),
    (b"[" * 100000, 400, "invalid_json"),
    (b'{"model": "rutas-1", "prompt": "a", "max_tokens": -1}', 400, "invalid_field"),
    (b'{"model": "rutas-1", "prompt": "a", "max_tokens": 1e9}', 400, "invalid_field"),
    (b'{"model": "rutas-1", "prompt": "a", "n": 2}', 400, "invalid_field"),
    (b'{"model": "none", "prompt": "a"}', 404, "unknown_model"),
    (b" " * (5 * 2**20), 413, "body_too_large"),
]


@pytest.mark.parametrize(("body", "status", "code"), INVALID_BODIES)
async def test_invalid_body_is_rejected_without_running(
    deployment, session, body, status, code
):
    url = deployment.entries["entry-0"].url
    runs = sum(len(engine.ledger) for engine in deployment.engines)
    async with session.post(f"{url}/v1/completions", data=body) as response:
        error = (await response.json())["error"]
        assert (response.status, error["code"]) == (status, code)
        assert error["not_run"] is True
    assert sum(len(engine.ledger) for engine in deployment.engines) == runs


async def test_wrong_api_key_is_rejected(deployment, session):
    url = deployment.entries["entry-0"].url
    headers = {"Authorization": "Bearer wrong"}
    async with session.get(f"{url}/v1/models", headers=headers) as response:
        assert response.status == 401
        assert (await response.json())["error"]["code"] == "wrong_api_key"


async def test_disconnect_of_caller_cancels_generation(deployment, session):
    url = deployment.entries["entry-0"].url
    body = {
        "model": LOCAL_MODEL,
        "prompt": "long",
        "stream": True,
        "max_tokens": 50000,
        "standin_output_tokens": 50000,
    }
    async with session.post(f"{url}/v1/completions", json=body) as response:
        await response.content.readline()
    while any(
        run.state == "running" for engine in deployment.engines for run in engine.ledger
    ):
        await asyncio.sleep(0.02)
