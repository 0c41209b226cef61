"""Requests that crash each server that runs them, and come again."""

import asyncio
import time

import aiohttp
import pytest
from attrs import evolve

from boragespring.child_processes import free_ports
from boragespring.platform import names
from boragespring.platform.emulator import CrashPoint, EngineSpec, ServiceFault
from boragespring.platform.emulator.catalog import FURTHER_SERVICES
from boragespring.platform.tests.support import (
    deployment,
    log_records,
    request_headers,
    wait_until,
)
from boragespring.quarantine import CRASHES_KEY

BAD = b"bad"
#: Time after a fact by which all gateways in touch must act on it.
CONTACT_S = 3.0
CRASHES_TO_STOP_AFTER = 3
SENT_ON_MAX = 3
REPEAT_INTERVAL_S = 0.15

CALL = ("POST", "/book/x")
LOOKUP = ("GET", "/look/x")
STREAM = ("POST", "/draft/x")


def headers_for(path, request_id, key="key-1", output_tokens=20, parts="own:20"):
    if not path.startswith("/draft/"):
        return request_headers(request_id, key=key)
    return request_headers(
        request_id,
        key=key,
        remaining_ms=8_000,
        **{
            names.MODEL: "m",
            names.TOKEN_COUNTS: f"200,{output_tokens}",
            names.PROMPT_PARTS: parts,
        },
    )


async def send(session, process, request, request_id, body=BAD, **options):
    """Send a request; return its status, 0 if its reply was broken off, and headers."""
    method, path = request
    headers = headers_for(path, request_id, **options)
    try:
        async with session.request(
            method, process.url + path, headers=headers, data=body
        ) as response:
            await response.read()
            return response.status, response.headers
    except aiohttp.ClientError:
        return 0, {}


def other_body(request):
    return lambda number: (request, f"sound {number}".encode())


async def send_repeats(
    session, platform, request, duration_s, make_bad=None, make_sound=None
):
    """Send a request again and again, under new identifiers, to all gateways in turn.

    A sound request of the same route goes beside each.
    """
    make_bad = make_bad or (lambda number: (request, BAD))
    make_sound = make_sound or other_body(request)
    bad, sound = [], []
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        number = len(bad)
        process = platform.gateways[number % len(platform.gateways)]
        for kind, make, tasks in (("bad", make_bad, bad), ("sound", make_sound, sound)):
            line, body = make(number)
            sent = send(session, process, line, f"{kind}-{number}", body)
            tasks.append(asyncio.create_task(sent))
        await asyncio.sleep(REPEAT_INTERVAL_S)
    await asyncio.gather(*bad)
    return [status for status, _ in await asyncio.gather(*sound)]


def sent_on_count(platform, crashes=CRASHES_TO_STOP_AFTER):
    """Return how many requests were sent on later than allowed."""
    crash_times_s = sorted(platform.crash_times_s)
    if len(crash_times_s) < crashes:
        return 0
    bound_s = crash_times_s[crashes - 1] + CONTACT_S
    return sum(at_s > bound_s for at_s, _ in platform.crashing.arrivals_s)


@pytest.mark.parametrize(
    ("request_line", "point"),
    [
        pytest.param(CALL, CrashPoint(), id="call"),
        pytest.param(CALL, CrashPoint(has_head=True), id="call-mid-body"),
        pytest.param(LOOKUP, CrashPoint(0.04), id="lookup"),
        pytest.param(STREAM, CrashPoint(0.02), id="stream-no-head"),
        pytest.param(STREAM, CrashPoint(0.02, has_head=True, events=4), id="stream"),
        pytest.param(STREAM, CrashPoint(0.0, has_head=True, events=5), id="last-event"),
    ],
)
async def test_request_that_crashed_three_servers_is_sent_on_no_more(
    session, request_line, point
):
    async with deployment(engines=6, services=6, gateways=3) as platform:
        platform.crashing.points[BAD] = point
        statuses = await send_repeats(session, platform, request_line, CONTACT_S + 4.0)
        assert len(platform.crash_times_s) >= CRASHES_TO_STOP_AFTER
        assert sent_on_count(platform) <= SENT_ON_MAX
        # Whatever crashed had sound requests beside it, which may be lost.
        later = statuses[len(statuses) // 2 :]
        assert later.count(200) >= 0.9 * len(later)


def stop_look_up(number, method="GET"):
    return (method, f"/look/stop?id={number}"), b""


# Guards against a deadly request that sound ones clear which differ by method or query.
@pytest.mark.parametrize(
    ("make_bad", "make_sound"),
    [
        pytest.param(
            lambda _: stop_look_up(13),
            lambda number: stop_look_up(100 + number),
            id="query",
        ),
        pytest.param(
            lambda _: stop_look_up(13, "DELETE"),
            lambda _: stop_look_up(13),
            id="method",
        ),
    ],
)
async def test_request_told_by_its_line_alone_is_sent_on_no_more(
    session, make_bad, make_sound
):
    (method, target), _ = make_bad(0)
    async with deployment(services=6, gateways=3) as platform:
        platform.crashing.line_points[f"{method} {target}"] = CrashPoint(0.04)
        statuses = await send_repeats(
            session, platform, LOOKUP, CONTACT_S + 4.0, make_bad, make_sound
        )
        assert len(platform.crash_times_s) >= CRASHES_TO_STOP_AFTER
        assert sent_on_count(platform) <= SENT_ON_MAX
        later = statuses[len(statuses) // 2 :]
        assert later.count(200) >= 0.9 * len(later)


# Guards against a deadly request that is not known again by another query each time.
async def test_repeats_whose_query_differs_each_time_are_sent_on_no_more(session):
    lines = [stop_look_up(number)[0] for number in range(100)]
    async with deployment(services=6, gateways=3) as platform:
        platform.crashing.line_points = {
            f"{method} {target}": CrashPoint(0.04) for method, target in lines
        }
        await send_repeats(
            session, platform, LOOKUP, CONTACT_S + 4.0, make_bad=stop_look_up
        )
        assert len(platform.crash_times_s) >= CRASHES_TO_STOP_AFTER
        assert sent_on_count(platform) <= SENT_ON_MAX


async def test_crash_is_logged_with_the_requests_that_were_open(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        platform.crashing.points[BAD] = CrashPoint()
        await send(session, process, CALL, "r1")
        await wait_until(lambda: log_records(process, "server_crashed"))
        (record,) = log_records(process, "server_crashed")
        (run,) = record.open_runs
        assert run["request_id"] == "r1"
        assert run["request"]
        assert BAD.decode() not in str(record.open_runs)


async def crash_by_repeats(session, platform, request_line, count=3):
    """Send the request until it has crashed some servers, to all gateways in turn."""
    for number in range(count):
        process = platform.gateways[number % len(platform.gateways)]
        await send(session, process, request_line, f"bad-{number}")
        await asyncio.sleep(0.1)
    assert len(platform.crash_times_s) == count


@pytest.mark.parametrize("request_line", [CALL, STREAM])
async def test_servers_that_return_under_their_identity_are_not_crashed_on(
    session, request_line
):
    async with deployment(
        engines=2, services=2, gateways=2, keeps_identity=True
    ) as platform:
        platform.crashing.points[BAD] = CrashPoint(0.02)
        await send_repeats(session, platform, request_line, CONTACT_S + 4.0)
        assert len(platform.crash_times_s) >= CRASHES_TO_STOP_AFTER
        assert sent_on_count(platform) <= SENT_ON_MAX


async def test_three_crashes_at_once_at_three_gateways_are_joined(session):
    async with deployment(services=6, gateways=3) as platform:
        platform.crashing.points[BAD] = CrashPoint(0.1)
        await asyncio.gather(
            *(
                send(session, process, CALL, f"bad-{number}")
                for number, process in enumerate(platform.gateways)
            )
        )
        await asyncio.sleep(0.5)
        crashes = len(platform.crash_times_s)
        for number, process in enumerate(platform.gateways):
            await send(session, process, CALL, f"more-{number}")
        # Gateways may have chosen the same server.
        assert len(platform.crash_times_s) == max(crashes, CRASHES_TO_STOP_AFTER)


async def test_refusal_is_true_and_names_request_and_crashes(session):
    async with deployment(services=6) as platform:
        platform.crashing.points[BAD] = CrashPoint(0.02)
        process = platform.gateways[0]
        await crash_by_repeats(session, platform, CALL)
        status, headers = await send(session, process, CALL, "r1")
        # This status states that the request has not run.
        assert status == 503
        assert 1.0 <= float(headers[names.RETRY_AFTER]) <= 60.0
        (record,) = log_records(process, "quarantine_refused")
        assert record.request_id == "r1"
        assert len(record.crashes) == 3
        (crash, *_) = log_records(process, "server_crashed")
        assert [crash.open_runs[0]["request"]] == record.traits


async def test_only_the_same_path_caller_and_body_are_refused(session):
    keys = {"coop": ["key-1", "key-2"], "other": ["key-3"]}
    async with deployment(services=6, keys=keys) as platform:
        process = platform.gateways[0]
        platform.crashing.points[BAD] = CrashPoint(0.02)
        await crash_by_repeats(session, platform, CALL)
        platform.crashing.points.clear()

        async def status_of(request_id, path="/book/x", body=BAD, key="key-1"):
            request_line = ("POST", path)
            status, _ = await send(
                session, process, request_line, request_id, body, key=key
            )
            return status

        assert await status_of("same") == 503
        assert await status_of("query", "/book/x?page=2") == 503
        assert await status_of("second key", key="key-2") == 503
        assert await status_of("path", "/book/y") == 200
        assert await status_of("body", body=b"BAD") == 200
        assert await status_of("caller", key="key-3") == 200


async def test_request_is_refused_after_its_route_moved_to_another_service(session):
    async with deployment(services=6, gateways=3) as platform:
        second = FURTHER_SERVICES[0]
        for number in range(6):
            await platform.add_service(f"{second}-{number}", service=second)
        platform.crashing.points[BAD] = CrashPoint(0.3)
        await crash_by_repeats(session, platform, CALL)
        await asyncio.sleep(CONTACT_S)
        platform.routes = [evolve(route, service=second) for route in platform.routes]
        platform.publish_catalog()
        await asyncio.sleep(0.5)
        statuses = await send_repeats(session, platform, CALL, 3.0)
        assert sent_on_count(platform) <= SENT_ON_MAX
        assert statuses.count(200) >= 0.9 * len(statuses)


async def test_no_gateway_sends_sound_requests_to_a_server_that_crashed(session):
    async with deployment(services=6, gateways=3, restart_delay_s=9.0) as platform:
        platform.crashing.points[BAD] = CrashPoint()
        await crash_by_repeats(session, platform, CALL, count=2)
        crashed = {name for name, each in platform.services.items() if each.has_crashed}
        statuses = await asyncio.gather(
            *(
                send(session, process, CALL, f"{index}-{number}", b"%d" % number)
                for number in range(8)
                for index, process in enumerate(platform.gateways)
            )
        )
        assert {status for status, _ in statuses} == {200}
        for process in platform.gateways:
            assert not [
                record
                for record in log_records(process, "try_again")
                if record.server in crashed and not record.request_id.startswith("bad")
            ]


@pytest.mark.parametrize(
    "fault", [ServiceFault.RESET, ServiceFault.HANG, ServiceFault.TRUNCATED]
)
async def test_requests_that_end_without_a_crash_are_not_blamed(session, fault):
    async with deployment(services=3) as platform:
        process = platform.gateways[0]
        for service in platform.services.values():
            service.default_fault = fault
        for number in range(4):
            await send(session, process, CALL, f"r{number}")
        for service in platform.services.values():
            service.default_fault = ServiceFault.NONE
        assert (await send(session, process, CALL, "r9"))[0] == 200
        assert not log_records(process, "server_crashed")


async def test_request_that_many_send_is_served_after_servers_end_together(session):
    async with deployment(services=6, gateways=2) as platform:
        for service in platform.services.values():
            service.execution_s = 0.15
        tasks = []
        for number in range(40):
            process = platform.gateways[number % 2]
            tasks.append(
                asyncio.create_task(send(session, process, LOOKUP, f"r{number}"))
            )
            await asyncio.sleep(0.02)
            if number == 30:
                for name in ("desk-0", "desk-1", "desk-2"):
                    await platform.services[name].crash()
        await asyncio.gather(*tasks)
        for process in platform.gateways:
            assert (await send(session, process, LOOKUP, "later"))[0] == 200
            assert not log_records(process, "quarantine_refused")


async def test_quarantine_of_a_request_outlasts_a_restart_of_all_gateways(session):
    async with deployment(services=6, gateways=2) as platform:
        platform.crashing.points[BAD] = CrashPoint(0.02)
        await crash_by_repeats(session, platform, CALL)
        await wait_until(lambda: platform.store.keyspace.get(CRASHES_KEY).item)
        for process in platform.gateways:
            await process.gateway.stop()
        platform.gateways.clear()
        restarted = await platform.add_gateway("gateway-0", free_ports(4))
        await wait_until(lambda: not restarted.gateway.why_not_ready())
        status, _ = await send(session, restarted, CALL, "r1")
        assert status == 503
        assert len(platform.crash_times_s) == 3


async def test_call_that_waits_at_a_server_is_withdrawn_before_it_crashes_it(session):
    async with deployment(services=8, gateways=2) as platform:
        platform.crashing.points[BAD] = CrashPoint(0.6)
        waiting = [
            asyncio.create_task(send(session, process, CALL, f"w{number}"))
            for number, process in enumerate(platform.gateways)
        ]
        await wait_until(lambda: len(platform.crashing.arrivals_s) == 2)
        platform.crashing.points[BAD] = CrashPoint(0.02)
        await crash_by_repeats(session, platform, CALL)
        assert {status for status, _ in await asyncio.gather(*waiting)} == {502}


# Guards against hazardous calls that go on, as another one was being withdrawn already
# when a second verdict came, and that was an error.
@pytest.mark.parametrize("request_line", [CALL, STREAM])
async def test_call_that_is_being_withdrawn_may_be_withdrawn_again(
    session, request_line
):
    spec = EngineSpec(prefill_tokens_per_s=10.0)
    async with deployment(engines=1, services=1, engine_spec=spec) as platform:
        platform.services["desk-0"].default_fault = ServiceFault.HANG
        process = platform.gateways[0]
        call = asyncio.create_task(send(session, process, request_line, "r1"))
        [server] = (
            platform.services if request_line is CALL else platform.engines
        ).values()
        await wait_until(lambda: server.works)
        detector = process.gateway.callers._forwarder.context.crash_detector
        for _ in range(3):
            detector.cancel_waiting(lambda job: True)
            await asyncio.sleep(0)
        assert (await call)[0] == 502
