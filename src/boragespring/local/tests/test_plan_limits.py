"""Enforcement of a plan's limits across two entries, with callers over HTTP."""

import asyncio

import aiohttp
import attrs

from boragespring.lists.tests.fakes import wait_until
from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
    local_document,
)


async def post_completion(session, url, tokens):
    """Return the status of a streamed request, and its error and headers if any."""
    body = {
        "model": LOCAL_MODEL,
        "prompt": "p",
        "max_tokens": 500,
        "stream": True,
        "standin_output_tokens": tokens,
    }
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
    async with session.post(
        f"{url}/v1/completions", json=body, headers=headers
    ) as response:
        if response.status != 200:
            return response.status, (await response.json())["error"], response.headers
        await response.read()
        return response.status, None, None


async def test_concurrency_limit_holds_across_entries():
    document = local_document()
    plans = document.allowance_list.plans
    plans["all"] = attrs.evolve(plans["all"], concurrency_max=3)
    settings = LocalSettings(entries=2, lists=document)
    async with (
        LocalDeployment(settings) as deployment,
        aiohttp.ClientSession() as session,
    ):
        urls = [entry.url for entry in deployment.entries.values()]

        async def held_partitions():
            count = 0
            for url in urls:
                async with session.get(f"{url}/status") as response:
                    limits = (await response.json())["limits"]
                    count += len(limits["held_partitions"])
            return count

        async with asyncio.timeout(30):
            for url in urls:
                while (await post_completion(session, url, 1))[0] != 200:
                    await asyncio.sleep(0.05)
            while await held_partitions() < 8:
                await asyncio.sleep(0.05)
        previous = len(deployment.engines[0].ledger)
        results = await asyncio.gather(
            *(post_completion(session, urls[index % 2], 100) for index in range(12))
        )
        rejected = [(error, headers) for status, error, headers in results if error]
        assert len(deployment.engines[0].ledger) - previous == 12 - len(rejected) <= 3
        for error, headers in rejected:
            assert error["code"] == "concurrency_limit"
            assert error["not_run"] is True
            assert error["retry_after_s"] > 0 and int(headers["Retry-After"]) >= 1
        await wait_until(lambda: deployment.engines[0].ledger[-1].state == "complete")
