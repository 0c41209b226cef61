"""Requests with buffered replies: what servers and callers receive."""

import asyncio
import time

import pytest
from yarl import URL

from boragespring.http.caller_connection import CallerConnection
from boragespring.platform.emulator import CrashPoint, ServiceFault
from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    log_records,
    request_headers,
    wait_until,
)

#: More than it takes to suspect a server.
CONSECUTIVE_FAILURES = 8
NOT_RUN_FAULTS = {ServiceFault.SHED, ServiceFault.OTHER_SERVER}


async def test_request_is_forwarded_without_reserved_headers(session):
    async with deployment(services=1) as platform:
        forged_headers = {
            "Boragespring-Tenant": "rival",
            "Boragespring-Hold": "1",
            "Boragespring-Pin-Duration": "9",
            "Boragespring-Kv-Cache-Backup": "1.2.3.4:5",
            "Kv-From": "1.2.3.4:5/x",
            "Kv-Fetch": "1.2.3.4:5",
            "Boragespring-Request-Urgency": "0",
            "Connection": "X-Hop",
            "X-Hop": "1",
            "X-Kept": "yes",
        }
        url = platform.gateways[0].url + "/book/a%20b?q=%2F"
        async with session.post(
            URL(url, encoded=True),
            headers=request_headers("r1", **forged_headers),
            data=b"body",
        ) as response:
            assert response.status == 200
            assert await response.read() == b"answer of desk-0"
            assert response.headers["Boragespring-Response-Signature"] == "signed"
        (seen,) = platform.services["desk-0"].received
        assert (seen.method, seen.target, seen.body) == (
            "POST",
            "/book/a%20b?q=%2F",
            b"body",
        )
        assert seen.headers["boragespring-tenant"] == "coop"
        assert seen.headers["boragespring-expected-instance"] == "desk-0"
        assert 0 < int(seen.headers["boragespring-time-remaining"]) <= 800
        assert seen.headers["x-kept"] == "yes"
        stripped = {name.lower() for name in forged_headers} - {
            "boragespring-tenant",
            "x-kept",
            "connection",
        }
        assert not stripped & seen.headers.keys()
        assert "boragespring-credential" not in seen.headers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/none/", "key-1", 404),
        ("/book", "key-1", 404),
        ("/book/x", "key-9", 401),
        ("/book/x", "", 401),
        ("/book/x", "key-1", 200),
    ],
)
async def test_route_and_key_determine_the_status(session, path, key, status):
    async with deployment(services=1) as platform:
        url = platform.gateways[0].url + path
        async with session.post(
            url, headers=request_headers("r1", key=key)
        ) as response:
            assert response.status == status
        assert len(platform.services["desk-0"].runs) == (status == 200)


@pytest.mark.parametrize("fault", ServiceFault)
async def test_non_idempotent_request_runs_at_most_once(session, fault):
    async with deployment(services=3) as platform:
        first = dict(platform.services)
        for service in first.values():
            service.faults.append(fault)
        url = platform.gateways[0].url + "/book/x"
        async with session.post(url, headers=request_headers("r1")) as response:
            body = await response.read()
            status = response.status
        runs = [run for service in first.values() for run in service.runs]
        assert len(runs) <= 1
        if fault in NOT_RUN_FAULTS:
            assert not runs
            assert status == 503
            assert float(response.headers["Retry-After"]) > 0
        elif fault in (ServiceFault.NONE, ServiceFault.EXTRA, ServiceFault.UNFRAMED):
            assert (status, body[:9]) == (200, b"answer of")
        elif fault is ServiceFault.ERROR:
            assert status == 500
            assert "Boragespring-Response-Signature" in response.headers
        else:
            # The request may have run, so the reply must not claim that it has not.
            assert status in (502, 504)
            assert "Boragespring-Response-Signature" not in response.headers


@pytest.mark.parametrize("fault", ServiceFault)
async def test_idempotent_request_is_retried(session, fault):
    async with deployment(services=2) as platform:
        platform.services["desk-0"].default_fault = fault
        url = platform.gateways[0].url + "/look/x"
        for number in range(4):
            async with session.get(
                url, headers=request_headers(f"r{number}")
            ) as response:
                assert response.status == 200
                assert (await response.read())[:9] == b"answer of"


# Guards against a reply that is cut by the end of its server, and passed as complete.
@pytest.mark.parametrize(("path", "status"), [("/book/x", 502), ("/look/x", 200)])
async def test_unframed_reply_of_a_crashed_server_is_not_passed_as_complete(
    session, path, status
):
    async with deployment(services=2) as platform:
        crashing = platform.crashing
        crashing.points[b"bad"] = CrashPoint(0.05, has_head=True, is_unframed=True)
        crashed = []
        # The first server crashes alone, and for good.
        crashing.on_crash = lambda server: crashed.append(crashing.points.clear())
        url = platform.gateways[0].url + path
        async with session.post(
            url, headers=request_headers("r1"), data=b"bad"
        ) as response:
            body = await response.read()
            assert response.status == status
        assert crashed
        signed = "Boragespring-Response-Signature" in response.headers
        assert signed == (status == 200)
        assert status != 200 or body in (b"answer of desk-0", b"answer of desk-1")


# Guards against a new process that accepts connections under the address of the crashed
# server, before the store knows: it is taken for the one that replied.
async def test_unframed_reply_of_a_server_replaced_at_once_is_not_passed(session):
    async with deployment(services=1) as platform:
        crashing = platform.crashing
        crashing.points[b"bad"] = CrashPoint(0.2, has_head=True, is_unframed=True)
        restarts = []
        crashing.on_crash = lambda server: restarts.append(
            asyncio.create_task(server.start())
        )
        url = platform.gateways[0].url + "/book/x"
        async with session.post(
            url, headers=request_headers("r1"), data=b"bad"
        ) as response:
            assert response.status == 502
        (restart,) = restarts
        await restart
        (record,) = log_records(platform.gateways[0], "try_again")
        assert record.outcome.endswith("the server closed its connections together")


async def test_request_is_refused_at_once_without_servers(session):
    async with deployment(services=0) as platform:
        url = platform.gateways[0].url + "/book/x"
        started_at_s = time.monotonic()
        async with session.post(url, headers=request_headers("r1")) as response:
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0
        assert time.monotonic() - started_at_s < 0.3


async def test_route_timeout_is_reported_and_cancels_the_work(session):
    async with deployment(services=1) as platform:
        service = platform.services["desk-0"]
        service.execution_s = 30.0
        url = platform.gateways[0].url + "/book/x"
        started_at_s = time.monotonic()
        async with session.post(url, headers=request_headers("r1")) as response:
            assert response.status == 504
        assert 0.75 < time.monotonic() - started_at_s < 1.1
        await wait_until(lambda: service.cancelled == ["r1"])


async def test_work_is_cancelled_when_the_caller_disconnects(session):
    async with deployment(services=1) as platform:
        service = platform.services["desk-0"]
        service.execution_s = 30.0
        url = platform.gateways[0].url + "/look/x"
        task = asyncio.create_task(session.get(url, headers=request_headers("r1")))
        await wait_until(lambda: service.runs)
        task.cancel()
        await wait_until(lambda: service.cancelled, timeout_s=0.5)


async def test_leaving_server_receives_no_new_requests(session):
    async with deployment(services=2) as platform:
        process = platform.gateways[0]
        platform.register(
            "desk-0", "desk", platform.services["desk-0"].port, 6, state="draining"
        )
        await wait_until(lambda: log_records(process, "server_leaving"))
        for number in range(6):
            url = process.url + "/book/x"
            async with session.post(
                url, headers=request_headers(f"r{number}")
            ) as response:
                assert response.status == 200
        assert not platform.services["desk-0"].runs


async def test_address_reused_by_another_service_is_skipped(session):
    async with deployment(services=2) as platform:
        # The server at the reused address rejects the request as misdirected; the
        # gateway then sends it to the next server.
        platform.services["desk-0"].default_fault = ServiceFault.OTHER_SERVER
        for number in range(4):
            url = platform.gateways[0].url + "/book/x"
            async with session.post(
                url, headers=request_headers(f"r{number}")
            ) as response:
                assert response.status == 200
        assert not platform.services["desk-0"].runs


# Guards against a refusal that a server repeats for another request: the request that
# gets it has run, and is neither called not run nor sent again.
async def test_refusal_of_another_request_is_not_believed(session):
    async with deployment(services=2) as platform:
        for service in platform.services.values():
            service.default_fault = ServiceFault.OTHER_REFUSAL
        url = platform.gateways[0].url + "/book/x"
        async with session.post(url, headers=request_headers("r1")) as response:
            assert response.status == 502
        runs = [service.runs for service in platform.services.values()]
        assert sum(runs, []) == ["r1"]


# Guards against sound servers that are suspected as callers hold too much memory.
async def test_reply_that_finds_no_memory_does_not_count_against_its_server(
    session, monkeypatch
):
    monkeypatch.setattr(CallerConnection, "hold_reply", lambda *_: False)
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        for _ in range(CONSECUTIVE_FAILURES):
            assert await fetch_status(session, process) == 502
        monkeypatch.undo()
        assert await fetch_status(session, process) == 200
        assert not log_records(process, "server_suspected")
        assert len(platform.services["desk-0"].runs) == CONSECUTIVE_FAILURES + 1
