"""Servers of tests hide no errors of their own, and leave no connection open."""

import asyncio
import contextlib

import pytest

from boragespring.http.tests.raw_server import get_port, listening


# Guards against a check in a server that fails unseen.
async def test_error_of_a_server_is_raised():
    async def fail(reader, writer):
        raise AssertionError("unexpected request")

    with pytest.raises(BaseExceptionGroup) as caught:
        async with listening(fail) as listener:
            _, writer = await asyncio.open_connection("127.0.0.1", get_port(listener))
            await asyncio.sleep(0.05)
            writer.close()
    assert caught.group_contains(AssertionError, match="unexpected request")


# Guards against connections that outlive their event loop, for which later tests fail.
async def test_connections_are_closed_whatever_their_server_does():
    async def stay(reader, writer):
        await asyncio.Event().wait()

    async with listening(stay) as listener:
        reader, writer = await asyncio.open_connection("127.0.0.1", get_port(listener))
        await asyncio.sleep(0.05)
    async with asyncio.timeout(1.0):
        with contextlib.suppress(ConnectionError):
            assert not await reader.read()
    writer.close()
