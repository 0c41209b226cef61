"""What a connection reads at once, with a transport that only counts."""

import asyncio

import pytest
from aiohttp import web

from boragespring.http.caller_budget import CallerBudget, CallerBudgetSettings
from boragespring.http.caller_connection import (
    RECEIVE_BYTES,
    SMALL_RECEIVE_BYTES,
    ConnectionLimits,
)
from boragespring.http.connection_server import ConnectionServer

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"1\r\nx\r\n" * 1000
LARGE_CHUNK = b"1770\r\n" + b"x" * 6000 + b"\r\n"


class CountingTransport(asyncio.Transport):
    max_size = 0

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def close(self):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


@pytest.fixture
async def connection():
    async def handle(request):
        await request.protocol.upload.read()
        return web.Response()

    server = ConnectionServer(
        handle,
        lambda: ConnectionLimits(16384, 10**6, 3.0, 15.0),
        CallerBudget(CallerBudgetSettings(10**8, 100)),
        lambda head: None,
        lambda *arguments: web.BaseRequest(*arguments, asyncio.get_running_loop()),
    )
    created = server()
    transport = CountingTransport()
    created.connection_made(transport)
    yield created, transport
    created.connection_lost(None)


# Guards against long turns of the event loop by many connections with small chunks.
async def test_less_is_read_at_once_of_small_chunks(connection):
    caller, transport = connection
    caller.data_received(HEAD)
    assert transport.max_size == RECEIVE_BYTES
    caller.data_received(SMALL_CHUNKS)
    assert transport.max_size == SMALL_RECEIVE_BYTES
    caller.data_received(LARGE_CHUNK)
    assert transport.max_size == RECEIVE_BYTES
    assert caller.upload.received_bytes == 1000 + 6000
