"""Test that a call runs once in a fleet large enough to combine its writes."""

import asyncio

import aiohttp

from boragespring.local import LOCAL_API_KEY, LocalDeployment, LocalSettings

ENTRIES = 17


async def wait_until_ready(session, url):
    while True:
        async with session.get(f"{url}/readyz") as response:
            if response.status == 200:
                return
        await asyncio.sleep(0.05)


async def test_call_with_same_key_at_every_entry_runs_once():
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}", "Idempotency-Key": "k"}
    async with (
        LocalDeployment(LocalSettings(entries=ENTRIES)) as deployment,
        aiohttp.ClientSession(headers=headers) as session,
    ):
        urls = [entry.url for entry in deployment.entries.values()]
        await asyncio.gather(*(wait_until_ready(session, url) for url in urls))

        async def call(url):
            path = f"{url}/services/app-transporte/confirmations"
            async with session.post(path, data=b"stop 7") as response:
                return response.status, await response.text()

        answers = await asyncio.gather(*map(call, urls))
        assert {status for status, _ in answers} == {200}
        assert len({text for _, text in answers}) == 1
        assert len(deployment.services[0].ledger) == 1
