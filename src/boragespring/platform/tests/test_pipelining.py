"""Requests that callers send ahead on one connection, and odd framings of them."""

import asyncio
import itertools

import pytest

from boragespring.platform.tests.support import (
    deployment,
    log_records,
    request_headers,
    wait_until,
)
from boragespring.platform.tests.unruly_callers import chunk


def head(request_id, *fields):
    headers = request_headers(request_id)
    lines = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(["POST /book/x HTTP/1.1", *lines, *fields, "", ""]).encode()


def with_length(request_id, body, *fields):
    return head(request_id, f"Content-Length: {len(body)}", *fields) + body


def chunked(request_id, body, piece_bytes, trailers=b""):
    parts = (body[at : at + piece_bytes] for at in range(0, len(body), piece_bytes))
    chunks = b"".join(map(chunk, parts))
    return (
        head(request_id, "Transfer-Encoding: chunked")
        + chunks
        + b"0\r\n"
        + trailers
        + b"\r\n"
    )


async def connect(platform):
    callers = platform.gateways[0].settings.callers
    return await asyncio.open_connection(callers.host, callers.port)


async def read_reply(reader):
    """Return the status and the request id of one reply."""
    raw = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    lines = raw.decode().split("\r\n")
    fields = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    await reader.readexactly(int(fields["content-length"]))
    return int(lines[0].split()[1]), fields.get("boragespring-attempt-id")


def mixed_requests(count):
    kinds = itertools.cycle(
        (
            lambda name: with_length(name, b""),
            lambda name: chunked(name, b"abc" * 100, 1),
            lambda name: with_length(name, b"x" * 3000),
            lambda name: chunked(name, b"y" * 3000, 700, b"T: 1\r\n"),
        )
    )
    ids = [f"r{number}" for number in range(count)]
    return ids, [build(name) for name, build in zip(ids, kinds, strict=False)]


# Guards against requests sent ahead that are lost, changed or answered out of order.
@pytest.mark.parametrize("piece_bytes", [13, 1000, 40_000, 10**7])
async def test_requests_sent_ahead_are_answered_in_order(piece_bytes):
    ids, requests = mixed_requests(60)
    sent = b"".join(requests)
    async with deployment(services=1) as platform:
        reader, writer = await connect(platform)
        for at in range(0, len(sent), piece_bytes):
            writer.write(sent[at : at + piece_bytes])
            if piece_bytes < 100 and at % 1300 == 0:
                await asyncio.sleep(0)
        replies = [await read_reply(reader) for _ in ids]
        assert replies == [(200, name) for name in ids]
        bodies = {len(each.body) for each in platform.services["desk-0"].received}
        assert bodies == {0, 300, 3000}
        writer.close()


# Guards against a request sent ahead that waits for bytes which never come.
async def test_request_behind_a_refused_body_is_answered():
    async with deployment(services=1) as platform:
        reader, writer = await connect(platform)
        too_large = with_length("large", b"x" * 70_000)
        writer.write(too_large + with_length("next", b"y"))
        assert await read_reply(reader) == (413, "large")
        assert await read_reply(reader) == (200, "next")
        writer.close()


# Guards against a connection that stands still after a request to switch protocols.
async def test_request_behind_a_request_to_switch_the_protocol_is_answered():
    async with deployment(services=1) as platform:
        reader, writer = await connect(platform)
        fields = ("Connection: Upgrade", "Upgrade: websocket")
        writer.write(with_length("switch", b"x", *fields) + with_length("next", b"y"))
        assert (await read_reply(reader))[0] == 200
        assert await read_reply(reader) == (200, "next")
        writer.close()


# Guards against work for callers that left: a caller that sent a request ahead as well.
@pytest.mark.parametrize(
    "sent",
    [
        with_length("left", b"x"),
        with_length("left", b"x") + with_length("behind", b"y"),
        chunked("left", b"x" * 60_000, 1),
    ],
    ids=["alone", "with another behind", "in small chunks"],
)
async def test_caller_that_leaves_while_its_request_runs_is_noticed(sent):
    async with deployment(services=1) as platform:
        platform.services["desk-0"].execution_s = 0.7
        _, writer = await connect(platform)
        writer.write(sent)
        await wait_until(lambda: platform.services["desk-0"].runs)
        writer.close()
        await wait_until(lambda: platform.services["desk-0"].cancelled == ["left"], 0.5)


# Guards against bodies that cannot be read and are waited for until the deadline.
async def test_malformed_chunk_is_refused_at_once():
    async with deployment(services=1) as platform:
        reader, writer = await connect(platform)
        writer.write(head("bad", "Transfer-Encoding: chunked") + b"3\r\nabc\r\n")
        await asyncio.sleep(0.1)
        writer.write(b"zz\r\n")
        assert await read_reply(reader) == (400, "bad")
        writer.close()
        assert not platform.services["desk-0"].received


# Guards against trailers without end.
async def test_endless_trailer_is_refused():
    async with deployment(services=1) as platform:
        reader, writer = await connect(platform)
        writer.write(chunked("long", b"x", 1)[:-2])
        for number in range(60):
            writer.write(f"T-{number}: {'v' * 1000}\r\n".encode())
            await asyncio.sleep(0)
        assert await read_reply(reader) == (400, "long")
        writer.close()
        assert not platform.services["desk-0"].received
        assert len(log_records(platform.gateways[0], "refused")) == 1
