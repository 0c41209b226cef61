"""Callers that do not behave: a gateway process bears a crowd of them.

Each test checks what does not depend on the speed of the machine: that the process
lives, that its memory and its descriptors stay within the limits of its settings, and
that an ordinary request is answered while the crowd is still connected.
"""

import gzip
import itertools
import zlib
from functools import partial

import aiohttp
import pytest

from boragespring.platform.emulator.service import EmulatedService
from boragespring.platform.tests.support import (
    deployment,
    log_records,
    request_headers,
)
from boragespring.platform.tests.unruly_callers import (
    Crowd,
    ProcessLimits,
    chunk,
    gateway_process,
    head,
    look,
    wait_until_served,
)

pytestmark = pytest.mark.alone

KILOBYTE = 2**10
#: The smallest memory of a machine that carries traffic, and the usual limits.
LIMITS = ProcessLimits(memory_mb=128, file_descriptors=1024)
CALLER_LIMITS = {
    "header_bytes": 16 * KILOBYTE,
    "body_bytes": 4096 * KILOBYTE,
    # Beyond the duration of the test, so that no timeout hides what is kept.
    "header_timeout_ms": 600_000,
    "idle_timeout_ms": 600_000,
}


async def bear(tmp_path, crowds, limits=LIMITS, prepare=lambda platform: None):
    """Check that a gateway bears connections that send the given pieces."""
    async with gateway_process(tmp_path, limits, CALLER_LIMITS) as (process, platform):
        prepare(platform)
        async with Crowd(process) as crowd:
            for pieces in crowds:
                await crowd.add(pieces)
            await crowd.settle()
            await process.check_bearing()
            await wait_until_served(partial(look, process))
            await process.check_bearing()


# Guards against the end of a process by bodies that wait for their last bytes.
async def test_large_chunks_that_stop_short_of_their_end(tmp_path):
    body = [chunk(b"x" * 64 * KILOBYTE)] * 63
    await bear(tmp_path, ([head(f"r{number}"), *body] for number in range(60)))


# Guards against the same by bodies with a length.
async def test_bodies_with_a_length_that_stop_short_of_their_end(tmp_path):
    framing = f"Content-Length: {4096 * KILOBYTE}"
    body = [b"x" * 64 * KILOBYTE] * 63
    crowd = ([head(f"r{n}", framing=framing), *body] for n in range(60))
    await bear(tmp_path, crowd)


# Guards against costs by the number of chunks, which their bytes do not show.
async def test_small_chunks_that_stop_short_of_their_end(tmp_path):
    body = [chunk(b"x") * 10_000] * 16
    await bear(tmp_path, ([head(f"r{number}"), *body] for number in range(150)))


# Guards against chunked requests that are read ahead while a reply is not taken.
async def test_small_chunks_of_requests_sent_ahead(tmp_path, monkeypatch):
    monkeypatch.setattr(EmulatedService, "body", b"y" * 4096 * KILOBYTE)
    first = head("first", framing="Content-Length: 0")
    body = [chunk(b"x") * 10_000] * 16
    crowd = ([first, head(f"r{number}"), *body] for number in range(60))
    await bear(tmp_path, crowd)


# Guards against replies that wait, without bound, for callers that do not take them.
@pytest.mark.parametrize("more", ["", "Connection: close\r\n"])
async def test_replies_that_are_not_taken(tmp_path, monkeypatch, more):
    monkeypatch.setattr(EmulatedService, "body", b"y" * 7 * 1024 * KILOBYTE)
    crowd = (
        [head(f"r{number}", framing="Content-Length: 0", more=more)]
        for number in range(60)
    )
    # Its answer is as large, so the ordinary request waits for the crowd to leave room.
    await bear(tmp_path, crowd)


# Guards against parsed requests that wait behind a reply that is not taken.
async def test_many_requests_sent_ahead(tmp_path, monkeypatch):
    monkeypatch.setattr(EmulatedService, "body", b"y" * 4096 * KILOBYTE)
    more = "".join(f"X-{number}: {'v' * 100}\r\n" for number in range(110))
    request = head("ahead", framing="Content-Length: 0", more=more)
    crowd = ([request * 10] * 20 for _ in range(12))
    await bear(tmp_path, crowd)


# Guards against heads over the limit that are read ahead.
async def test_oversized_heads_sent_ahead(tmp_path, monkeypatch):
    monkeypatch.setattr(EmulatedService, "body", b"y" * 4096 * KILOBYTE)
    first = head("first", framing="Content-Length: 0")
    more = "".join(f"X-{number}: {'v' * 30_000}\r\n" for number in range(100))
    request = head("ahead", framing="Content-Length: 0", more=more)
    crowd = ([first, *itertools.repeat(request, 30)] for _ in range(4))
    await bear(tmp_path, crowd)


# Guards against heads that never end, none of them over the limit.
async def test_heads_that_stop_short_of_their_end(tmp_path):
    more = "".join(f"X-{number}: {'v' * 100}\r\n" for number in range(110))
    unfinished = head("cut", framing="Content-Length: 0", more=more)[:-4]
    await bear(tmp_path, ([unfinished] for _ in range(700)))


# Guards against trailers, which the limit on heads did not cover.
async def test_trailers_that_are_kept(tmp_path):
    trailers = [b"T-%d: %s\r\n" % (n, b"v" * 60_000) for n in range(100)]
    crowd = (
        [head(f"r{number}"), chunk(b"x"), b"0\r\n", *trailers] for number in range(30)
    )
    await bear(tmp_path, crowd)


# Guards against what is kept of a refused request while its rest arrives.
async def test_rests_of_refused_requests(tmp_path):
    framing = f"Content-Length: {2**40}"
    body = [b"x" * 64 * KILOBYTE] * 160
    crowd = ([head(f"r{n}", framing=framing), *body] for n in range(40))
    await bear(tmp_path, crowd)


# Guards against connections that take all descriptors of the process.
@pytest.mark.parametrize("sent", [b"", b"POST /look/x HTTP/1.1\r\n"])
async def test_connections_beyond_the_descriptors(tmp_path, sent):
    limits = ProcessLimits(memory_mb=128, file_descriptors=300)
    await bear(tmp_path, ([sent] for _ in range(700)), limits)


# A single request within the limits is served in calm, however it is cut.
@pytest.mark.parametrize("piece_bytes", [1, 7, 64 * KILOBYTE, 4000 * KILOBYTE])
async def test_one_request_within_the_limits_is_served(tmp_path, piece_bytes):
    size = min(4000 * KILOBYTE, 200_000 * piece_bytes)
    body = bytes(itertools.islice(itertools.cycle(range(251)), size))

    async def pieces():
        for begin in range(0, size, piece_bytes):
            yield body[begin : begin + piece_bytes]

    async with gateway_process(tmp_path, LIMITS, CALLER_LIMITS) as (process, platform):
        url = f"http://{process.host}:{process.port}/look/x"
        headers = request_headers("calm", remaining_ms=100_000)
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=pieces()) as response,
        ):
            assert response.status == 200, await response.text()
        assert platform.services["desk-0"].received[-1].body == body
        await process.check_bearing()


# Guards against bodies that a gateway decodes, which changes them and can make them
# a thousand times as large.
@pytest.mark.parametrize("encode", [gzip.compress, zlib.compress])
async def test_encoded_body_is_passed_on_unchanged(session, encode):
    encoding = "gzip" if encode is gzip.compress else "deflate"
    body = encode(b"z" * 50_000)
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        headers = {**request_headers("encoded"), "Content-Encoding": encoding}
        url = process.url + "/book/x"
        async with session.post(url, headers=headers, data=body) as response:
            assert response.status == 200
        assert platform.services["desk-0"].received[-1].body == body
        assert len(log_records(process, "answered")) == 1
