"""Requests with a part in their prompts that crashes the engines."""

import asyncio

import aiohttp

from boragespring.platform import names
from boragespring.platform.tests.support import (
    deployment,
    log_records,
    request_headers,
    wait_until,
)

BAD = "bad1"


def crashing_headers(request_id, *parts, output_tokens=20):
    prompt = ",".join(f"{part}:20" for part in (*parts, f"own-{request_id}"))
    return request_headers(
        request_id,
        remaining_ms=8_000,
        **{
            names.MODEL: "m",
            names.TOKEN_COUNTS: f"200,{output_tokens}",
            names.PROMPT_PARTS: prompt,
        },
    )


async def send(session, process, request_id, *parts, output_tokens=20):
    """Send a generation; return its status, and 0 if its stream was truncated."""
    headers = crashing_headers(request_id, *parts, output_tokens=output_tokens)
    try:
        async with session.post(
            process.url + "/draft/x", headers=headers, data=b"p"
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


async def test_log_names_the_starting_runs_of_a_crashed_server(session):
    async with deployment(engines=1) as platform:
        process = platform.gateways[0]
        platform.crashing_parts.add(BAD)
        sound = asyncio.create_task(
            send(session, process, "sound", "first", "rare", output_tokens=800)
        )
        await wait_until(lambda: platform.engines["engine-0"].runs)
        engine = platform.engines["engine-0"]
        await wait_until(lambda: engine.runs["sound"].event_count > 4)
        assert await send(session, process, "r1", "first", BAD) == 0
        assert await sound == 0
        await wait_until(lambda: log_records(process, "server_crashed"))
        (record,) = log_records(process, "server_crashed")
        assert record.server == "engine-0"
        assert record.starting_runs == [
            {"request_id": "r1", "has_reply": True, "parts": [BAD, "first"]}
        ]


async def test_end_of_a_reply_of_a_living_server_is_not_logged_as_a_crash(session):
    async with deployment(engines=1) as platform:
        process = platform.gateways[0]
        platform.engines["engine-0"].truncates_at_event = 1
        assert await send(session, process, "r1", "first", "rare") == 0
        await asyncio.sleep(0.2)
        assert not log_records(process, "server_crashed")
