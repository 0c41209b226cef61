"""Servers and stores whose replies never end."""

import asyncio
import contextlib
import gc
import time
import tracemalloc

import pytest

from boragespring.fleet import BackendServer, Registration, ServerAddress
from boragespring.forwarding import ForwardingError
from boragespring.http.tests.raw_server import endless_server, get_port, listening
from boragespring.platform.emulator.catalog import PLAIN_SERVICE
from boragespring.platform.server_calls import HttpServerCalls, ServerCallSettings
from boragespring.platform.store_client import PlatformStore, PlatformStoreSettings
from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    log_records,
    wait_until,
)
from boragespring.store import StoreError

#: More than this must never be held of one reply.
MEMORY_MAX_BYTES = 40 * 2**20
#: Processor time that one turn of the event loop may take: the time between two tokens.
TURN_MAX_S = 0.035
#: Time within which the caller has its answer.
ANSWER_MAX_S = 2.0
HEADS = {
    "no length": b"HTTP/1.1 200 OK\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "field": b"HTTP/1.1 200 OK\r\nX-Endless: ",
    "fields": b"HTTP/1.1 200 OK\r\n",
    "interim": b"",
}
BODY_PIECE = b"x" * 65536
PIECES = {
    "no length": BODY_PIECE,
    "length": BODY_PIECE,
    "chunks": b"10000\r\n" + BODY_PIECE + b"\r\n",
    "field": BODY_PIECE,
    "fields": b"X-Field: value\r\n" * 4096,
    "interim": b"HTTP/1.1 102 Processing\r\n\r\n" * 40_000,
}


@contextlib.contextmanager
def no_garbage_collection():
    """Keep collections of the objects of all other tests out of a measurement."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


async def longest_turn_s(until):
    """Return the most processor time between two turns of the event loop."""
    longest_s, before_s = 0.0, time.thread_time()
    while not until.done():
        await asyncio.sleep(0)
        now_s = time.thread_time()
        longest_s, before_s = max(longest_s, now_s - before_s), now_s
    return longest_s


async def check_bounds(port, call):
    """Check the memory, the time and the longest turn that a call takes."""
    tracemalloc.start()
    try:
        await call(port)
        assert tracemalloc.get_traced_memory()[1] < MEMORY_MAX_BYTES
    finally:
        tracemalloc.stop()
    began_s = time.monotonic()
    with no_garbage_collection():
        task = asyncio.create_task(call(port))
        assert await longest_turn_s(task) < TURN_MAX_S
    await task
    assert time.monotonic() - began_s < ANSWER_MAX_S


async def call_server(port, call):
    calls = HttpServerCalls(ServerCallSettings())
    address = ServerAddress("127.0.0.1", port)
    registration = Registration("engine-0", "models", address, "zone-a", 8)
    server = BackendServer(registration, joined_at_s=0.0)
    try:
        with contextlib.suppress(ForwardingError):
            await call(calls, server)
    finally:
        await calls.close()


CALLS = {
    "report": lambda calls, server: calls.fetch_report(server),
    "copy": lambda calls, server: calls.copy_run(server, "r", server.address, False),
    "check": lambda calls, server: calls.try_connection(server),
}


@pytest.mark.parametrize("form", HEADS)
@pytest.mark.parametrize("name", CALLS)
async def test_endless_reply_of_a_server_is_bounded(name, form):
    async with endless_server(HEADS[form], PIECES[form]) as port:
        await check_bounds(port, lambda port: call_server(port, CALLS[name]))


@pytest.mark.parametrize("form", HEADS)
async def test_endless_reply_of_the_store_is_bounded(form):
    async def read(port):
        store = PlatformStore(PlatformStoreSettings(f"http://127.0.0.1:{port}"))
        try:
            with pytest.raises(StoreError):
                await store.get("key")
        finally:
            await store.close()

    async with endless_server(HEADS[form], PIECES[form]) as port:
        await check_bounds(port, read)


async def test_peer_that_sends_a_message_without_end_is_disconnected(session):
    async with deployment(gateways=1) as platform:
        peers = platform.gateways[0].settings.peers
        reader, writer = await asyncio.open_connection(peers.host, peers.port)
        tracemalloc.start()
        try:
            with contextlib.suppress(ConnectionError):
                # The head of an array of many byte strings that never ends.
                writer.write(b"\xdd\xff\xff\xff\xff")
                async with asyncio.timeout(ANSWER_MAX_S):
                    while not reader.at_eof():
                        writer.write(b"\xc6\x00\x01\x00\x00" + BODY_PIECE)
                        await writer.drain()
                        await asyncio.sleep(0)
            assert tracemalloc.get_traced_memory()[1] < MEMORY_MAX_BYTES
        finally:
            tracemalloc.stop()
            writer.close()
        assert await fetch_status(session, platform.gateways[0]) == 503


@pytest.mark.parametrize("byte_interval_s", [0.3])
async def test_reply_of_single_bytes_ends_with_the_time_of_the_request(
    session, byte_interval_s
):
    async def drip(reader, writer):
        # A gateway also opens connections that carry nothing.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" * 100:
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(byte_interval_s)
        writer.close()

    async with listening(drip) as listener, deployment(services=0) as platform:
        platform.register("desk-9", PLAIN_SERVICE, get_port(listener), 6)
        process = platform.gateways[0]
        await wait_until(lambda: log_records(process, "server_joined"))
        began_s = time.monotonic()
        assert await fetch_status(session, process, "/look/x") in (502, 504)
        assert time.monotonic() - began_s < ANSWER_MAX_S
