"""Replies of servers with values that cannot be used."""

import asyncio
import contextlib

import pytest

from boragespring.forwarding import ReplyLostError
from boragespring.platform.server_calls import HttpServerCalls, ServerCallSettings
from boragespring.platform.tests.test_unusable_addresses import make_server

ODD_NUMBERS = [
    *("1e400", "NaN", "-1", "9" * 400, "9" * 5000, '"many"', "[1]", '{"a": 1}', "true"),
]


@contextlib.asynccontextmanager
async def replying_server(status, body):
    """Yield calls, and a server that sends one reply to each."""

    async def reply(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(reply, "127.0.0.1", 0)
    calls = HttpServerCalls(ServerCallSettings())
    try:
        yield calls, make_server(*listener.sockets[0].getsockname()[:2])
    finally:
        await calls.close()
        listener.close()


# Guards against a report whose numbers end the loop that probes all servers.
@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda number: number[:8])
@pytest.mark.parametrize("field", ["running", "kv_cache_total"])
async def test_report_with_an_odd_number_counts_as_lost(field, number):
    body = f'{{"stage": "both", "{field}": {number}}}'.encode()
    async with replying_server(200, body) as (calls, server):
        with pytest.raises(ReplyLostError):
            await calls.fetch_report(server)


@pytest.mark.parametrize("number", ["1e400", "NaN", '"soon"', "[]", "9" * 5000])
async def test_report_with_an_odd_end_counts_as_lost(number):
    body = f'{{"running": 1, "leaves_ms": {number}}}'.encode()
    async with replying_server(200, body) as (calls, server):
        with pytest.raises(ReplyLostError):
            await calls.fetch_report(server)
