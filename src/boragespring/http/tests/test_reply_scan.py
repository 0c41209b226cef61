"""Where the body of a reply ends, and what belongs to no request."""

import asyncio
import contextlib

import pytest

from boragespring.http.client_session import create_session
from boragespring.http.reply_head import UnsoundReplyError
from boragespring.http.reply_scan import ReplyScan
from boragespring.http.tests.raw_server import get_port, listening
from boragespring.http.tests.reply_chunks import SOUND_BODIES, UNSOUND_BODIES
from boragespring.http.tests.test_reply_head import SIZES, scan

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
OTHER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"


# Guards against chunks whose framing the library mends.
@pytest.mark.parametrize("piece_bytes", SIZES)
@pytest.mark.parametrize("body", UNSOUND_BODIES)
def test_chunks_in_doubt_are_refused(body, piece_bytes):
    with pytest.raises(UnsoundReplyError):
        scan(CHUNKED + body, piece_bytes)


@pytest.mark.parametrize("piece_bytes", SIZES)
@pytest.mark.parametrize("body", SOUND_BODIES)
def test_sound_chunks_are_passed_on_unchanged(body, piece_bytes):
    parsed, state = scan(CHUNKED + body, piece_bytes)
    assert parsed == CHUNKED + body
    assert (state.is_complete, state.has_excess) == (True, False)


@pytest.mark.parametrize("piece_bytes", SIZES)
@pytest.mark.parametrize("body", SOUND_BODIES)
def test_chunks_that_end_early_are_not_complete(body, piece_bytes):
    _, state = scan(CHUNKED + body[:-1], piece_bytes)
    assert not state.is_complete


@pytest.mark.parametrize("reply", [WHOLE, CHUNKED + SOUND_BODIES[0]])
@pytest.mark.parametrize("excess", [b"\r\n", b"x", OTHER])
def test_bytes_behind_a_reply_are_left_out(reply, excess):
    state = ReplyScan(has_body=True)
    assert state.feed(reply + excess) == reply
    assert (state.is_complete, state.has_excess) == (True, True)


def test_lines_without_end_are_refused():
    for beginning in (b"HTTP/1.1 200 ", b"HTTP/1.1 200 OK\r\nX: ", CHUNKED + b"2;"):
        with pytest.raises(UnsoundReplyError):
            scan(beginning + b"x" * 100_000, 1000)
    with pytest.raises(UnsoundReplyError):
        scan(b"HTTP/1.1 200 OK\r\n" + b"X: 1\r\n" * 129 + b"\r\n", 1000)
    with pytest.raises(UnsoundReplyError):
        scan(CHUNKED + b"0\r\n" + b"X: 1\r\n" * 10_000, 1000)


@contextlib.asynccontextmanager
async def talking_server(behind_s, extra):
    """Reply to each request, and send extra bytes some time after the first reply."""
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE if behind_s else WHOLE + extra)
            if behind_s and len(connections) == 1:
                await asyncio.sleep(behind_s)
                writer.write(extra)
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(WHOLE)

    async with listening(serve) as listener:
        yield f"http://127.0.0.1:{get_port(listener)}/", connections


async def read(session, url):
    async with session.get(url) as response:
        return await response.read()


# Guards against an answer that is lost as other bytes came with it.
@pytest.mark.parametrize("extra", [b"\x00\x01 no reply\r\n\r\n", b"x", OTHER])
async def test_reply_is_read_whatever_comes_behind_it(extra):
    async with (
        talking_server(0.0, extra) as (url, connections),
        create_session() as session,
    ):
        assert [await read(session, url) for _ in range(3)] == [b"no"] * 3
        assert len(connections) == 3


# Guards against a late reply that the next request on its connection gets.
@pytest.mark.parametrize("extra", [OTHER, b"x"])
async def test_bytes_on_an_idle_connection_answer_no_request(extra):
    async with (
        talking_server(0.05, extra) as (url, connections),
        create_session() as session,
    ):
        assert await read(session, url) == b"no"
        await asyncio.sleep(0.2)
        assert await read(session, url) == b"no"
        assert len(connections) == 2
