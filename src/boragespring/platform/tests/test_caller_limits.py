"""What callers may send: bytes that are no request, sizes, times."""

import asyncio
import time

import pytest

from boragespring.platform.tests.support import (
    deployment,
    log_records,
    request_headers,
)

LIMITS = {
    "header_bytes": 8192,
    "body_bytes": 65536,
    "header_timeout_ms": 300,
    "idle_timeout_ms": 700,
}


async def connect(process):
    callers = process.settings.callers
    return await asyncio.open_connection(callers.host, callers.port)


def head_of(request_id, length=0, more=""):
    fields = "".join(
        f"{name}: {value}\r\n" for name, value in request_headers(request_id).items()
    )
    return f"POST /book/x HTTP/1.1\r\n{fields}{more}Content-Length: {length}\r\n\r\n"


async def status_read(reader):
    line = await asyncio.wait_for(reader.readline(), 3.0)
    return int(line.split(b" ")[1]) if line else 0


async def test_bytes_that_are_no_request(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        callers = process.settings.callers
        for smuggled in (
            b"POST /book/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/x HTTP/1.1\r\n\r\n",
            b"\x00\x01\x02\r\n\r\n",
            b"POST /book/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        ):
            reader, writer = await asyncio.open_connection(callers.host, callers.port)
            writer.write(smuggled)
            reply = await asyncio.wait_for(reader.read(), 2.0)
            assert reply.split(b" ")[1] == b"400"
            writer.close()
        assert not platform.services["desk-0"].seen


async def test_a_body_over_the_limit_and_a_request_cut_midway(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        sent = request_headers("big")
        async with session.post(
            process.url + "/book/x", headers=sent, data=b"x" * 70_000
        ) as response:
            assert response.status == 413
        callers = process.settings.callers
        _, writer = await asyncio.open_connection(callers.host, callers.port)
        head = "".join(
            f"{name}: {value}\r\n" for name, value in request_headers("cut").items()
        )
        writer.write(
            f"POST /book/x HTTP/1.1\r\n{head}Content-Length: 9\r\n\r\n12".encode()
        )
        await writer.drain()
        writer.close()
        await asyncio.sleep(0.1)
        assert not platform.services["desk-0"].seen


@pytest.mark.parametrize("ends_head", [True, False])
async def test_a_head_over_the_limit_is_refused(ends_head):
    more = "".join(f"X-{number}: {'v' * 1000}\r\n" for number in range(9))
    async with deployment(services=1, limits=LIMITS) as platform:
        process = platform.gateways[0]
        reader, writer = await connect(process)
        whole = head_of("large", more=more).encode()
        writer.write(whole if ends_head else whole[:-4])
        assert await status_read(reader) == 431
        writer.close()
        # The limit is on the whole head: as much in a body is welcome.
        reader, writer = await connect(process)
        body = b"x" * 9000
        writer.write(head_of("body", len(body)).encode() + body)
        assert await status_read(reader) == 200
        writer.close()
        assert len(platform.services["desk-0"].seen) == 1


async def test_a_head_that_takes_too_long_is_refused_as_not_run():
    async with deployment(services=1, limits=LIMITS) as platform:
        process = platform.gateways[0]
        reader, writer = await connect(process)
        writer.write(head_of("slow").encode()[:-4])
        begun_s = asyncio.get_running_loop().time()
        assert await status_read(reader) == 408
        assert asyncio.get_running_loop().time() - begun_s == pytest.approx(
            0.3, abs=0.2
        )
        assert log_records(process, "head_refused")
        assert not platform.services["desk-0"].seen


async def test_a_body_that_does_not_arrive_in_time_is_refused_as_not_run():
    async with deployment(services=1, limits=LIMITS) as platform:
        reader, writer = await connect(platform.gateways[0])
        head = head_of("slow", 9).replace("Remaining: 5000", "Remaining: 200")
        writer.write(head.encode() + b"12")
        assert await status_read(reader) == 503
        assert not platform.services["desk-0"].seen


async def test_an_idle_connection_is_kept_within_the_limit_and_closed_after_it():
    async with deployment(services=1, limits=LIMITS) as platform:
        reader, writer = await connect(platform.gateways[0])
        for number in range(3):
            writer.write(head_of(f"kept-{number}").encode())
            assert await status_read(reader) == 200
            while (await reader.readline()).strip():
                pass
            await reader.readexactly(len(platform.services["desk-0"].body))
            # Four fifths of the limit.
            await asyncio.sleep(0.55)
        await asyncio.sleep(0.5)
        assert await asyncio.wait_for(reader.read(), 1.0) == b""


async def test_the_rest_of_a_body_that_was_refused_is_no_head():
    async with deployment(services=1, limits=LIMITS) as platform:
        reader, writer = await connect(platform.gateways[0])
        writer.write(head_of("large", 300_000).encode() + b"x" * 70_000)
        assert await status_read(reader) == 413
        for _ in range(5):
            writer.write(b"x" * 10_000)
            await asyncio.sleep(0.02)
        rest = await asyncio.wait_for(reader.read(), 4.0)
        assert rest.count(b"HTTP/1.1") == 0
        assert not log_records(platform.gateways[0], "head_refused")


async def test_a_head_that_arrived_while_the_process_stood_still_is_not_slow():
    async with deployment(services=1, limits=LIMITS) as platform:
        reader, writer = await connect(platform.gateways[0])
        whole = head_of("paused").encode()
        writer.write(whole[:-4])
        await asyncio.sleep(0.1)
        writer.write(whole[-4:])
        # Nothing of the process runs until long after the limit.
        time.sleep(0.5)
        assert await status_read(reader) == 200
