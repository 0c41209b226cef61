"""Servers that reply without end to many callers at once: a gateway process bears them.

Each test checks what does not depend on the speed of the machine, as
`test_unruly_callers.py` does: life, memory, and answers to ordinary requests.
"""

import asyncio
import contextlib
from functools import partial

import pytest

from boragespring.http.tests.raw_server import endless_server
from boragespring.platform.emulator.catalog import (
    FURTHER_SERVICES,
    STANDARD_ROUTES,
    RouteSpec,
)
from boragespring.platform.tests.raw_replies import create_fields
from boragespring.platform.tests.test_unruly_callers import CALLER_LIMITS, LIMITS
from boragespring.platform.tests.unruly_callers import (
    Crowd,
    chunk,
    gateway_process,
    head,
    look,
    wait_until_served,
)

pytestmark = pytest.mark.alone

ENDLESS_SERVICE = FURTHER_SERVICES[0]
ROUTES = (
    *STANDARD_ROUTES,
    RouteSpec("/endless-call/", "non_idempotent", ENDLESS_SERVICE),
    RouteSpec("/endless-stream/", "streaming", ENDLESS_SERVICE),
)
CALLS = 200
#: Few enough calls to each server for the limits on it.
ENDLESS_SERVERS = 4
SLOTS = 200

CHUNKED = "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n"
PIECE = b"x" * 2**16
#: Heads of replies, and what follows them again and again.
FORMS = {
    "a head": ("HTTP/1.1 200 OK\r\n{fields}", b"X-Field: value\r\n" * 4096),
    "heads of their own": ("", b"HTTP/1.1 102 Processing\r\n\r\n" * 2000),
    "a body of no length": ("HTTP/1.1 200 OK\r\n{fields}\r\n", PIECE),
    "a length": (
        "HTTP/1.1 200 OK\r\n{fields}Content-Length: 99999999999\r\n\r\n",
        PIECE,
    ),
    "large chunks": (CHUNKED, chunk(PIECE)),
    "small chunks": (CHUNKED, chunk(b"x") * 10_000),
    "lines of an event": (CHUNKED, chunk(b"data: x\n") * 5000),
    "trailers": (CHUNKED + "0\r\n", b"X-Field: value\r\n" * 4096),
}


@contextlib.asynccontextmanager
async def endless_servers(platform, form):
    """Start and register servers that reply without end."""
    text, piece = FORMS[form]
    async with contextlib.AsyncExitStack() as stack:
        for number in range(ENDLESS_SERVERS):
            server = endless_server(text.encode(), piece, create_fields)
            port = await stack.enter_async_context(server)
            platform.register(f"endless-{number}", ENDLESS_SERVICE, port, SLOTS)
        yield


async def bear(tmp_path, form, path):
    async with (
        gateway_process(tmp_path, LIMITS, CALLER_LIMITS, ROUTES) as (process, platform),
        endless_servers(platform, form),
        Crowd(process) as crowd,
    ):
        await asyncio.sleep(1.0)
        for number in range(CALLS):
            request = head(f"e{number}", path, framing="Content-Length: 0")
            await crowd.add([request])
        await crowd.settle()
        await process.check_bearing()
        await wait_until_served(partial(look, process))
        await process.check_bearing()


# Guards against the end of a process by replies to calls that it keeps without bound.
@pytest.mark.parametrize("form", FORMS)
async def test_calls(tmp_path, form):
    await bear(tmp_path, form, "/endless-call/x")


# Guards against the same by streams, whose events it forwards only as a whole.
@pytest.mark.parametrize("form", ["small chunks", "lines of an event", "large chunks"])
async def test_streams(tmp_path, form):
    await bear(tmp_path, form, "/endless-stream/x")
