"""What callers get for errors is the gateway's own reply, no page of a library."""

import asyncio

import pytest
from yarl import URL

from boragespring.forwarding import Forwarder
from boragespring.platform.caller_reply import HttpCallerReply
from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    log_records,
    request_headers,
)

MALFORMED_HEADS = {
    "no method": b"SECRET\r\n\r\n",
    "no host": b"GET /look/x HTTP/1.1\r\n\r\n",
    "name": b"GET /look/x HTTP/1.1\r\nHost: desk.example\r\nSECRET Y: 1\r\n\r\n",
    "length": b"GET /look/x HTTP/1.1\r\nHost: a\r\nContent-Length: SECRET\r\n\r\n",
    "target": b"GET http://[SECRET/ HTTP/1.1\r\nHost: desk.example\r\n\r\n",
    "other protocol": b"\x16\x03\x01\x00\x05SECRET\r\n\r\n",
}


async def exchange(gateway, data):
    url = URL(gateway.url)
    reader, writer = await asyncio.open_connection(url.host, url.port)
    writer.write(data)
    async with asyncio.timeout(2.0):
        received = await reader.read()
    writer.close()
    return received


# Guards against the library's page, which quotes what a caller has sent, and against a
# traceback in the log for each.
@pytest.mark.parametrize("head", MALFORMED_HEADS)
async def test_malformed_request_gets_a_reply_without_a_page(head, caplog):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        received = await exchange(process, MALFORMED_HEADS[head])
        refused = log_records(process, "head_refused")
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 400 Bad Request\r\n")
    assert not body
    assert b"SECRET" not in received
    assert [record.status for record in refused] == [400]
    assert not caplog.records


# Guards against the library's page for an error that nobody has expected.
@pytest.mark.parametrize(
    ("cls", "name", "status", "runs"),
    [(Forwarder, "serve", 503, 0), (HttpCallerReply, "send_buffered", 502, 1)],
)
async def test_unexpected_error_gets_a_reply_that_says_whether_it_ran(
    session, monkeypatch, cls, name, status, runs
):
    async def fail(*_):
        raise ValueError("unexpected")

    monkeypatch.setattr(cls, name, fail)
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        url = process.url + "/book/x"
        async with session.post(url, headers=request_headers("r1")) as response:
            assert (response.status, await response.text()) == (status, "failed\n")
        assert len(platform.services["desk-0"].runs) == runs
        monkeypatch.undo()
        assert await fetch_status(session, process, request_id="r2") == 200


# Guards against a page behind the beginning of a reply.
async def test_error_within_a_reply_closes_the_connection(session, monkeypatch):
    async def fail(*_):
        raise ValueError("unexpected")

    monkeypatch.setattr(HttpCallerReply, "write", fail)
    async with deployment(engines=1) as platform:
        received = await exchange(platform.gateways[0], STREAM_REQUEST)
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")
    assert received.endswith(b"\r\n\r\n")


STREAM_REQUEST = (
    b"POST /draft/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n"
    b"Boragespring-Attempt-Id: r1\r\nBoragespring-Credential: key-1\r\n"
    b"Boragespring-Model: m\r\nBoragespring-Token-Counts: 20,40\r\n"
    b"Boragespring-Prompt-Prefix: aa:20\r\n\r\n"
)
