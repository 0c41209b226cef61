"""Streams: event order, ends, crashes, disconnects."""

import asyncio
import contextlib

import aiohttp
import pytest
from attrs import evolve

from boragespring.forwarding.streaming import StreamSettings
from boragespring.platform.emulator import EngineSpec, ServiceFault
from boragespring.platform.emulator.catalog import PLAIN_SERVICE, STANDARD_ROUTES
from boragespring.platform.tests.stream_support import (
    LONG_PROMPT_HEADERS,
    post_draft,
    read_stream,
    server_of_the_first_run,
    servers_with_runs,
    started_runs,
)
from boragespring.platform.tests.support import (
    deployment,
    log_records,
    prompt_headers,
    read_events,
    wait_until,
)


async def test_events_are_delivered_in_order(session):
    async with deployment(engines=1) as platform:
        async with post_draft(session, platform.gateways[0], "s1") as response:
            assert response.status == 200
            assert await read_events(response) == list(range(1, 101))
        engine = platform.engines["engine-0"]
        assert engine.started_run_ids == ["s1"]
        assert engine.received_headers[0]["boragespring-request-urgency"] == "1"


async def test_crash_truncates_the_stream_without_a_second_run(session):
    async with deployment(engines=2) as platform:
        async with post_draft(session, platform.gateways[0], "s1") as response:
            await wait_until(lambda: started_runs(platform))
            await asyncio.sleep(0.2)
            engine = next(server for server in platform.engines.values() if server.runs)
            await engine.crash()
            with pytest.raises(aiohttp.ClientError):
                await read_events(response)
        assert len(started_runs(platform)) == 1


async def test_unframed_stream_of_a_crashed_server_is_not_passed_as_complete(session):
    async with deployment(engines=2) as platform:
        for engine in platform.engines.values():
            engine.sends_unframed = True
        async with post_draft(session, platform.gateways[0], "s1") as response:
            crashed = await server_of_the_first_run(platform, 0.2)
            await crashed.crash()
            with pytest.raises(aiohttp.ClientError):
                await read_events(response)


@pytest.mark.parametrize(("is_resumable", "first"), [(True, 41), (False, 1)])
async def test_caller_gets_the_rest_of_a_resumable_stream(session, is_resumable, first):
    route = evolve(STANDARD_ROUTES[0], is_resumable=is_resumable)
    async with deployment(engines=1, routes=(route,)) as platform:
        headers = {**LONG_PROMPT_HEADERS, "Last-Event-Id": "40"}
        events, _ = await read_stream(session, platform.gateways[0], "s", headers)
        assert events == list(range(first, 101))


async def test_incomplete_event_is_not_forwarded(session):
    async with deployment(engines=1) as platform:
        platform.engines["engine-0"].truncates_at_event = 7
        body = b""
        async with post_draft(session, platform.gateways[0], "s1") as response:
            with pytest.raises(aiohttp.ClientError):
                async for chunk in response.content.iter_any():
                    body += chunk
        assert body.endswith(b"\n\n")
        assert body.count(b"id: ") == 6
        assert len(started_runs(platform)) == 1


async def test_unframed_stream_that_ends_within_an_event_is_not_passed_as_complete(
    session,
):
    async with deployment(engines=1) as platform:
        engine = platform.engines["engine-0"]
        engine.sends_unframed = True
        engine.truncates_at_event = 7
        async with post_draft(session, platform.gateways[0], "s1") as response:
            with pytest.raises(aiohttp.ClientError):
                await response.read()
        assert engine.started_run_ids == ["s1"]


@pytest.mark.parametrize("sends_unframed", [False, True])
async def test_stream_without_any_event_is_not_passed_as_complete(
    session, sends_unframed
):
    async with deployment(engines=1) as platform:
        engine = platform.engines["engine-0"]
        engine.sends_unframed = sends_unframed
        engine.closes_before_event = 1
        async with post_draft(session, platform.gateways[0], "s1") as response:
            assert response.status == 502
        assert log_records(platform.gateways[0], "stream_not_begun")


@pytest.mark.parametrize("sends_unframed", [False, True])
async def test_log_states_how_a_truncated_reply_was_framed(session, sends_unframed):
    async with deployment(engines=1) as platform:
        engine = platform.engines["engine-0"]
        engine.sends_unframed = sends_unframed
        engine.truncates_at_event = 7
        process = platform.gateways[0]
        async with post_draft(session, process, "s1") as response:
            with contextlib.suppress(aiohttp.ClientError):
                await response.read()
        await wait_until(lambda: log_records(process, "answered"))
        (record,) = log_records(process, "answered")
        assert record.framing == ("connection" if sends_unframed else "chunks")
        assert record.events == 6
        assert record.unterminated_bytes > 0


async def test_error_reply_that_is_too_large_is_not_passed_on_shortened(session):
    route = evolve(STANDARD_ROUTES[0], service=PLAIN_SERVICE)
    async with deployment(services=1, routes=(route,)) as platform:
        service = platform.services["desk-0"]
        service.default_fault = ServiceFault.ERROR
        service.error_body = b"x" * (StreamSettings().body_max_bytes + 1)
        async with post_draft(session, platform.gateways[0], "s1") as response:
            assert response.status == 502
            assert "Boragespring-Response-Signature" not in response.headers


async def test_concurrent_streams_with_the_same_id_both_complete(session):
    spec = EngineSpec(prefill_tokens_per_s=10_000.0)
    async with deployment(engines=1, engine_spec=spec) as platform:
        process = platform.gateways[0]
        # The short run ends while the prompt of the other is still in prefill.
        tasks = [
            asyncio.create_task(_read_status_and_ids(session, process, "same", prompt))
            for prompt in (prompt_headers(3000, 40), prompt_headers(10, 4))
        ]
        for status, ids in await asyncio.gather(*tasks):
            assert status == 200
            assert ids == list(range(1, len(ids) + 1))
        await wait_until(lambda: not servers_with_runs(platform))


async def test_full_server_is_skipped_and_oversized_prompt_is_refused(session):
    spec = EngineSpec(slots=1)
    async with deployment(engines=2, engine_spec=spec) as platform:
        tasks = [
            asyncio.create_task(read_stream(session, platform.gateways[0], f"s{n}"))
            for n in range(2)
        ]
        for events, _ in await asyncio.gather(*tasks):
            assert events == list(range(1, 101))
        async with post_draft(
            session, platform.gateways[0], "huge", prompt_headers(99_999, 9)
        ) as response:
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0


async def test_run_is_cancelled_when_the_caller_disconnects(session):
    async with deployment(engines=1) as platform:
        response = await post_draft(session, platform.gateways[0], "s1")
        engine = platform.engines["engine-0"]
        assert engine.runs
        response.close()
        await wait_until(lambda: not engine.runs, timeout_s=0.5)


async def _read_status_and_ids(session, process, request_id, prompt):
    async with post_draft(session, process, request_id, prompt) as response:
        return response.status, await read_events(response)
