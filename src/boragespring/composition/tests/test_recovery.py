"""Restarts of all processes: one by one under load, and all at once."""

import asyncio
import itertools
import json

import aiohttp
import pytest

from boragespring.composition.tests.test_end_to_end import check_tokens
from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
    local_document,
)
from boragespring.membership.duties import DUTY_PREFIX
from boragespring.orders import orders_duty_name
from boragespring.standins import EngineCoreSettings, EngineDialect
from boragespring.store.instances import InstanceRole

HEADERS = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
TOKENS = 40


@pytest.fixture
async def deployment():
    settings = LocalSettings(
        entries=2,
        dialects=(EngineDialect.VLLM, EngineDialect.SGLANG, EngineDialect.TGI),
        plain_services=0,
        core=EngineCoreSettings(token_interval_s=0.003),
        lists=local_document(),
    )
    async with LocalDeployment(settings) as local_deployment:
        yield local_deployment


@pytest.fixture
async def session(deployment):
    async with aiohttp.ClientSession(headers=HEADERS) as client_session:
        await wait_until_ready(client_session, deployment)
        yield client_session


async def wait_until_ready(session, deployment):
    async with asyncio.timeout(30):
        for entry in deployment.entries.values():
            while True:
                async with session.get(f"{entry.url}/readyz") as response:
                    if response.status == 200:
                        break
                await asyncio.sleep(0.02)


def completion_body(stream=False):
    return {
        "model": LOCAL_MODEL,
        "prompt": "plan",
        "max_tokens": TOKENS,
        "stream": stream,
        "standin_output_tokens": TOKENS,
    }


class LoadGenerator:
    """Concurrent callers behind a load balancer.

    They only retry requests that are known not to have run.
    """

    def __init__(self, session, deployment):
        self.session = session
        self.deployment = deployment
        self.count = 0
        self.is_stopping = False
        self.tasks = [asyncio.create_task(self.run(number)) for number in range(4)]

    async def run(self, number):
        for sequence in itertools.count(number):
            if self.is_stopping:
                return
            await self.request(sequence)
            self.count += 1

    async def request(self, sequence):
        rejection_codes: list[str] = []
        for attempt in range(50):
            entries = list(self.deployment.entries.values())
            url = entries[(sequence + attempt) % len(entries)].url
            try:
                async with self.session.post(
                    f"{url}/v1/completions", json=completion_body(bool(sequence % 2))
                ) as response:
                    text = await response.text()
            except aiohttp.ClientConnectorError:
                await asyncio.sleep(0.02)
                continue
            if response.status in (429, 503):
                error = json.loads(text)["error"]
                assert error["not_run"], text
                rejection_codes.append(error["code"])
                await asyncio.sleep(error["retry_after_s"] or 0.02)
                continue
            assert response.status == 200 and "error" not in text, text[-300:]
            check_tokens(text, TOKENS)
            return
        raise AssertionError(
            f"the request was not run after 50 attempts: {rejection_codes}"
        )

    async def wait_for_completed(self, count):
        """Wait until as many further requests are complete; raise on any failure."""
        target = self.count + count
        async with asyncio.timeout(60):
            while self.count < target:
                for task in self.tasks:
                    if task.done():
                        task.result()
                await asyncio.sleep(0.01)

    async def stop(self):
        self.is_stopping = True
        await asyncio.gather(*self.tasks)


async def replace_agent(deployment, name):
    """Drain and stop an agent, and start a new one for the same backend server."""
    agent = deployment.agents[name]
    settings = agent._settings
    await agent.drain()
    await deployment.stop_agent(name)
    zone = settings.placement.availability_zone
    await deployment.start_agent(name, zone, settings.server)


async def replace_entry(deployment, name):
    """Drain and stop an entry, and start a new one under the same name."""
    entry = deployment.entries.pop(name)
    await entry.drain()
    await entry.stop()
    deployment.deregister_instance(name)
    await deployment.start_entry(name, entry._settings.placement.availability_zone)


async def test_rolling_restart_under_load_fails_no_request(deployment, session):
    load_generator = LoadGenerator(session, deployment)
    await load_generator.wait_for_completed(8)
    for name in ("agent-0", "agent-1", "agent-2"):
        await replace_agent(deployment, name)
        await load_generator.wait_for_completed(8)
    for name in ("entry-0", "entry-1"):
        await replace_entry(deployment, name)
        await wait_until_ready(session, deployment)
        await load_generator.wait_for_completed(8)
    await load_generator.stop()
    runs = [run for engine in deployment.engines for run in engine.ledger]
    assert len(runs) >= load_generator.count
    assert all(run.state.value == "complete" for run in runs)


async def test_all_processes_restart_during_store_outage(deployment, session):
    async with session.post(
        f"{deployment.entries['entry-0'].url}/v1/completions", json=completion_body()
    ) as response:
        assert response.status == 200
    servers = {name: agent._settings for name, agent in deployment.agents.items()}
    for name in list(deployment.entries):
        await deployment.stop_entry(name)
    for name in servers:
        await deployment.stop_agent(name)
    deployment.store.faults.down = True
    for name, settings in servers.items():
        zone = settings.placement.availability_zone
        await deployment.start_agent(name, zone, settings.server)
    entry = await deployment.start_entry("entry-0", "quito-a")
    for _ in range(3):
        async with session.get(f"{entry.url}/readyz") as response:
            assert response.status == 503
        async with session.post(
            f"{entry.url}/v1/completions", json=completion_body()
        ) as response:
            error = (await response.json())["error"]
            assert response.status == 503 and error["not_run"]
        await asyncio.sleep(0.1)
    assert sum(len(engine.ledger) for engine in deployment.engines) == 1
    deployment.store.faults.down = False
    await wait_until_ready(session, deployment)
    async with session.post(
        f"{entry.url}/v1/completions", json=completion_body()
    ) as response:
        assert response.status == 200
        check_tokens(await response.text(), TOKENS)


async def test_orders_reach_engine_with_fencing_number_of_duty(deployment, session):
    async with asyncio.timeout(60):
        while not any(engine.orders for engine in deployment.engines):
            await asyncio.sleep(0.05)
    region = deployment._instances["agent-0"].region
    service = deployment.agents["agent-0"]._settings.server.service
    key = DUTY_PREFIX + orders_duty_name(region, service)
    fence = deployment.store.keyspace.get(key).item.create_revision
    orders = [order for engine in deployment.engines for order in engine.orders]
    assert [order["fencing_number"] for order in orders] == [fence]
    assert orders[0]["name"] == LOCAL_MODEL
    holders = []
    for name, entry in deployment.entries.items():
        async with session.get(f"{entry.url}/status") as response:
            status = (await response.json())["orders"][0]
        holders += [name] * (status["fence"] == fence)
    assert len(holders) == 1
    assert deployment._instances[holders[0]].role is InstanceRole.ENTRY
