"""Signals in series to gateway processes that serve callers."""

import asyncio
import signal
from pathlib import Path

import aiohttp
import pytest

from boragespring.child_processes import ProcessSet, free_ports
from boragespring.platform.soak.deployment import (
    LOOPBACK,
    SETTINGS_TEMPLATE,
    SoakDeployment,
)
from boragespring.platform.tests.support import (
    prompt_headers,
    request_headers,
    wait_until,
)

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


def is_reload_signal_held(status):
    """Return whether a process holds back SIGHUP, by its page under /proc."""
    fields = dict(line.split(":", 1) for line in status.read_text().splitlines())
    return bool(int(fields["SigBlk"], 16) & 1 << signal.SIGHUP - 1)


# Guards against a process that ends by a change of its settings while it starts.
async def test_reload_signal_during_the_start_does_not_end_the_process(tmp_path):
    settings, (callers, ready, peers) = tmp_path / "settings.toml", free_ports(3)
    settings.write_text(
        SETTINGS_TEMPLATE.format(
            name="gateway-0",
            host=LOOPBACK,
            peers=peers,
            callers=callers,
            ready=ready,
            catalog_delay_ms=2000,
            grace_s=1,
            store=f"{LOOPBACK}:1",
        )
    )
    async with ProcessSet(tmp_path) as processes:
        await processes.start(
            "gateway-0", "boragespring.cli.gateway", "--settings", str(settings)
        )
        status = Path(f"/proc/{processes.pid('gateway-0')}/status")
        await wait_until(lambda: is_reload_signal_held(status))
        processes.signal("gateway-0", signal.SIGHUP)
        await wait_until(lambda: "reloaded" in processes.log("gateway-0"))
