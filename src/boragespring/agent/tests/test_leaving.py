"""Tests of backend servers that leave under load."""

import asyncio
import itertools
import json
import re

import aiohttp
import pytest

from boragespring.agent import leaving as leaving_module
from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
)
from boragespring.standins import EngineCoreSettings, EngineDialect
from boragespring.store.instances import InstanceState

TOKEN = re.compile(r" g([0-9a-f]+):(\d+)")
HEADERS = {"Authorization": f"Bearer {LOCAL_API_KEY}"}


@pytest.fixture
async def deployment():
    settings = LocalSettings(
        entries=2,
        dialects=(EngineDialect.VLLM, EngineDialect.SGLANG),
        plain_services=0,
        core=EngineCoreSettings(token_interval_s=0.005),
    )
    async with LocalDeployment(settings) as running:
        yield running


@pytest.fixture
async def session(deployment):
    async with aiohttp.ClientSession(headers=HEADERS) as client:
        for entry in deployment.entries.values():
            await wait_until_ready(client, entry.url)
        yield client


async def wait_until_ready(session, url):
    async with asyncio.timeout(20):
        while True:
            async with session.get(f"{url}/readyz") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.02)


async def send_completion(session, url, tokens, stream=False):
    """Send a request, check its tokens and return the generation IDs in the answer."""
    body = {
        "model": LOCAL_MODEL,
        "prompt": "plan",
        "max_tokens": tokens,
        "stream": stream,
        "standin_output_tokens": tokens,
    }
    async with session.post(f"{url}/v1/completions", json=body) as response:
        text = await response.text()
        assert response.status == 200, text
    if stream:
        assert "data: [DONE]" in text, text[-300:]
    tokens_in_text = TOKEN.findall(text)
    assert [int(index) for _, index in tokens_in_text] == list(range(tokens))
    return {generation for generation, _ in tokens_in_text}


class CallerLoad:
    """Callers that keep both entries busy and check every complete answer."""

    def __init__(self, session, deployment, callers=6):
        urls = itertools.cycle([entry.url for entry in deployment.entries.values()])
        self.count = 0
        self.stopping = False
        self.tasks = [
            asyncio.create_task(self.call(session, next(urls), number))
            for number in range(callers)
        ]

    async def call(self, session, url, number):
        for iteration in itertools.count():
            if self.stopping:
                return
            tokens = 20 + 13 * number
            assert (
                len(await send_completion(session, url, tokens, bool(iteration % 2)))
                == 1
            )
            self.count += 1

    async def wait_for_calls(self, count):
        target = self.count + count
        async with asyncio.timeout(60):
            while self.count < target:
                for task in self.tasks:
                    if task.done():
                        task.result()
                await asyncio.sleep(0.01)

    async def stop(self):
        self.stopping = True
        await asyncio.gather(*self.tasks)


async def leave(session, agent, **query):
    url = f"http://127.0.0.1:{agent.http_port}/leave"
    async with session.post(url, params=query) as response:
        assert response.status == 200
        return await response.json()


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def test_leaving_agent_gets_no_new_work_and_finishes_its_own(deployment, session):
    load = CallerLoad(session, deployment)
    await load.wait_for_calls(20)
    agent, engine = deployment.agents["agent-0"], deployment.engines[0]
    before = len(engine.ledger)
    assert before
    status = await leave(session, agent)
    assert status["is_leaving"] and status["reason"] == "operator"
    # Requests that the agent has accepted may not have reached the engine yet.
    await asyncio.sleep(0.3)
    accepted = len(engine.ledger)
    await load.wait_for_calls(40)
    assert len(engine.ledger) == accepted
    await agent.drain()
    await load.stop()
    assert all(run.state.value == "complete" for run in engine.ledger)


async def test_entry_started_later_sends_nothing_to_leaving_agent(deployment, session):
    agent, engine = deployment.agents["agent-0"], deployment.engines[0]
    await leave(session, agent)
    late_entry = await deployment.start_entry("entry-9", "quito-a")
    await wait_until_ready(session, late_entry.url)
    await asyncio.gather(
        *(send_completion(session, late_entry.url, 5) for _ in range(20))
    )
    assert not engine.ledger


async def test_listed_leave_ends_when_instance_list_is_corrected(
    deployment, session, monkeypatch
):
    monkeypatch.setattr(leaving_module, "LIST_LAG_MAX_S", 0.0)
    monkeypatch.setattr(leaving_module, "LISTED_LEAVE_TIMEOUT_S", 0.4)
    workload = deployment.agents["agent-0"]._workload
    deployment.set_instance_state("agent-0", InstanceState.LEAVING)
    await wait_until(lambda: workload.is_leaving)
    url = deployment.entries["entry-0"].url
    await asyncio.gather(*(send_completion(session, url, 5) for _ in range(10)))
    assert not deployment.engines[0].ledger
    deployment.set_instance_state("agent-0", InstanceState.LIVE)
    await wait_until(lambda: not workload.is_leaving)


async def test_listed_leave_is_ignored_just_after_start(deployment, session):
    deployment.set_instance_state("agent-0", InstanceState.LEAVING)
    await asyncio.sleep(0.5)
    assert not deployment.agents["agent-0"]._workload.is_leaving


@pytest.mark.parametrize("is_stream", [True, False])
async def test_short_notice_moves_buffered_answers_and_finishes_streams(
    deployment, session, is_stream
):
    url = deployment.entries["entry-0"].url
    calls = [
        asyncio.create_task(send_completion(session, url, 300, is_stream))
        for _ in range(6)
    ]
    await wait_until(
        lambda: (
            sum(
                run.produced_tokens > 3
                for stand_in in deployment.engines
                for run in stand_in.ledger
            )
            == 6
        )
    )
    leaving_number = max(
        (0, 1), key=lambda number: len(deployment.engines[number].ledger)
    )
    engine, other = (
        deployment.engines[leaving_number],
        deployment.engines[1 - leaving_number],
    )
    accepted = len(engine.ledger)
    agent = deployment.agents[f"agent-{leaving_number}"]
    await leave(session, agent, notice_s="0.2")
    for generations in await asyncio.gather(*calls):
        assert len(generations) == 1
    assert agent._leaving.status().moved == (0 if is_stream else accepted)
    final_state = "complete" if is_stream else "cancelled"
    await wait_until(
        lambda: all(run.state.value == final_state for run in engine.ledger)
    )
    assert len(engine.ledger) == accepted
    assert len(other.ledger) == (6 - accepted if is_stream else 6)


async def test_invalid_notice_is_rejected(deployment, session):
    url = f"http://127.0.0.1:{deployment.agents['agent-0'].http_port}/leave"
    for text in ("soon", "-1", "nan", "inf"):
        async with session.post(url, params={"notice_s": text}) as response:
            assert response.status == 400, json.dumps(text)
    assert not deployment.agents["agent-0"]._workload.is_leaving
