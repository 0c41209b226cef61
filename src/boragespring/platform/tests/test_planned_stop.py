"""Requests at a gateway that is being stopped."""

import asyncio
import time

import aiohttp
import pytest
from attrs import evolve

from boragespring.child_processes import free_ports
from boragespring.drain_end import DrainEnd
from boragespring.forwarding import RefusalReason
from boragespring.platform.emulator import EngineSpec, ServiceFault
from boragespring.platform.emulator.catalog import STANDARD_ROUTES
from boragespring.platform.tests.stream_support import post_draft
from boragespring.platform.tests.support import (
    deployment,
    log_records,
    prompt_headers,
    recording_log,
    request_headers,
    wait_until,
)
from boragespring.settings.gateway import GatewayBounds

GRACE_S = 1.8
SLOW_ROUTES = tuple(evolve(route, timeout_ms=5000) for route in STANDARD_ROUTES)


async def add_stopping_gateway(platform):
    """Start a gateway with a short grace period that knows all servers."""
    log, handler = recording_log()
    process = await platform.add_gateway(
        "stopping", free_ports(4), log, bounds=GatewayBounds(stop_grace_s=GRACE_S)
    )
    process.metadata["lines"] = handler
    servers = {*platform.engines, *platform.services}
    await wait_until(
        lambda: (
            servers
            <= {record.server for record in log_records(process, "server_joined")}
        )
    )
    await wait_until(lambda: log_records(process, "peer_up"))
    return process


async def stop(platform, process):
    """Stop a gateway whose requests do not end within the grace period."""
    platform.gateways.remove(process)
    with pytest.raises(TimeoutError):
        await process.gateway.drain()
    process.gateway.record_drain_end(DrainEnd.STOP_TIMEOUT)
    await process.gateway.stop()


def final_lines(process):
    return [*log_records(process, "answered"), *log_records(process, "refused")]


async def begin_call(process, request_id, body_bytes):
    """Send the head of a call and one byte of its body; return its connection."""
    callers = process.settings.callers
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    fields = {**request_headers(request_id), "Content-Length": str(body_bytes)}
    lines = ["POST /book/x HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields)]
    writer.write("\r\n".join([*lines, "", "x"]).encode())
    return reader, writer


# Guards against streams that are cut without an answer at the end of a planned stop:
# a short stream at a server with a long queue was taken, as it usually ends in time.
async def test_late_stream_at_a_busy_server_is_refused_by_a_stopping_gateway(session):
    spec = EngineSpec(prefill_tokens_per_s=100.0)
    async with deployment(engines=1, engine_spec=spec) as platform:
        process = await add_stopping_gateway(platform)
        stopping = asyncio.create_task(process.gateway.drain())
        await asyncio.sleep(0.1)
        async with post_draft(session, process, "s1", prompt_headers(1000, 4)) as reply:
            assert reply.status == 503
            assert float(reply.headers["Retry-After"]) < 1.0
        await asyncio.wait([stopping])
        assert isinstance(stopping.exception(), TimeoutError)
        assert not platform.engines["engine-0"].received_headers


# Guards against requests that were taken before the stop and are still without an
# answer at its end: their connections were closed without one.
async def test_requests_without_an_answer_get_one_when_the_grace_period_ends(session):
    spec = EngineSpec(prefill_tokens_per_s=100.0)
    async with deployment(1, 1, engine_spec=spec, routes=SLOW_ROUTES) as platform:
        process = await add_stopping_gateway(platform)
        platform.services["desk-0"].default_fault = ServiceFault.HANG
        headers = request_headers("c1", remaining_ms=5000)
        call = asyncio.create_task(
            _status(session.post(process.url + "/book/x", headers=headers))
        )
        stream = asyncio.create_task(
            _status(post_draft(session, process, "s1", prompt_headers(1000, 400)))
        )
        await wait_until(lambda: platform.engines["engine-0"].received_headers)
        await wait_until(lambda: platform.services["desk-0"].received)
        started_s = time.monotonic()
        await stop(platform, process)
        # Both were sent to servers and may have run, which 503 would deny.
        assert await asyncio.gather(call, stream) == [502, 502]
        assert time.monotonic() - started_s < GRACE_S + 0.2
        refused = log_records(process, "refused")
        assert {record.request_id for record in refused} == {"c1", "s1"}
        assert {record.reason for record in refused} == {RefusalReason.LEAVING.value}


# Guards against requests that are cut as a hook of the stop fails before theirs.
async def test_requests_get_an_answer_although_hooks_of_the_stop_fail(session):
    async with deployment(0, 1, routes=SLOW_ROUTES) as platform:
        process = await add_stopping_gateway(platform)
        platform.services["desk-0"].default_fault = ServiceFault.HANG
        gateway = process.gateway
        gateway.leave_hooks = (_fail, *gateway.leave_hooks)
        gateway.end_hooks = (_fail, *gateway.end_hooks)
        headers = request_headers("c1", remaining_ms=5000)
        call = session.post(process.url + "/book/x", headers=headers)
        status = asyncio.create_task(_status(call))
        await wait_until(lambda: platform.services["desk-0"].received)
        await stop(platform, process)
        assert await status == 502


def _fail():
    raise ValueError


# Guards against requests that the end of a stop interrupts and no line tells of.
async def test_each_request_that_a_stop_interrupts_has_one_final_line(session):
    async with deployment(1, engine_spec=EngineSpec(event_interval_s=0.05)) as platform:
        process = await add_stopping_gateway(platform)
        async with post_draft(session, process, "s1") as reply:
            await reply.content.readany()
            stopping = asyncio.create_task(stop(platform, process))
            await asyncio.sleep(0.1)
            _, writer = await begin_call(process, "b1", body_bytes=9)
            await stopping
        writer.close()
    records = {record.request_id: record for record in final_lines(process)}
    assert len(final_lines(process)) == len(records) == 2
    stream, body = records["s1"], records["b1"]
    assert (stream.outcome, stream.reason) == ("cut", "stop_timeout")
    assert (body.reason, body.was_not_run) == ("leaving", True)
    assert stream.stage == "answering"
    assert stream.server == "engine-0" and stream.events > 0 and stream.left_s > 10
    assert stream.arrived_after_stop_s < 0 < body.arrived_after_stop_s
    [drain_ended] = log_records(process, "drain_ended")
    assert drain_ended.by_kind == {"streaming": {"answering": 1}}
    assert (drain_ended.arrived_before_stop, drain_ended.arrived_after_stop) == (1, 0)
    assert drain_ended.longest_left_s > 10
    [began] = log_records(process, "stopping")
    assert began.by_kind == {"streaming": {"answering": 1}} and began.has_other_gateway


# Guards against requests without a final line, as their caller left or their body was
# refused before they were validated.
async def test_callers_that_leave_and_refused_bodies_have_one_final_line(session):
    async with deployment(1, 1, routes=SLOW_ROUTES) as platform:
        process = platform.gateways[0]
        platform.services["desk-0"].default_fault = ServiceFault.HANG
        async with post_draft(session, process, "s1") as reply:
            await reply.content.readany()
        for request_id, body_bytes in (("c1", 1), ("b1", 9)):
            _, writer = await begin_call(process, request_id, body_bytes)
            await asyncio.sleep(0.1)
            writer.close()
        headers = request_headers("big")
        url, body = process.url + "/book/x", bytes(100_000)
        assert await _status(session.post(url, headers=headers, data=body)) == 413
        await wait_until(lambda: len(final_lines(process)) >= 4)
    outcomes = {
        record.request_id: (
            record.reason,
            getattr(record, "stage", ""),
            getattr(record, "server", ""),
        )
        for record in final_lines(process)
    }
    assert len(final_lines(process)) == 4
    assert outcomes == {
        "s1": ("", "answering", "engine-0"),
        "c1": ("", "sent", "desk-0"),
        "b1": ("", "body", ""),
        "big": ("too_large", "", ""),
    }
    left = [record.outcome for record in log_records(process, "answered")]
    assert left == ["caller_left"] * 3


async def _status(request):
    try:
        async with request as reply:
            await reply.read()
            return reply.status
    except aiohttp.ClientError as error:
        return error


# Guards against answers that the end of the process overtakes: a gateway that was slow
# just then answered what it had taken in the last moment of the grace period only.
async def test_last_answers_are_sent_before_a_slow_moment_at_the_end(session):
    spec = EngineSpec(prefill_tokens_per_s=100.0)
    async with deployment(1, 1, engine_spec=spec, routes=SLOW_ROUTES) as platform:
        process = await add_stopping_gateway(platform)
        stream = asyncio.create_task(
            _status(post_draft(session, process, "s1", prompt_headers(1000, 400)))
        )
        await wait_until(lambda: platform.engines["engine-0"].received_headers)
        asyncio.get_running_loop().call_later(GRACE_S - 0.35, time.sleep, 0.3)
        stopping = asyncio.create_task(stop(platform, process))
        started_s = time.monotonic()
        assert await stream == 502
        assert time.monotonic() - started_s < GRACE_S - 0.35
        await stopping


# Guards against a connection that is closed without an answer at the end of a stop, as
# the body of its request is still coming in.
async def test_request_whose_body_comes_too_slowly_is_refused_at_the_end(session):
    async with deployment(0, 1, routes=SLOW_ROUTES) as platform:
        process = await add_stopping_gateway(platform)
        headers = request_headers("c1", remaining_ms=5000)
        call = session.post(process.url + "/book/x", headers=headers, data=_slow_body())
        status = asyncio.create_task(_status(call))
        await asyncio.sleep(0.1)
        await stop(platform, process)
        # Not run: the caller may send it to another gateway.
        assert await status == 503
        assert not platform.services["desk-0"].received


# Guards against callers that wait for the end of a stop, and a stop that waits for them
# though their request could be refused by its deadline when its head arrives.
async def test_stopping_gateway_does_not_wait_for_the_body_of_a_late_request(session):
    async with deployment(0, 1, routes=SLOW_ROUTES) as platform:
        process = await add_stopping_gateway(platform)
        stopping = asyncio.create_task(stop(platform, process))
        await asyncio.sleep(0.1)
        reader, writer = await begin_call(process, "b1", body_bytes=9)
        async with asyncio.timeout(0.5):
            assert b" 503 " in await reader.readline()
        writer.close()
        await stopping


# Guards against streams that a stop cuts with nothing but a head.
async def test_stream_without_an_event_gets_an_answer_at_the_end_of_a_stop(session):
    async with deployment(1, engine_spec=EngineSpec(event_interval_s=3.0)) as platform:
        process = await add_stopping_gateway(platform)
        stream = asyncio.create_task(_status(post_draft(session, process, "s1")))
        await wait_until(lambda: platform.engines["engine-0"].started_run_ids)
        await asyncio.sleep(0.2)
        await stop(platform, process)
        assert await stream == 502
    [refused] = final_lines(process)
    assert (refused.reason, refused.was_not_run) == ("leaving", False)


# Guards against streams that a stop cuts while no server is at work on them.
async def test_stop_cuts_no_stream_whose_run_waits_for_memory(session):
    spec = EngineSpec(memory_tokens=2080, event_interval_s=0.05)
    async with deployment(1, engine_spec=spec) as platform:
        process, engine = await add_stopping_gateway(platform), platform.engines
        drafts = [post_draft(session, process, name) for name in ("s1", "s2")]
        streams = [asyncio.create_task(_status(draft)) for draft in drafts]
        await wait_until(lambda: engine["engine-0"].preemptions)
        began_s = time.monotonic()
        await stop(platform, process)
        await asyncio.gather(*streams)
        answered = log_records(process, "answered")
        cut = {each.request_id for each in answered if each.outcome == "cut"}
        last_sixth = began_s + GRACE_S * 5 / 6, began_s + GRACE_S
        works = [each for each in engine["engine-0"].works if each.request_id in cut]
        assert works
        assert all(each.was_busy(*last_sixth) for each in works)


async def _slow_body():
    for _ in range(100):
        yield b"x"
        await asyncio.sleep(0.1)
