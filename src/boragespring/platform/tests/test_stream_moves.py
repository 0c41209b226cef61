"""Streams that move off leaving servers."""

import asyncio
import itertools

import aiohttp
import pytest
from attrs import evolve

from boragespring.forwarding.errors import ReplyLostError, ServerUnreachableError
from boragespring.platform.emulator import EngineSpec
from boragespring.platform.emulator.catalog import STANDARD_ROUTES
from boragespring.platform.server_calls import HttpServerCalls
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
    prompt_headers,
    wait_until,
)


async def test_streams_move_off_a_leaving_server(session):
    async with deployment(engines=2, gateways=2) as platform:
        tasks = [
            asyncio.create_task(read_stream(session, platform.gateways[n % 2], f"s{n}"))
            for n in range(6)
        ]
        await wait_until(lambda: len(started_runs(platform)) == 6)
        await asyncio.sleep(0.3)
        leaving_server = max(
            platform.engines.values(), key=lambda server: len(server.runs)
        )
        assert leaving_server.runs
        reclaim = platform.reclaim(leaving_server.server_id, notice_s=0.8)
        results = await asyncio.gather(*tasks)
        await reclaim
        assert all(events == list(range(1, 101)) for events, _ in results)
        # A move starts no second run and delays no event for long.
        assert len(started_runs(platform)) == 6
        assert max(pause_s for _, pause_s in results) < 0.18


async def test_unframed_stream_is_not_ended_by_the_stop_of_its_run(session):
    async with deployment(engines=2) as platform:
        for engine in platform.engines.values():
            engine.sends_unframed = True
        events, _ = await _read_while_server_leaves(session, platform, 0.8, lead_s=0.3)
        assert events == list(range(1, 101))
        assert started_runs(platform) == ["s1"]


async def test_unsigned_reply_to_a_resumed_run_is_not_passed_on(session):
    async with deployment(engines=2) as platform:
        for engine in platform.engines.values():
            engine.is_resumed_signed = False
        with pytest.raises(aiohttp.ClientError):
            await _read_while_server_leaves(session, platform, 0.8, lead_s=0.3)


async def test_unframed_stream_that_ended_before_the_stop_is_complete(
    session, monkeypatch
):
    copy_run = HttpServerCalls.copy_run

    async def stop_too_late(calls, server, run_id, target, is_last):
        if is_last:
            await wait_until(lambda: not platform.engines[server.server_id].runs)
        return await copy_run(calls, server, run_id, target, is_last)

    monkeypatch.setattr(HttpServerCalls, "copy_run", stop_too_late)
    async with deployment(engines=2) as platform:
        for engine in platform.engines.values():
            engine.sends_unframed = True
        prompt = prompt_headers(1000, 80)
        events, _ = await _read_while_server_leaves(
            session, platform, 2.0, lead_s=0.1, prompt=prompt
        )
        assert events == list(range(1, 21))
        resumed = [
            headers
            for engine in platform.engines.values()
            for headers in engine.received_headers
            if "kv-from" in headers
        ]
        assert not resumed


async def test_moves_over_one_link_do_not_overlap(session):
    # Copying each run takes 0.2 s, so that all copies together fill the notice period.
    spec = EngineSpec(copy_s_per_token=0.0002)
    async with deployment(engines=2, gateways=2, engine_spec=spec) as platform:
        tasks = [
            asyncio.create_task(read_stream(session, platform.gateways[n % 2], f"s{n}"))
            for n in range(8)
        ]
        await wait_until(lambda: len(started_runs(platform)) == 8)
        await asyncio.sleep(0.3)
        leaving_server = max(
            platform.engines.values(), key=lambda server: len(server.runs)
        )
        reclaim = platform.reclaim(leaving_server.server_id, notice_s=1.5)
        results = await asyncio.gather(*tasks)
        await reclaim
        assert all(events == list(range(1, 101)) for events, _ in results)


async def test_target_that_refuses_the_copy_is_skipped(session):
    async with deployment(engines=3) as platform:
        task = asyncio.create_task(read_stream(session, platform.gateways[0], "s1"))
        leaving_server = await server_of_the_first_run(platform, 0.2)
        other_servers = [
            server
            for server in platform.engines.values()
            if server is not leaving_server
        ]
        other_servers[0].refuses_copies = True
        reclaim = platform.reclaim(leaving_server.server_id, notice_s=1.0)
        events, _ = await task
        await reclaim
        assert events == list(range(1, 101))
        assert other_servers[1].received_headers


async def test_run_that_fits_no_server_does_not_delay_other_moves(session):
    # Copying takes 0.15 s for each small run and 0.6 s for the large one.
    spec = EngineSpec(copy_s_per_token=0.0001)
    async with deployment(engines=1, engine_spec=spec) as platform:
        process = platform.gateways[0]
        # Has the highest value per token and is therefore moved first.
        large = asyncio.create_task(
            read_stream(session, process, "l", prompt_headers(6000, 8000))
        )
        await wait_until(lambda: started_runs(platform))
        await asyncio.sleep(0.1)
        tasks = [
            asyncio.create_task(
                read_stream(session, process, f"s{n}", prompt_headers(1500, 400))
            )
            for n in range(3)
        ]
        await wait_until(lambda: len(started_runs(platform)) == 4)
        await asyncio.sleep(0.2)
        second_server = await platform.add_engine("engine-1")
        second_server.spec = evolve(spec, memory_tokens=6000)
        await wait_until(lambda: len(process.gateway.status()["servers"]) == 2)
        reclaim = platform.reclaim("engine-0", notice_s=1.0)
        results = await asyncio.gather(*tasks)
        await reclaim
        assert all(events == list(range(1, 101)) for events, _ in results)
        with pytest.raises(aiohttp.ClientError):
            await large


async def test_stream_resumes_from_a_copy_if_its_server_stops_during_the_move(session):
    # The final copy, which stops the run, takes longer than the notice.
    spec = EngineSpec(final_copy_overhead_s=1.0)
    async with deployment(engines=2, engine_spec=spec) as platform:
        events, _ = await _read_while_server_leaves(session, platform, 0.4, lead_s=0.2)
        assert events == list(range(1, 101))
        assert len(started_runs(platform)) == 1


# Guards against a run that goes on elsewhere while its server still executes it: a
# lost reply does not show that the server has ended the run.
async def test_run_whose_reply_is_lost_in_a_move_is_stopped_before_it_goes_on(
    session, monkeypatch
):
    send = HttpServerCalls.send
    runs_at_source = []

    async def send_and_look_at_source(calls, server, attempt):
        if attempt.resume is not None:
            source = platform.engines[_other_engine(server.server_id)]
            runs_at_source.append([not run.is_moved for run in source.runs.values()])
        return await send(calls, server, attempt)

    monkeypatch.setattr(HttpServerCalls, "send", send_and_look_at_source)
    _lose_reply_in_copy(monkeypatch, lambda: platform, copy_number=2)
    spec = EngineSpec(copy_s_per_token=0.0006)
    async with deployment(engines=2, engine_spec=spec) as platform:
        for engine in platform.engines.values():
            engine.keeps_runs = True
        events, _ = await _read_while_server_leaves(session, platform, 4.0, lead_s=0.3)
        assert events == list(range(1, 101))
        assert runs_at_source
        assert not any(itertools.chain.from_iterable(runs_at_source))


async def test_run_that_ended_with_its_reply_goes_on_from_its_copy(
    session, monkeypatch
):
    _lose_reply_in_copy(monkeypatch, lambda: platform, copy_number=2)
    spec = EngineSpec(copy_s_per_token=0.0006)
    async with deployment(engines=2, engine_spec=spec) as platform:
        events, _ = await _read_while_server_leaves(session, platform, 4.0, lead_s=0.3)
        assert events == list(range(1, 101))
        assert started_runs(platform) == ["s1"]


# Guards against the same while the server cannot be asked: the stream is broken off.
async def test_run_that_cannot_be_stopped_does_not_go_on_elsewhere(
    session, monkeypatch
):
    copy_run = HttpServerCalls.copy_run

    async def lose_stops(calls, server, run_id, target, is_last):
        if is_last:
            raise ReplyLostError("no reply")
        return await copy_run(calls, server, run_id, target, is_last)

    monkeypatch.setattr(HttpServerCalls, "copy_run", lose_stops)
    _lose_reply_in_copy(monkeypatch, lambda: platform, copy_number=2)
    spec = EngineSpec(copy_s_per_token=0.0006)
    async with deployment(engines=2, engine_spec=spec) as platform:
        for engine in platform.engines.values():
            engine.keeps_runs = True
        with pytest.raises(aiohttp.ClientError):
            await _read_while_server_leaves(session, platform, 4.0, lead_s=0.3)
        resumed = [
            headers
            for engine in platform.engines.values()
            for headers in engine.received_headers
            if "kv-from" in headers
        ]
        assert not resumed


async def test_stream_goes_on_and_moves_again_if_the_target_is_unreachable(
    session, monkeypatch
):
    send = HttpServerCalls.send
    unreachable = []

    async def send_unless_moved(calls, server, attempt):
        if attempt.resume is not None and not unreachable:
            unreachable.append(server.server_id)
            raise ServerUnreachableError("no connection")
        return await send(calls, server, attempt)

    monkeypatch.setattr(HttpServerCalls, "send", send_unless_moved)
    async with deployment(engines=3) as platform:
        events, leaving_server = await _read_while_server_leaves(
            session, platform, 1.5, lead_s=0.2
        )
        assert unreachable
        assert leaving_server.server_id not in unreachable
        assert events == list(range(1, 101))


async def test_resumed_stream_goes_on_where_it_was_when_its_server_leaves(session):
    route = evolve(STANDARD_ROUTES[0], is_resumable=True)
    async with deployment(engines=2, routes=(route,)) as platform:
        headers = {**LONG_PROMPT_HEADERS, "Last-Event-Id": "20"}
        events, _ = await _read_while_server_leaves(
            session, platform, 1.0, lead_s=0.2, prompt=headers
        )
        assert events == list(range(21, 101))


async def test_preempted_run_completes_and_moves_with_the_others(session):
    spec = EngineSpec(memory_tokens=2900)
    async with deployment(engines=1, engine_spec=spec) as platform:
        process = platform.gateways[0]
        tasks = [
            asyncio.create_task(
                read_stream(session, process, f"s{n}", prompt_headers(1000, 600))
            )
            for n in range(2)
        ]
        first = platform.engines["engine-0"]
        await wait_until(lambda: first.preemptions)
        await platform.add_engine("engine-1")
        await wait_until(lambda: len(process.gateway.status()["servers"]) == 2)
        reclaim = platform.reclaim("engine-0", notice_s=1.2)
        results = await asyncio.gather(*tasks)
        await reclaim
        assert all(events == list(range(1, 151)) for events, _ in results)
        assert len(started_runs(platform)) == 2


async def test_disconnect_during_a_move_leaves_no_load_behind(session):
    # The first copy takes 0.1 s and the final one 0.3 s; the caller disconnects
    # during the final one.
    spec = EngineSpec(copy_s_per_token=0.0001, final_copy_overhead_s=0.3)
    async with deployment(engines=2, gateways=2, engine_spec=spec) as platform:
        response = await post_draft(session, platform.gateways[0], "s1")
        leaving_server = await server_of_the_first_run(platform, 0.1)
        reclaim = platform.reclaim(leaving_server.server_id, notice_s=1.0)
        await asyncio.sleep(0.3)
        response.close()
        await reclaim
        await wait_until(lambda: not servers_with_runs(platform), timeout_s=3.0)


async def _read_while_server_leaves(
    session, platform, notice_s, lead_s, prompt=LONG_PROMPT_HEADERS
):
    """Return the event IDs of a stream whose server leaves, and the server."""
    process = platform.gateways[0]
    task = asyncio.create_task(read_stream(session, process, "s1", prompt))
    leaving_server = await server_of_the_first_run(platform, lead_s)
    reclaim = platform.reclaim(leaving_server.server_id, notice_s=notice_s)
    events, _ = await task
    await reclaim
    return events, leaving_server


def _other_engine(server_id):
    return {"engine-0": "engine-1", "engine-1": "engine-0"}[server_id]


def _lose_reply_in_copy(monkeypatch, platform, copy_number):
    """Lose the replies of a server 0.2 s before the end of a copy from it."""
    copy_run = HttpServerCalls.copy_run
    numbers = itertools.count(1)

    async def copy_and_lose_reply(calls, server, run_id, target, is_last):
        if not is_last and next(numbers) == copy_number:
            platform().engines[server.server_id].lose_replies()
            await asyncio.sleep(0.2)
        return await copy_run(calls, server, run_id, target, is_last)

    monkeypatch.setattr(HttpServerCalls, "copy_run", copy_and_lose_reply)
