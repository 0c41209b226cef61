"""Show the path over the platform: one call, and a stream that is moved."""

import asyncio
import itertools
from collections.abc import Callable

import aiohttp

from boragespring.bench.processes import free_ports
from boragespring.platform import names
from boragespring.platform.emulator.deployment import EmulatedPlatform, GatewayProcess

__all__ = ["show_platform"]

EVENTS = 60
NOTICE_S = 1.0
#: Questions for readiness, and the pause between two.
READY_QUESTIONS = 200
READY_PAUSE_S = 0.02
#: Events after which the stream's server says that it leaves.
EVENTS_BEFORE_LEAVING = 15


async def show_platform(tell: Callable[[str], None]) -> None:
    """Serve a call and a stream whose server leaves, and tell what came."""
    platform = EmulatedPlatform()
    try:
        await platform.start(engines=2, services=1)
        process = await platform.add_gateway("gateway", free_ports(4))
        await _wait_ready(process)
        async with aiohttp.ClientSession() as session:
            await _show_call(session, platform, process, tell)
            await _show_stream(session, platform, process, tell)
    finally:
        await platform.stop()


async def _wait_ready(process: GatewayProcess) -> None:
    readiness = process.settings.readiness
    url = f"http://{readiness.host}:{readiness.port}{names.READY_PATH}"
    async with aiohttp.ClientSession() as session:
        for _ in range(READY_QUESTIONS):
            async with session.get(url) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(READY_PAUSE_S)


async def _show_call(
    session: aiohttp.ClientSession,
    platform: EmulatedPlatform,
    process: GatewayProcess,
    tell: Callable[[str], None],
) -> None:
    headers = _headers(platform, "demo-call")
    async with session.post(f"{process.url}/book/stop-7", headers=headers) as response:
        tell(f"gateway, booking: {response.status} {await response.text()}")


async def _show_stream(
    session: aiohttp.ClientSession,
    platform: EmulatedPlatform,
    process: GatewayProcess,
    tell: Callable[[str], None],
) -> None:
    tokens = EVENTS * platform.engine_spec.tokens_per_event
    headers = {
        **_headers(platform, "demo-stream"),
        names.MODEL: "m",
        names.TOKEN_COUNTS: f"800,{tokens}",
    }
    url = f"{process.url}/draft/plan"
    ids: list[int] = []
    async with session.post(url, headers=headers) as response:
        end: asyncio.Task[None] | None = None
        async for line in response.content:
            if line.startswith(b"id: "):
                ids.append(int(line[4:]))
            if len(ids) == EVENTS_BEFORE_LEAVING and end is None:
                leaving = next(one for one in platform.engines.values() if one.runs)
                end = platform.reclaim(leaving.server_id, NOTICE_S)
                tell(f"gateway, stream: {leaving.server_id} leaves in {NOTICE_S:g} s")
    if end is not None:
        await end
    is_whole = ids == list(itertools.islice(itertools.count(1), EVENTS))
    order = "all in order, none twice" if is_whole else "not in order"
    tell(f"gateway, stream: {len(ids)} events, {order}")


def _headers(platform: EmulatedPlatform, request_id: str) -> dict[str, str]:
    return {
        "Host": platform.host,
        names.REQUEST_ID: request_id,
        names.TIME_REMAINING_MS: "20000",
        names.CREDENTIAL: "key-1",
    }
