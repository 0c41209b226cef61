"""Servers that name the rate of requests that they take."""

import asyncio
import time

import pytest

from boragespring.platform.emulator import ServiceFault
from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    log_records,
    prompt_headers,
    request_headers,
)


@pytest.mark.parametrize("text", ["nonsense", "-1", "inf", "nan"])
async def test_rate_that_is_no_usable_number_is_logged_and_ignored(session, text):
    async with deployment(services=1) as platform:
        platform.services["desk-0"].rate_limit = text
        for number in range(3):
            process = platform.gateways[0]
            assert await fetch_status(session, process, request_id=f"r{number}") == 200
        (record, *_) = log_records(process, "rate_limit_unreadable")
        assert record.value == text
        assert not log_records(process, "rate_limit")


async def test_rate_is_logged_when_it_is_named_and_when_it_ends(session):
    async with deployment(services=1) as platform:
        process, service = platform.gateways[0], platform.services["desk-0"]
        service.rate_limit = "1000"
        await fetch_status(session, process, request_id="r1")
        service.rate_limit = ""
        await asyncio.sleep(0.05)
        await fetch_status(session, process, request_id="r2")
        rates = [record.rate_per_s for record in log_records(process, "rate_limit")]
        assert rates == [1000.0, None]


#: Time after a server named a rate by which all gateways in touch must keep it.
CONTACT_S = 3.0
WINDOW_S = 4.0


def allowed(rate_per_s):
    """Return how many requests a server may get in a window."""
    return 1.5 * rate_per_s * WINDOW_S + 5


def most_in_a_window(times_s, after_s):
    """Return the largest number of requests in a window after a time."""
    times_s = sorted(at_s for at_s in times_s if at_s >= after_s)
    return max(
        (
            sum(begin <= at_s < begin + WINDOW_S for at_s in times_s)
            for begin in times_s
        ),
        default=0,
    )


async def send_calls(session, platform, duration_s, interval_s=0.03, path="/look/x"):
    """Send calls to all gateways in turn; return their statuses."""
    tasks = []
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        process = platform.gateways[len(tasks) % len(platform.gateways)]
        call = fetch_status(session, process, path, request_id=f"c{len(tasks)}")
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("gateways", [1, 4])
async def test_server_gets_no_more_than_the_rate_that_it_names(session, gateways):
    async with deployment(services=3, gateways=gateways) as platform:
        limited = platform.services["desk-0"]
        limited.rate_limit = "2.0"
        began_s = time.monotonic()
        statuses = await send_calls(session, platform, CONTACT_S + WINDOW_S + 1.0)
        most = most_in_a_window(limited.received_at_s, began_s + CONTACT_S)
        assert most <= allowed(2.0)
        assert set(statuses) == {200}


async def test_requests_that_no_server_takes_are_refused_at_once(session):
    async with deployment(services=2) as platform:
        process = platform.gateways[0]
        for service in platform.services.values():
            service.rate_limit = "1"
        await send_calls(session, platform, 0.5)

        async def call(number):
            began_s = time.monotonic()
            headers = request_headers(f"all-{number}")
            async with session.post(process.url + "/look/x", headers=headers) as reply:
                retry_after_s = float(reply.headers.get("Retry-After", 0.0))
                return reply.status, retry_after_s, time.monotonic() - began_s

        results = await asyncio.gather(*(call(number) for number in range(12)))
        refused = [result for result in results if result[0] == 503]
        assert {status for status, _, _ in results} <= {200, 503}
        assert len(refused) >= 8
        assert all(held_s < 0.2 for _, _, held_s in refused)
        # The next permit of either server is due within their common interval.
        assert all(0.0 < retry_after_s < 2.6 for _, retry_after_s, _ in refused)
        assert log_records(process, "all_servers_rate_limited")


async def test_server_that_names_no_rate_any_longer_gets_its_share_again(session):
    async with deployment(services=2, gateways=2) as platform:
        limited = platform.services["desk-0"]
        limited.rate_limit = "2"
        await send_calls(session, platform, 1.5)
        limited.rate_limit = ""
        await send_calls(session, platform, 1.5)
        received = len(limited.received)
        await send_calls(session, platform, 1.0)
        assert len(limited.received) - received > 8


@pytest.mark.parametrize("fault", [ServiceFault.SHED, ServiceFault.ERROR])
async def test_rate_in_refusals_and_failures_is_kept(session, fault):
    async with deployment(services=2, gateways=2) as platform:
        limited = platform.services["desk-0"]
        limited.rate_limit, limited.default_fault = "1.5", fault
        began_s = time.monotonic()
        statuses = await send_calls(session, platform, CONTACT_S + WINDOW_S)
        most = most_in_a_window(limited.received_at_s, began_s + CONTACT_S)
        assert most <= allowed(1.5)
        assert set(statuses) == {200}


async def test_rate_in_the_heads_of_streams_is_kept(session):
    async with deployment(engines=2, gateways=2) as platform:
        limited = platform.engines["engine-0"]
        limited.rate_limit = "0.5"

        async def stream(number):
            headers = request_headers(f"s{number}", **prompt_headers(100, 40))
            url = platform.gateways[number % 2].url + "/draft/x"
            async with session.post(url, headers=headers, data=b"p") as reply:
                await reply.read()
                return reply.status

        tasks = []
        began_s = time.monotonic()
        for number in range(80):
            tasks.append(asyncio.create_task(stream(number)))
            await asyncio.sleep(0.1)
        statuses = await asyncio.gather(*tasks)
        most = most_in_a_window(limited.received_at_s, began_s + CONTACT_S)
        assert most <= allowed(0.5)
        assert set(statuses) == {200}
