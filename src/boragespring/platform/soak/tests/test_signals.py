"""Signals in series to gateway processes that serve callers."""

import asyncio
import signal

import aiohttp
import pytest

from boragespring.platform.soak.deployment import SoakDeployment
from boragespring.platform.tests.support import prompt_headers, request_headers

STREAM_EVENTS = 180


async def read_draft(gateway, platform, is_started):
    """Return the number of events of a stream that lasts about two seconds."""
    prompt = prompt_headers(200, 4 * STREAM_EVENTS)
    headers = {**request_headers("s1", remaining_ms=20_000, **prompt)}
    headers["Host"] = platform.host
    async with (
        aiohttp.ClientSession() as session,
        session.post(gateway.url + "/draft/x", headers=headers) as response,
    ):
        is_started.set()
        body = await response.read()
    return body.count(b"data: ")


# Guards against streams that are cut as the platform repeats its SIGTERM, or as the
# settings file changes, while the gateway drains.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
async def test_stream_outlasts_further_signals_in_a_drain(tmp_path, number):
    async with SoakDeployment(11, tmp_path) as deployment:
        gateway, is_started = deployment.gateways[0], asyncio.Event()
        stream = asyncio.create_task(
            read_draft(gateway, deployment.platform, is_started)
        )
        await is_started.wait()
        stop = asyncio.create_task(deployment.stop(gateway))
        for _ in range(3):
            await asyncio.sleep(0.3)
            deployment.signal(gateway, number)
        assert await stream == STREAM_EVENTS
        await stop
    assert gateway.exit_codes == [0]
