"""Idle connections to processes that end."""

import asyncio
import math

import pytest

from boragespring.http.connection_watch import watch_connection


async def close(reader, writer):
    writer.close()


async def stay_open(reader, writer):
    await reader.read()


async def send_endlessly(reader, writer):
    with pytest.raises(ConnectionError):
        while True:
            writer.write(bytes(1024))
            await writer.drain()


@pytest.mark.parametrize("act", [close, stay_open, send_endlessly])
async def test_watch_records_an_orderly_close_alone(act):
    done = asyncio.Event()

    async def serve(reader, writer):
        await act(reader, writer)
        done.set()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    watch = await watch_connection(*server.sockets[0].getsockname())
    try:
        await asyncio.sleep(0.1)
        assert math.isfinite(watch.closed_at_s) == (act is close)
        assert done.is_set() == (act is not stay_open)
    finally:
        watch.close()
        server.close()
