"""Calls to addresses to which no connection can be opened are known not to have run."""

import asyncio
import time

import pytest
from aiohttp.resolver import ThreadedResolver

from boragespring.fleet import BackendServer, Registration, ServerAddress
from boragespring.forwarding import (
    Attempt,
    CrashDetector,
    CrashDetectorSettings,
    Reachability,
    ServerUnreachableError,
)
from boragespring.forwarding.messages import CallerRequest
from boragespring.forwarding.tests.test_crash_detection import make_job
from boragespring.platform.server_calls import HttpServerCalls, ServerCallSettings
from boragespring.platform.tests.support import recording_log
from boragespring.platform.tests.test_odd_registrations import ODD_ADDRESSES


def make_server(host, port):
    address = ServerAddress(host, port)
    return BackendServer(Registration("i-1", "desk", address, "zone-a", 4), 0.0)


def make_attempt():
    request = CallerRequest(
        "r1", "POST", "desk.example", "/book/x", (), b"x", "", 0.0, 0.0, None
    )
    return Attempt(request, "", time.monotonic() + 5.0)


@pytest.fixture
async def calls():
    opened = HttpServerCalls(ServerCallSettings())
    yield opened
    await opened.close()


# Guards against 502 and 500 for a request that was never sent.
@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda each: ascii(each)[:20])
async def test_call_to_an_unusable_address_is_known_not_to_have_run(calls, address):
    host, _, port = address.rpartition(":")
    server = make_server(host, int(port))
    with pytest.raises(ServerUnreachableError):
        await calls.send(server, make_attempt())
    with pytest.raises(ServerUnreachableError):
        await calls.fetch_report(server)
    assert await calls.try_connection(server) is Reachability.SILENT


async def test_slow_look_up_of_a_host_counts_as_time_of_the_connection(
    calls, monkeypatch
):
    async def resolve(*_args, **_kwargs):
        await asyncio.sleep(3.0)

    monkeypatch.setattr(ThreadedResolver, "resolve", resolve)
    began_s = time.monotonic()
    with pytest.raises(ServerUnreachableError):
        await calls.send(make_server("host.example", 9), make_attempt())
    assert time.monotonic() - began_s < 1.0


class FailingServers:
    async def try_connection(self, server):
        raise OverflowError("port must be 0-65535")


# Guards against a check that ends with an error that nobody handles.
async def test_crash_check_that_fails_is_logged():
    log, handler = recording_log()
    detector = CrashDetector(FailingServers(), CrashDetectorSettings(), log)
    server = make_server("127.0.0.1", 9)
    detector.run_sent(server, make_job(0, b""))
    detector.run_broke(server, "r0")
    assert not await detector.has_crashed(server)
    assert handler.records_of("crash_check_failed")
