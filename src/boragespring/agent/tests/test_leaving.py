"""Backend servers that leave under load."""

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
    async with aiohttp.ClientSession(headers=HEADERS) as opened:
        for entry in deployment.entries.values():
            await until_ready(opened, entry.url)
        yield opened


async def until_ready(session, url):
    async with asyncio.timeout(20):
        while True:
            async with session.get(f"{url}/readyz") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.02)


async def complete(session, url, tokens, stream=False):
    """Send a generation; return its number of tokens and its generations."""
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
    found = TOKEN.findall(text)
    assert [int(index) for _, index in found] == list(range(tokens))
    return {generation for generation, _ in found}


class Load:
    """Callers that keep both entries busy; each checks its whole answer."""

    def __init__(self, session, deployment, callers=6):
        urls = itertools.cycle([entry.url for entry in deployment.entries.values()])
        self.count = 0
        self.stopping = False
        self.tasks = [
            asyncio.create_task(self.call(session, next(urls), number))
            for number in range(callers)
        ]

    async def call(self, session, url, number):
        for turn in itertools.count():
            if self.stopping:
                return
            tokens = 20 + 13 * number
            assert len(await complete(session, url, tokens, bool(turn % 2))) == 1
            self.count += 1

    async def more(self, count):
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


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def test_leaver_gets_no_new_work_and_cuts_none_off(deployment, session):
    load = Load(session, deployment)
    await load.more(20)
    agent, engine = deployment.agents["agent-0"], deployment.engines[0]
    before = len(engine.ledger)
    assert before
    status = await leave(session, agent)
    assert status["is_leaving"] and status["reason"] == "operator"
    # What the agent has accepted may still be on its way to the engine.
    await asyncio.sleep(0.3)
    taken = len(engine.ledger)
    await load.more(40)
    assert len(engine.ledger) == taken
    await agent.drain()
    await load.stop()
    assert all(run.state.value == "complete" for run in engine.ledger)


async def test_entry_that_comes_later_gives_a_leaver_nothing(deployment, session):
    agent, engine = deployment.agents["agent-0"], deployment.engines[0]
    await leave(session, agent)
    late = await deployment.start_entry("entry-9", "quito-a")
    await until_ready(session, late.url)
    await asyncio.gather(*(complete(session, late.url, 5) for _ in range(20)))
    assert not engine.ledger


async def test_listed_leaver_refuses_and_stays_when_the_list_was_wrong(
    deployment, session, monkeypatch
):
    monkeypatch.setattr(leaving_module, "LIST_LAG_MAX_S", 0.0)
    monkeypatch.setattr(leaving_module, "LISTED_LEAVE_S", 0.4)
    workload = deployment.agents["agent-0"]._workload
    deployment.set_instance_state("agent-0", InstanceState.LEAVING)
    await until(lambda: workload.is_leaving)
    url = deployment.entries["entry-0"].url
    await asyncio.gather(*(complete(session, url, 5) for _ in range(10)))
    assert not deployment.engines[0].ledger
    deployment.set_instance_state("agent-0", InstanceState.LIVE)
    await until(lambda: not workload.is_leaving)


async def test_list_does_not_speak_of_an_agent_that_has_just_started(
    deployment, session
):
    deployment.set_instance_state("agent-0", InstanceState.LEAVING)
    await asyncio.sleep(0.5)
    assert not deployment.agents["agent-0"]._workload.is_leaving


@pytest.mark.parametrize("is_stream", [True, False])
async def test_short_notice_moves_whole_answers_and_lets_streams_end(
    deployment, session, is_stream
):
    url = deployment.entries["entry-0"].url
    calls = [
        asyncio.create_task(complete(session, url, 300, is_stream)) for _ in range(6)
    ]
    await until(
        lambda: (
            sum(
                run.produced_tokens > 3
                for each in deployment.engines
                for run in each.ledger
            )
            == 6
        )
    )
    leaver = max((0, 1), key=lambda number: len(deployment.engines[number].ledger))
    engine, other = deployment.engines[leaver], deployment.engines[1 - leaver]
    taken = len(engine.ledger)
    agent = deployment.agents[f"agent-{leaver}"]
    await leave(session, agent, notice_s="0.2")
    for generations in await asyncio.gather(*calls):
        assert len(generations) == 1
    assert agent._leaving.status().moved == (0 if is_stream else taken)
    ended = "complete" if is_stream else "cancelled"
    await until(lambda: all(run.state.value == ended for run in engine.ledger))
    assert len(engine.ledger) == taken
    assert len(other.ledger) == (6 - taken if is_stream else 6)


async def test_wrong_notice_is_refused(deployment, session):
    url = f"http://127.0.0.1:{deployment.agents['agent-0'].http_port}/leave"
    for text in ("soon", "-1", "nan", "inf"):
        async with session.post(url, params={"notice_s": text}) as response:
            assert response.status == 400, json.dumps(text)
    assert not deployment.agents["agent-0"]._workload.is_leaving
