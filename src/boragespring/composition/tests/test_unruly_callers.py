"""Callers that do not behave: an entry process bears a crowd of them."""

import contextlib
import itertools

import aiohttp
import pytest

from boragespring.child_processes import ProcessSet
from boragespring.composition.tests.test_separate_processes import (
    HEADERS,
    LocalProcesses,
    open_session,
)
from boragespring.platform.tests.unruly_callers import (
    BearingProcess,
    Crowd,
    ProcessLimits,
    chunk,
    wait_until_served,
)

pytestmark = pytest.mark.alone

KILOBYTE = 2**10
LIMITS = ProcessLimits(memory_mb=128, file_descriptors=400)
SETTINGS = (
    f'"process": {{"memory_bytes": {LIMITS.memory_mb * 10**6},'
    f' "file_descriptors": {LIMITS.file_descriptors}}}, "leave_grace_s": 0.2'
)
PATHS = ("/v1/completions", "/services/app-transporte/x")


def head(path, framing="Transfer-Encoding: chunked", more=""):
    fields = "Host: e\r\nAuthorization: Bearer local-key\r\n"
    return f"POST {path} HTTP/1.1\r\n{fields}{more}{framing}\r\n\r\n".encode()


@contextlib.asynccontextmanager
async def entry_process(directory):
    """Run the local set, and provide the process of one entry and a session."""
    async with ProcessSet(directory) as processes:
        replacements = [('"leave_grace_s": 0.2', SETTINGS)]
        local = LocalProcesses(processes, directory, replacements)
        await local.start()
        async with open_session(local) as session:
            port = local.ports["7441"]
            process = BearingProcess("entry-1", processes, "127.0.0.1", port, LIMITS)
            await wait_until_served(lambda _: complete(process))
            yield process, session


async def complete(process):
    """Return the status of one ordinary completion."""
    url = f"http://{process.host}:{process.port}/v1/completions"
    body = {"model": "rutas-1", "prompt": "Plan the routes.", "max_tokens": 4}
    async with (
        aiohttp.ClientSession(headers=HEADERS) as session,
        session.post(url, json=body) as response,
    ):
        await response.read()
        return response.status


async def bear(tmp_path, crowds):
    """Check that an entry bears connections that send the given pieces."""
    async with entry_process(tmp_path) as (process, _):
        async with Crowd(process) as crowd:
            for pieces in crowds:
                await crowd.add(pieces)
            await crowd.settle()
            await process.check_bearing()
            await wait_until_served(lambda _: complete(process))
            await process.check_bearing()


# Guards against the end of an entry by bodies that wait for their last bytes.
@pytest.mark.parametrize("path", PATHS)
async def test_large_chunks_that_stop_short_of_their_end(tmp_path, path):
    body = [chunk(b"x" * 64 * KILOBYTE)] * 63
    await bear(tmp_path, ([head(path), *body] for _ in range(60)))


# Guards against costs by the number of chunks, which their bytes do not show.
async def test_small_chunks_that_stop_short_of_their_end(tmp_path):
    body = [chunk(b"x") * 10_000] * 16
    await bear(tmp_path, ([head(PATHS[0]), *body] for _ in range(150)))


# Guards against heads that are read ahead while a request runs or waits for its body.
async def test_oversized_heads_sent_ahead(tmp_path):
    long_run = b'{"model": "rutas-1", "prompt": "x", "max_tokens": 100000}'
    first = head(PATHS[0], f"Content-Length: {len(long_run)}") + long_run
    more = "".join(f"X-{number}: {'v' * 8000}\r\n" for number in range(100))
    request = head(PATHS[0], "Content-Length: 0", more)
    crowd = ([first, *itertools.repeat(request, 60)] for _ in range(8))
    await bear(tmp_path, crowd)


# Guards against trailers, which no limit covered.
async def test_trailers_that_are_kept(tmp_path):
    trailers = [b"T-%d: %s\r\n" % (n, b"v" * 8000) for n in range(100)]
    body = [chunk(b'{"x"'), b"0\r\n", *trailers]
    await bear(tmp_path, ([head(PATHS[0]), *body] for _ in range(100)))


# Guards against bodies that are small as text and large as objects.
@pytest.mark.parametrize("value", [b"[]", b'{"a":{}}', b'""'])
async def test_bodies_of_many_values(tmp_path, value):
    count = 4000 * KILOBYTE // (len(value) + 1)
    values = b",".join([value] * count)
    body = b'{"model":"rutas-1","prompt":"x","max_tokens":4,"logit_bias":[%s]}' % values
    first = head(PATHS[0], f"Content-Length: {len(body)}") + body
    await bear(tmp_path, ([first] for _ in range(4)))


# Guards against connections that take all descriptors of the process.
async def test_connections_beyond_the_descriptors(tmp_path):
    await bear(tmp_path, ([b""] for _ in range(900)))


# A single request within the limits is served in calm, however it is cut.
@pytest.mark.parametrize("piece_bytes", [1, 64 * KILOBYTE])
async def test_one_request_within_the_limits_is_served(tmp_path, piece_bytes):
    # The stand-in of the service takes text of up to a mebibyte.
    size = min(1000 * KILOBYTE, 200_000 * piece_bytes)
    body = b"x" * size

    async def pieces():
        for begin in range(0, size, piece_bytes):
            yield body[begin : begin + piece_bytes]

    async with entry_process(tmp_path) as (process, session):
        url = f"http://{process.host}:{process.port}{PATHS[1]}"
        async with session.post(url, data=pieces()) as response:
            assert response.status == 200, await response.text()
        await process.check_bearing()
