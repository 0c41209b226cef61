"""Demonstrate a gateway on the emulated platform with a call and a moved stream."""

import asyncio
import itertools
from collections.abc import Callable

import aiohttp

from boragespring.child_processes import free_ports
from boragespring.platform import names
from boragespring.platform.emulator.deployment import EmulatedPlatform, GatewayProcess

__all__ = ["show_platform"]

EVENTS = 60
NOTICE_S = 1.0
#: Maximum number of readiness checks, and the interval between them.
READY_POLLS_MAX = 200
READY_POLL_INTERVAL_S = 0.02
#: Number of received events after which the stream's server is reclaimed.
EVENTS_BEFORE_RECLAIM = 15


async def show_platform(write_line: Callable[[str], None]) -> None:
    """Run one call and one stream whose server is reclaimed, and report the results.

    Parameters
    ----------
    write_line : callable
        Called with each line of output.
    """
    platform = EmulatedPlatform()
    try:
        await platform.start(engines=2, services=1)
        process = await platform.add_gateway("gateway", free_ports(4))
        await _wait_until_ready(process)
        async with aiohttp.ClientSession() as session:
            await _show_call(session, platform, process, write_line)
            await _show_stream(session, platform, process, write_line)
    finally:
        await platform.stop()


async def _wait_until_ready(process: GatewayProcess) -> None:
    readiness = process.settings.readiness
    url = f"http://{readiness.host}:{readiness.port}{names.READY_PATH}"
    async with aiohttp.ClientSession() as session:
        for _ in range(READY_POLLS_MAX):
            async with session.get(url) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(READY_POLL_INTERVAL_S)


async def _show_call(
    session: aiohttp.ClientSession,
    platform: EmulatedPlatform,
    process: GatewayProcess,
    write_line: Callable[[str], None],
) -> None:
    headers = _request_headers(platform, "demo-call")
    async with session.post(f"{process.url}/book/stop-7", headers=headers) as response:
        write_line(f"gateway, booking: {response.status} {await response.text()}")


async def _show_stream(
    session: aiohttp.ClientSession,
    platform: EmulatedPlatform,
    process: GatewayProcess,
    write_line: Callable[[str], None],
) -> None:
    tokens = EVENTS * platform.engine_spec.tokens_per_event
    headers = {
        **_request_headers(platform, "demo-stream"),
        names.MODEL: "m",
        names.TOKEN_COUNTS: f"800,{tokens}",
    }
    url = f"{process.url}/draft/plan"
    event_ids: list[int] = []
    async with session.post(url, headers=headers) as response:
        reclaim_task: asyncio.Task[None] | None = None
        async for line in response.content:
            if line.startswith(b"id: "):
                event_ids.append(int(line[4:]))
            if len(event_ids) == EVENTS_BEFORE_RECLAIM and reclaim_task is None:
                server = next(
                    engine for engine in platform.engines.values() if engine.runs
                )
                reclaim_task = platform.reclaim(server.server_id, NOTICE_S)
                write_line(
                    f"gateway, stream: {server.server_id} leaves in {NOTICE_S:g} s"
                )
    if reclaim_task is not None:
        await reclaim_task
    is_complete = event_ids == list(itertools.islice(itertools.count(1), EVENTS))
    order = "all in order, no duplicates" if is_complete else "not in order"
    write_line(f"gateway, stream: {len(event_ids)} events, {order}")


def _request_headers(platform: EmulatedPlatform, request_id: str) -> dict[str, str]:
    return {
        "Host": platform.host,
        names.REQUEST_ID: request_id,
        names.TIME_REMAINING_MS: "20000",
        names.CREDENTIAL: "key-1",
    }
