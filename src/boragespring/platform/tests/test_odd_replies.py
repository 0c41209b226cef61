"""Replies of servers with values that cannot be used."""

import contextlib
import json
from types import SimpleNamespace

import pytest

from boragespring.fleet import ServerAddress
from boragespring.forwarding import CopyRefusedError, ReplyLostError
from boragespring.http.tests.raw_server import get_port, listening
from boragespring.platform import names
from boragespring.platform.server_calls import HttpServerCalls, ServerCallSettings
from boragespring.platform.statement_codec import decode_statement
from boragespring.platform.tests.test_unusable_addresses import make_server

ODD_NUMBERS = [
    *("1e400", "NaN", "-1", "9" * 400, "9" * 5000, '"many"', "[1]", '{"a": 1}', "true"),
]


@contextlib.asynccontextmanager
async def replying_server(status, body):
    """Yield calls, and a server that sends one reply to each."""

    async def reply(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    async with listening(reply) as listener:
        calls = HttpServerCalls(ServerCallSettings())
        try:
            yield calls, make_server("127.0.0.1", get_port(listener))
        finally:
            await calls.close()


# Guards against a report whose numbers end the loop that probes all servers.
@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda number: number[:8])
@pytest.mark.parametrize("field", ["running", "kv_cache_total"])
async def test_report_with_an_odd_number_counts_as_lost(field, number):
    body = f'{{"stage": "both", "{field}": {number}}}'.encode()
    async with replying_server(200, body) as (calls, server):
        with pytest.raises(ReplyLostError):
            await calls.fetch_report(server)


@pytest.mark.parametrize("number", ["1e400", "NaN", '"soon"', "[]", "9" * 5000])
async def test_report_with_an_odd_end_counts_as_lost(number):
    body = f'{{"running": 1, "leaves_ms": {number}}}'.encode()
    async with replying_server(200, body) as (calls, server):
        with pytest.raises(ReplyLostError):
            await calls.fetch_report(server)


# Guards against a copy that no header can name.
@pytest.mark.parametrize("handle", ["", "a\r\nX-More: 1", "\ud800", "h" * 5000, {}])
@pytest.mark.parametrize(
    ("status", "error"), [(200, ReplyLostError), (503, CopyRefusedError)]
)
async def test_copy_needs_a_usable_identifier(status, error, handle):
    body = json.dumps({"handle": handle}).encode()
    async with replying_server(status, body) as (calls, server):
        target = ServerAddress("127.0.0.1", 9)
        with pytest.raises(error) as raised:
            await calls.copy_run(server, "r1", target, True)
    assert not getattr(raised.value, "copy_id", "")


@pytest.mark.parametrize("text", ["1e400", "nan", "-1", "1e300", "9" * 5000, "soon"])
def test_statement_of_an_odd_cold_time_is_unreadable(text):
    response = SimpleNamespace(headers={names.COLD_REMAINING_MS: text}, status=200)
    statement = decode_statement(response, 0.0)
    assert statement.cold_for_s == 0.0
    assert statement.unreadable_cold_time == text[:40]
