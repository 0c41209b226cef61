"""Requests to agents whose memory and queues are full.

Requests beyond the capacity of the agents must be rejected at once as not run, and
must not run on any engine. All other requests must run exactly once.
"""

import asyncio
from collections import Counter

import aiohttp

from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
)
from boragespring.settings import QueueSettings
from boragespring.standins import EngineCoreSettings, EngineDialect

REQUESTS = 40
OUTPUT_TOKENS = 60
#: The memory of an engine suffices for four generations. Five more requests can wait
#: in the queue of its agent.
CORE = EngineCoreSettings(memory_tokens=400, token_interval_s=0.02)
SETTINGS = LocalSettings(
    dialects=(EngineDialect.VLLM, EngineDialect.TGI),
    core=CORE,
    queue=QueueSettings(policy="worst_case", waiting_max=5),
)


async def post_completion(session, url, index):
    body = {
        "model": LOCAL_MODEL,
        "prompt": f"{index:04d}" * 10,
        "max_tokens": 80,
        "standin_output_tokens": OUTPUT_TOKENS,
    }
    async with session.post(f"{url}/v1/completions", json=body) as response:
        return response.status, await response.json()


async def test_full_agents_reject_at_once_and_run_the_rest_once():
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
    async with (
        LocalDeployment(SETTINGS) as deployment,
        aiohttp.ClientSession(headers=headers) as session,
    ):
        url = deployment.entries["entry-0"].url
        async with asyncio.timeout(20):
            while True:
                async with session.get(f"{url}/readyz") as response:
                    if response.status == 200:
                        break
        pending = {
            asyncio.create_task(post_completion(session, url, index))
            for index in range(REQUESTS)
        }
        done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        # The first responses are rejections, sent while the accepted requests run.
        assert {task.result()[0] for task in done} == {429}
        answers = await asyncio.gather(*pending)
        runs = [run for engine in deployment.engines for run in engine.ledger]
    statuses = Counter(status for status, _ in answers)
    assert set(statuses) == {200, 429} and statuses[200] >= 10
    refused = [body["error"] for status, body in answers if status == 429]
    assert all(error["not_run"] for error in refused)
    assert all(error["code"] == "queue_full" for error in refused)
    assert all(error["retry_after_s"] > 0 for error in refused)
    assert len(runs) == statuses[200]
    assert all(run.state == "complete" for run in runs)
    assert sum(run.preemptions for run in runs) == 0
