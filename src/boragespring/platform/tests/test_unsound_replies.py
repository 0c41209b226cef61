"""Replies about whose heads anything is in doubt count as none, whoever reads them."""

import asyncio
import time

import pytest

from boragespring.forwarding import Attempt, CallerRequest, ReplyLostError
from boragespring.http.tests.raw_server import get_port, listening, raw_server
from boragespring.http.tests.reply_heads import SOUND_HEADS, UNSOUND_HEADS
from boragespring.platform import names
from boragespring.platform.emulator.catalog import MODEL_SERVICE, PLAIN_SERVICE
from boragespring.platform.server_calls import HttpServerCalls, ServerCallSettings
from boragespring.platform.store_client import PlatformStore, PlatformStoreSettings
from boragespring.platform.tests.raw_replies import replies_with
from boragespring.platform.tests.stream_support import post_draft
from boragespring.platform.tests.support import (
    deployment,
    log_records,
    request_headers,
    wait_until,
)
from boragespring.platform.tests.test_unusable_addresses import make_server
from boragespring.store import StoreError
from boragespring.store.store import ConditionalWrite, WriteOutcomeUnknownError

#: Heads of which callers were sent a part, or got the library's error page, and others.
HEADS = {
    "status 000": "HTTP/1.1 000 Reason\r\n{fields}Content-Length: 2\r\n\r\n",
    "status 101": "HTTP/1.1 101 Switching Protocols\r\n{fields}\r\n",
    "status 600": "HTTP/1.1 600 Reason\r\n{fields}Content-Length: 2\r\n\r\n",
    "blank in a name": "HTTP/1.1 200 OK\r\n{fields}X Y: 1\r\nContent-Length: 2\r\n\r\n",
    "blank behind a name": "HTTP/1.1 200 OK\r\n{fields}Content-Length : 2\r\n\r\n",
    "control byte in a name": (
        "HTTP/1.1 200 OK\r\n{fields}X\x01Y: 1\r\nContent-Length: 2\r\n\r\n"
    ),
    "control byte in a value": (
        "HTTP/1.1 200 OK\r\n{fields}X-Y: \x01\r\nContent-Length: 2\r\n\r\n"
    ),
    "two lengths": (
        "HTTP/1.1 200 OK\r\n{fields}Content-Length: 2\r\nContent-Length: 2\r\n\r\n"
    ),
    "folded line": (
        "HTTP/1.1 200 OK\r\n{fields}X-Y: 1\r\n 2\r\nContent-Length: 2\r\n\r\n"
    ),
}
REPORT = b'{"running": 0, "waiting": 0, "kv_cache_used": 0, "kv_cache_total": 34272}'
ITEM = b'{"key": "key", "value": "", "revision": 1, "created": 1, "current_rev": 1}'
EVENT = b"id: 1\ndata: {}\n\n"


def make_attempt():
    now_s = time.monotonic()
    headers = ((names.REQUEST_ID, "r1"),)
    request = CallerRequest(
        "r1", "POST", "desk.example", "/book/x", headers, b"", "", now_s, now_s + 5.0
    )
    return Attempt(request, "fiwu600", now_s + 5.0)


async def call_server(port):
    calls = HttpServerCalls(ServerCallSettings())
    try:
        reply = await calls.send(make_server("127.0.0.1", port), make_attempt())
        reply.close()
        return reply.head
    finally:
        await calls.close()


async def fetch_report(port):
    calls = HttpServerCalls(ServerCallSettings())
    try:
        return await calls.fetch_report(make_server("127.0.0.1", port))
    finally:
        await calls.close()


async def read_store(port):
    store = PlatformStore(PlatformStoreSettings(f"http://127.0.0.1:{port}"))
    try:
        return await store.get("key")
    finally:
        await store.close()


#: Readers of answers, a body that each can read, and the errors for unusable answers.
READERS = {
    "call": (call_server, b"no", ReplyLostError),
    "report": (fetch_report, REPORT, ReplyLostError),
    "store": (read_store, ITEM, StoreError),
}


# Guards against a head in doubt that is read as an answer.
@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("head", UNSOUND_HEADS)
async def test_head_in_doubt_is_no_answer(reader, head):
    read, body, error = READERS[reader]
    async with raw_server(replies_with(head, body)) as port, asyncio.timeout(5.0):
        with pytest.raises(error):
            await read(port)


@pytest.mark.parametrize("reader", READERS)
async def test_answer_with_a_sound_head_is_read(reader):
    read, body, _ = READERS[reader]
    async with raw_server(replies_with(SOUND_HEADS[0], body)) as port:
        assert await read(port)


@pytest.mark.parametrize("head", SOUND_HEADS)
async def test_sound_head_is_an_answer(head):
    async with raw_server(replies_with(head, b"no")) as port, asyncio.timeout(5.0):
        found = await call_server(port)
    assert (found.status, found.request_id, found.is_signed) == (200, "r1", True)


# Guards against a write that counts as done, or as not done, by such a head.
async def test_write_with_a_head_in_doubt_has_an_unknown_outcome():
    reply = replies_with(HEADS["status 000"], b"{}")
    async with raw_server(reply) as port:
        store = PlatformStore(PlatformStoreSettings(f"http://127.0.0.1:{port}"))
        try:
            with pytest.raises(WriteOutcomeUnknownError):
                await store.write(ConditionalWrite("key", b"value", 0))
        finally:
            await store.close()


async def register_and_wait(platform, name, service, port):
    platform.register(name, service, port, 6)
    process = platform.gateways[0]
    await wait_until(
        lambda: any(
            record.server == name for record in log_records(process, "server_joined")
        )
    )


async def check_refused(response):
    body = await response.read()
    assert (response.status, names.SIGNATURE in response.headers) == (502, False)
    assert not {"X Y", "X\x01Y", "X-Y"} & response.headers.keys()
    # No page of the HTTP library.
    assert body == b"reply_lost\n"


# Guards against a caller that gets such a head, or the library's error page for it.
@pytest.mark.parametrize("path", ["/book/x", "/look/x"])
@pytest.mark.parametrize("head", HEADS)
async def test_caller_of_a_service_gets_no_reply_in_doubt(session, head, path):
    async with (
        raw_server(replies_with(HEADS[head], b"no")) as port,
        deployment(services=0) as platform,
    ):
        await register_and_wait(platform, "desk-9", PLAIN_SERVICE, port)
        url = platform.gateways[0].url + path
        async with session.post(url, headers=request_headers("r1")) as response:
            await check_refused(response)
        lines = log_records(platform.gateways[0], "try_again")
        assert any("UnsoundReplyError" in line.outcome for line in lines)


def with_report(reply):
    """Return a function that sends sound load reports, and else what `reply` does."""
    report = replies_with(SOUND_HEADS[0], REPORT)
    return lambda method, target, headers: (report if target == "/report" else reply)(
        method, target, headers
    )


@pytest.mark.parametrize("head", HEADS)
async def test_caller_of_a_stream_gets_no_reply_in_doubt(session, head):
    reply = with_report(replies_with(HEADS[head], EVENT))
    async with raw_server(reply) as port, deployment(engines=0) as platform:
        await register_and_wait(platform, "engine-9", MODEL_SERVICE, port)
        async with post_draft(session, platform.gateways[0], "r1") as response:
            await check_refused(response)
        (line,) = log_records(platform.gateways[0], "stream_not_begun")
        assert (line.request_id, line.server) == ("r1", "engine-9")
        assert "UnsoundReplyError" in line.reason


# Guards against a reply that is lost as its server sent other bytes behind it.
@pytest.mark.parametrize("behind", [b"\x00\x01 no reply\r\n\r\n", b"x" * 100_000])
async def test_caller_gets_a_reply_whatever_comes_behind_it(session, behind):
    whole = replies_with(SOUND_HEADS[0], b"no")
    async with (
        raw_server(lambda *request: whole(*request) + behind) as port,
        deployment(services=0) as platform,
    ):
        await register_and_wait(platform, "desk-9", PLAIN_SERVICE, port)
        url = platform.gateways[0].url + "/book/x"
        async with session.post(url, headers=request_headers("r1")) as response:
            assert (response.status, await response.read()) == (200, b"no")


# Guards against a late reply of the store that the next call on its connection gets.
async def test_late_reply_of_the_store_answers_no_call():
    late_item = ITEM.replace(b'"value": ""', b'"value": "bGF0ZQ=="')

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(replies_with(SOUND_HEADS[0], ITEM)("GET", "/", {}))
        await asyncio.sleep(0.05)
        writer.write(replies_with(SOUND_HEADS[0], late_item)("GET", "/", {}))
        await reader.read()
        writer.close()

    async with listening(serve) as listener:
        url = f"http://127.0.0.1:{get_port(listener)}"
        store = PlatformStore(PlatformStoreSettings(url))
        try:
            await store.get("key")
            await asyncio.sleep(0.2)
            found = await store.get("key")
            assert found.item.value == b""
        finally:
            await store.close()
