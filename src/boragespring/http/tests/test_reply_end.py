"""Framing of replies."""

import asyncio

import aiohttp
import pytest

from boragespring.http.reply_end import ReplyEnd, ReplyFraming


@pytest.mark.parametrize(
    ("method", "framing"),
    [("GET", ReplyFraming.CONNECTION), ("HEAD", ReplyFraming.LENGTH)],
)
async def test_reply_without_a_length_ends_with_its_connection(method, framing):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, f"http://127.0.0.1:{port}/") as response,
        ):
            assert ReplyEnd(response).framing is framing
    finally:
        server.close()
