"""Limits of a plan over two entries, with callers over HTTP."""

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


async def ask(session, url, tokens):
    body = {
        "model": LOCAL_MODEL,
        "prompt": "p",
        "max_tokens": 500,
        "stream": True,
        "standin_output_tokens": tokens,
    }
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
    async with session.post(f"{url}/v1/completions", json=body, headers=headers) as r:
        if r.status != 200:
            return r.status, (await r.json())["error"], r.headers
        await r.read()
        return r.status, None, None


async def test_concurrency_holds_over_both_entries():
    document = local_document()
    plans = document.allowance_list.plans
    plans["all"] = attrs.evolve(plans["all"], concurrency_max=3)
    settings = LocalSettings(entries=2, lists=document)
    async with LocalDeployment(settings) as local, aiohttp.ClientSession() as session:
        urls = [entry.url for entry in local.entries.values()]

        async def held_partitions():
            count = 0
            for url in urls:
                async with session.get(f"{url}/status") as response:
                    limits = (await response.json())["limits"]
                    count += len(limits["held_partitions"])
            return count

        async with asyncio.timeout(30):
            for url in urls:
                while (await ask(session, url, 1))[0] != 200:
                    await asyncio.sleep(0.05)
            while await held_partitions() < 8:
                await asyncio.sleep(0.05)
        before = len(local.engines[0].ledger)
        results = await asyncio.gather(
            *(ask(session, urls[i % 2], 100) for i in range(12))
        )
        refused = [(error, headers) for status, error, headers in results if error]
        assert len(local.engines[0].ledger) - before == 12 - len(refused) <= 3
        for error, headers in refused:
            assert error["code"] == "concurrency_limit"
            assert error["not_run"] is True
            assert error["retry_after_s"] > 0 and int(headers["Retry-After"]) >= 1
        await wait_until(lambda: local.engines[0].ledger[-1].state == "complete")
