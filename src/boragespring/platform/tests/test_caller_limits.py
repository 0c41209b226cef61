"""Limits on callers: malformed requests, sizes and timeouts."""

import asyncio
import time

import pytest

from boragespring.platform.tests.support import (
    deployment,
    log_records,
    prompt_headers,
    request_headers,
    wait_until,
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


def build_head(request_id, length=0, more=""):
    fields = "".join(
        f"{name}: {value}\r\n" for name, value in request_headers(request_id).items()
    )
    return f"POST /book/x HTTP/1.1\r\n{fields}{more}Content-Length: {length}\r\n\r\n"


async def read_status(reader):
    line = await asyncio.wait_for(reader.readline(), 3.0)
    return int(line.split(b" ")[1]) if line else 0


async def test_malformed_requests_are_rejected(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        callers = process.settings.callers
        for malformed in (
            b"POST /book/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/x HTTP/1.1\r\n\r\n",
            b"\x00\x01\x02\r\n\r\n",
            b"POST /book/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        ):
            reader, writer = await asyncio.open_connection(callers.host, callers.port)
            writer.write(malformed)
            reply = await asyncio.wait_for(reader.read(), 2.0)
            assert reply.split(b" ")[1] == b"400"
            writer.close()
        assert not platform.services["desk-0"].received


# Guards against 500 for requests with a number that is too large to compute with.
@pytest.mark.parametrize(
    "odd",
    [
        {"Boragespring-Time-Remaining": "9" * 400},
        {"Boragespring-Time-Remaining": "9" * 5000},
        {"Boragespring-Token-Counts": "1," + "9" * 5000},
        {"Boragespring-Length-Hint": "9" * 5000},
        {"Boragespring-Prompt-Prefix": "aa:" + "9" * 5000},
    ],
    ids=lambda odd: f"{next(iter(odd))}-{len(next(iter(odd.values())))}",
)
async def test_number_of_any_length_in_a_header_is_survived(session, odd):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        headers = {**request_headers("long"), **prompt_headers(1, 4), **odd}
        async with session.post(process.url + "/book/x", headers=headers) as response:
            assert response.status == 200
        assert len(log_records(process, "answered")) == 1


# Guards against servers that run a request under an identifier, or with a prompt, that
# its caller did not send, as bytes that are no UTF-8 were left out.
@pytest.mark.parametrize(
    ("sent", "changed"),
    [
        (b"Attempt-Id: odd", b"Attempt-Id: o\xffd"),
        (b"Model: m", b"Model: m\xe9"),
        (b"Prefix: aa:1", b"Prefix: a\xffa:1"),
    ],
)
async def test_request_that_cannot_be_passed_on_unchanged_is_refused(sent, changed):
    async with deployment(services=1) as platform:
        fields = prompt_headers(1, 4).items()
        more = "".join(f"{name}: {value}\r\n" for name, value in fields)
        head = build_head("odd", more=more).encode()
        assert sent in head
        reader, writer = await connect(platform.gateways[0])
        for each, status in ((head, 200), (head.replace(sent, changed), 400)):
            writer.write(each)
            assert await read_status(reader) == status
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(16 if status == 200 else 12)
        writer.close()
        assert len(platform.services["desk-0"].received) == 1


async def test_oversized_and_truncated_bodies_are_not_forwarded(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        sent_headers = request_headers("big")
        async with session.post(
            process.url + "/book/x", headers=sent_headers, data=b"x" * 70_000
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
        assert not platform.services["desk-0"].received


@pytest.mark.parametrize("ends_head", [True, False])
async def test_oversized_head_is_refused(ends_head):
    more = "".join(f"X-{number}: {'v' * 1000}\r\n" for number in range(9))
    async with deployment(services=1, limits=LIMITS) as platform:
        process = platform.gateways[0]
        reader, writer = await connect(process)
        request_head = build_head("large", more=more).encode()
        writer.write(request_head if ends_head else request_head[:-4])
        assert await read_status(reader) == 431
        writer.close()
        # The limit applies to the head only: a body of the same size is accepted.
        reader, writer = await connect(process)
        body = b"x" * 9000
        writer.write(build_head("body", len(body)).encode() + body)
        assert await read_status(reader) == 200
        writer.close()
        assert len(platform.services["desk-0"].received) == 1


async def test_slow_head_is_refused_as_not_run():
    async with deployment(services=1, limits=LIMITS) as platform:
        process = platform.gateways[0]
        reader, writer = await connect(process)
        writer.write(build_head("slow").encode()[:-4])
        started_at_s = asyncio.get_running_loop().time()
        assert await read_status(reader) == 408
        assert asyncio.get_running_loop().time() - started_at_s == pytest.approx(
            0.3, abs=0.2
        )
        assert log_records(process, "head_refused")
        assert not platform.services["desk-0"].received


async def test_slow_body_is_refused_as_not_run():
    async with deployment(services=1, limits=LIMITS) as platform:
        reader, writer = await connect(platform.gateways[0])
        head = build_head("slow", 9).replace("Remaining: 5000", "Remaining: 200")
        writer.write(head.encode() + b"12")
        assert await read_status(reader) == 503
        assert not platform.services["desk-0"].received


async def test_idle_connection_is_closed_only_after_the_timeout():
    async with deployment(services=1, limits=LIMITS) as platform:
        reader, writer = await connect(platform.gateways[0])
        for number in range(3):
            writer.write(build_head(f"kept-{number}").encode())
            assert await read_status(reader) == 200
            while (await reader.readline()).strip():
                pass
            await reader.readexactly(len(platform.services["desk-0"].body))
            # About four fifths of the idle timeout.
            await asyncio.sleep(0.55)
        await asyncio.sleep(0.5)
        assert await asyncio.wait_for(reader.read(), 1.0) == b""


async def test_rest_of_a_refused_body_is_not_counted_as_a_head():
    async with deployment(services=1, limits=LIMITS) as platform:
        reader, writer = await connect(platform.gateways[0])
        writer.write(build_head("large", 300_000).encode() + b"x" * 70_000)
        assert await read_status(reader) == 413
        for _ in range(5):
            writer.write(b"x" * 10_000)
            await asyncio.sleep(0.02)
        rest = await asyncio.wait_for(reader.read(), 4.0)
        assert rest.count(b"HTTP/1.1") == 0
        assert not log_records(platform.gateways[0], "head_refused")


async def test_head_received_while_the_process_is_paused_is_not_slow():
    async with deployment(services=1, limits=LIMITS) as platform:
        reader, writer = await connect(platform.gateways[0])
        request_head = build_head("paused").encode()
        writer.write(request_head[:-4])
        await asyncio.sleep(0.1)
        writer.write(request_head[-4:])
        # Block the event loop until long after the timeout.
        time.sleep(0.5)
        assert await read_status(reader) == 200


# Guards against limits on bodies that stay those of the time a connection was opened.
async def test_limit_on_bodies_follows_the_configuration_on_open_connections():
    async with deployment(services=1, limits={**LIMITS}) as platform:
        process = platform.gateways[0]
        reader, writer = await connect(process)
        for number, (body_bytes, status) in enumerate(((100, 200), (90_000, 200))):
            body = b"x" * body_bytes
            writer.write(build_head(f"r{number}", len(body)).encode() + body)
            assert await read_status(reader) == status
            while (await reader.readline()).strip():
                pass
            await reader.readexactly(len(platform.services["desk-0"].body))
            catalogs = len(log_records(process, "catalog"))
            platform.limits["body_bytes"] = 100_000
            platform.publish_catalog()
            await wait_until(lambda: len(log_records(process, "catalog")) > catalogs)  # noqa: B023
        writer.close()
