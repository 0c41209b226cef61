"""Rollout of the lists from the store to entries and agents."""

import asyncio

import aiohttp
import attrs

from boragespring.lists.editor import Edit, ListsEditor
from boragespring.lists.state import difference
from boragespring.lists.tests.fakes import wait_until
from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
    local_document,
)
from boragespring.store import MemoryStore


async def post_completion(session, url, key, **headers):
    """Return the status of a request, and the error code if there is one."""
    body = {"model": LOCAL_MODEL, "prompt": "p", "max_tokens": 2}
    headers["Authorization"] = f"Bearer {key}"
    async with session.post(
        f"{url}/v1/completions", json=body, headers=headers
    ) as response:
        return response.status, (await response.json()).get("error", {}).get("code")


async def wait_for_version(session, url, expected_version):
    """Wait until the status page of a process reports a version of the lists."""

    async def version():
        async with session.get(f"{url}/status") as response:
            return (await response.json())["lists_version"]

    async with asyncio.timeout(20):
        while await version() != expected_version:
            await asyncio.sleep(0.02)


async def test_change_takes_effect_on_entries_and_agents():
    settings = LocalSettings(entries=2, lists=local_document())
    async with (
        LocalDeployment(settings) as deployment,
        aiohttp.ClientSession() as session,
    ):
        urls = [entry.url for entry in deployment.entries.values()]
        urls += [
            f"http://127.0.0.1:{agent.http_port}"
            for agent in deployment.agents.values()
        ]
        for url in urls:
            await wait_for_version(session, url, 1)
        entry_urls = urls[:2]
        for url in entry_urls:

            async def is_served(url=url):
                return (await post_completion(session, url, LOCAL_API_KEY))[0] == 200

            async with asyncio.timeout(20):
                while not await is_served():
                    await asyncio.sleep(0.02)
            assert await post_completion(session, url, "wrong") == (
                401,
                "wrong_api_key",
            )
            assert await post_completion(
                session, url, LOCAL_API_KEY, **{"X-Traffic-Class": "royal"}
            ) == (403, "class_not_in_plan")
        editor = ListsEditor(MemoryStore(deployment.store.keyspace))
        state = (await editor.read()).state
        document = local_document()
        plans = document.allowance_list.plans
        workspaces = document.plan_list.workspaces
        del workspaces["coop-sur"]
        plans["all"] = attrs.evolve(plans["all"], models=[])
        await editor.submit(Edit(difference(state, document), "ops", "less"))
        for url in urls:
            await wait_for_version(session, url, 2)
        for url in entry_urls:
            assert await post_completion(session, url, "other-key") == (
                401,
                "wrong_api_key",
            )
            status, _ = await post_completion(session, url, LOCAL_API_KEY)
            assert status == 404


async def test_entry_gets_lists_from_agents_and_restores_them_to_store():
    settings = LocalSettings(lists=local_document())
    async with (
        LocalDeployment(settings) as deployment,
        aiohttp.ClientSession() as session,
    ):
        agents = list(deployment.agents.values())
        for agent in agents:
            await wait_for_version(session, f"http://127.0.0.1:{agent.http_port}", 1)
        await deployment.stop_entry("entry-0")
        deployment.store.keyspace.restore(1)
        new_entry = await deployment.start_entry("entry-1", "quito-a")
        await wait_for_version(session, new_entry.url, 1)
        await wait_until(
            lambda: deployment.store.keyspace.get("boragespring/lists").item
        )
