"""Idle connections to processes that end."""

import asyncio
import contextlib
import math

import pytest

from boragespring.http.connection_watch import watch_connection
from boragespring.http.tests.raw_server import get_port, listening


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

    async with listening(serve) as listener:
        watch = await watch_connection("127.0.0.1", get_port(listener))
        with contextlib.closing(watch):
            await asyncio.sleep(0.1)
            assert math.isfinite(watch.closed_at_s) == (act is close)
            assert done.is_set() == (act is not stay_open)
