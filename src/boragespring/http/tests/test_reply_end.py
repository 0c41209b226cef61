"""Framing of replies."""

import aiohttp
import pytest

from boragespring.http.reply_end import ReplyEnd, ReplyFraming
from boragespring.http.tests.raw_server import get_port, listening


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

    async with (
        listening(serve) as listener,
        aiohttp.ClientSession() as session,
        session.request(method, f"http://127.0.0.1:{get_port(listener)}/") as response,
    ):
        assert ReplyEnd(response).framing is framing
