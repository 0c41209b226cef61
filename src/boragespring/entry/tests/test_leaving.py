"""A leaving entry interrupts no request and rejects new ones once closed."""

import asyncio

import aiohttp

from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
)


def completion_body(tokens):
    return {
        "model": LOCAL_MODEL,
        "prompt": "a",
        "stream": True,
        "standin_output_tokens": tokens,
    }


async def test_leaving_entry_finishes_stream_and_serves_during_grace_time():
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
    async with (
        LocalDeployment(LocalSettings(leave_grace_s=0.3)) as deployment,
        aiohttp.ClientSession(headers=headers) as session,
    ):
        entry = deployment.entries["entry-0"]
        url = f"{entry.url}/v1/completions"
        while True:
            async with session.get(f"{entry.url}/readyz") as response:
                if response.status == 200:
                    break
            await asyncio.sleep(0.02)
        # These connections stay open, like those of a load balancer.
        async with (
            session.get(f"{entry.url}/v1/models") as kept_alive,
            session.post(url, json=completion_body(150)) as running,
        ):
            await running.content.readline()
            drain = asyncio.create_task(entry.drain())
            await asyncio.sleep(0.05)
            async with session.get(f"{entry.url}/readyz") as response:
                assert response.status == 503
            # The load balancer has not noticed yet, so the request is served.
            async with session.post(url, json=completion_body(2)) as late:
                assert (await late.read()).endswith(b"data: [DONE]\n\n")
                assert late.headers["Connection"] == "close"
            assert kept_alive.status == 200
            assert (await running.read()).endswith(b"data: [DONE]\n\n")
        await drain
        runs = deployment.engines[0].ledger
        assert {run.state for run in runs} == {"complete"}


async def test_closed_gate_rejects_request_as_not_run():
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
    async with (
        LocalDeployment() as deployment,
        aiohttp.ClientSession(headers=headers) as session,
    ):
        entry = deployment.entries["entry-0"]
        async with session.get(f"{entry.url}/healthz") as response:
            assert response.status == 200
        entry._gate.close()
        url = f"{entry.url}/v1/completions"
        async with session.post(url, json=completion_body(2)) as response:
            error = (await response.json())["error"]
            assert (response.status, error["code"]) == (503, "leaving")
            assert error["not_run"] is True
        assert len(deployment.engines[0].ledger) == 0


def test_entries_of_a_local_deployment_get_its_leave_grace():
    deployment = LocalDeployment(LocalSettings(leave_grace_s=0.3))
    assert deployment.entry_settings("entry-1", "zone-a").leave_grace_s == 0.3
