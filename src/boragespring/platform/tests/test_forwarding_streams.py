"""Streams: order, moves off leaving servers, crashes, callers that leave."""

import asyncio

import aiohttp
import pytest
from attrs import evolve

from boragespring.platform.emulator import EngineSpec
from boragespring.platform.tests.support import (
    deployment,
    prompt_headers,
    read_events,
    request_headers,
    wait_until,
)

LONG_PROMPT_HEADERS = prompt_headers(1000, 400)


def draft(session, process, request_id, shape=LONG_PROMPT_HEADERS):
    url = process.url + "/draft/x"
    sent = request_headers(request_id, remaining_ms=20_000, **shape)
    return session.post(url, headers=sent, data=b"prompt")


async def test_all_events_in_order(session):
    async with deployment(engines=1) as platform:
        async with draft(session, platform.gateways[0], "s1") as response:
            assert response.status == 200
            assert await read_events(response) == list(range(1, 101))
        engine = platform.engines["engine-0"]
        assert engine.started == ["s1"]
        assert engine.seen[0]["boragespring-request-urgency"] == "1"


async def test_streams_go_on_elsewhere_when_their_server_leaves(session):
    async with deployment(engines=2, gateways=2) as platform:
        calls = [
            asyncio.create_task(_read(session, platform.gateways[n % 2], f"s{n}"))
            for n in range(6)
        ]
        await wait_until(lambda: len(_all_started(platform)) == 6)
        await asyncio.sleep(0.3)
        leaving = max(platform.engines.values(), key=lambda one: len(one.runs))
        assert leaving.runs
        end = platform.reclaim(leaving.server_id, notice_s=0.8)
        results = await asyncio.gather(*calls)
        await end
        assert all(events == list(range(1, 101)) for events, _ in results)
        # A move is no second run, and no event waits long for it.
        assert len(_all_started(platform)) == 6
        assert max(pause_s for _, pause_s in results) < 0.18


async def test_moves_wait_for_each_other_over_one_link(session):
    # A copy of each run takes 0.2 s: together they need all of the notice.
    spec = EngineSpec(copy_s_per_token=0.0002)
    async with deployment(engines=2, gateways=2, engine_spec=spec) as platform:
        calls = [
            asyncio.create_task(_read(session, platform.gateways[n % 2], f"s{n}"))
            for n in range(8)
        ]
        await wait_until(lambda: len(_all_started(platform)) == 8)
        await asyncio.sleep(0.3)
        leaving = max(platform.engines.values(), key=lambda one: len(one.runs))
        end = platform.reclaim(leaving.server_id, notice_s=1.5)
        results = await asyncio.gather(*calls)
        await end
        assert all(events == list(range(1, 101)) for events, _ in results)


async def test_a_target_without_room_is_passed_by(session):
    async with deployment(engines=3) as platform:
        call = asyncio.create_task(_read(session, platform.gateways[0], "s1"))
        await wait_until(lambda: _all_started(platform))
        await asyncio.sleep(0.2)
        leaving = next(one for one in platform.engines.values() if one.runs)
        others = [one for one in platform.engines.values() if one is not leaving]
        others[0].refuses_copies = True
        end = platform.reclaim(leaving.server_id, notice_s=1.0)
        events, _ = await call
        await end
        assert events == list(range(1, 101))
        assert others[1].seen


async def test_a_run_that_fits_nowhere_keeps_no_turn_from_the_others(session):
    # The copy of each small run takes 0.15 s, that of the large one 0.6 s.
    spec = EngineSpec(copy_s_per_token=0.0001)
    async with deployment(engines=1, engine_spec=spec) as platform:
        process = platform.gateways[0]
        # Worth most for each token, so that it goes first.
        large = asyncio.create_task(
            _read(session, process, "l", prompt_headers(6000, 8000))
        )
        await wait_until(lambda: _all_started(platform))
        await asyncio.sleep(0.1)
        calls = [
            asyncio.create_task(
                _read(session, process, f"s{n}", prompt_headers(1500, 400))
            )
            for n in range(3)
        ]
        await wait_until(lambda: len(_all_started(platform)) == 4)
        await asyncio.sleep(0.2)
        other = await platform.add_engine("engine-1")
        other.spec = evolve(spec, memory_tokens=6000)
        await wait_until(lambda: len(process.gateway.status()["servers"]) == 2)
        end = platform.reclaim("engine-0", notice_s=1.0)
        results = await asyncio.gather(*calls)
        await end
        assert all(events == list(range(1, 101)) for events, _ in results)
        with pytest.raises(aiohttp.ClientError):
            await large


async def test_a_server_that_ends_within_a_move_leaves_the_copy(session):
    # The copy that stops the run takes longer than the notice.
    spec = EngineSpec(handover_s=1.0)
    async with deployment(engines=2, engine_spec=spec) as platform:
        call = asyncio.create_task(_read(session, platform.gateways[0], "s1"))
        await wait_until(lambda: _all_started(platform))
        await asyncio.sleep(0.2)
        leaving = next(one for one in platform.engines.values() if one.runs)
        end = platform.reclaim(leaving.server_id, notice_s=0.4)
        events, _ = await call
        await end
        assert events == list(range(1, 101))
        assert len(_all_started(platform)) == 1


async def test_a_crash_cuts_the_stream_and_joins_nothing(session):
    async with deployment(engines=2) as platform:
        async with draft(session, platform.gateways[0], "s1") as response:
            await wait_until(lambda: _all_started(platform))
            await asyncio.sleep(0.2)
            engine = next(one for one in platform.engines.values() if one.runs)
            await engine.crash()
            with pytest.raises(aiohttp.ClientError):
                await read_events(response)
        assert len(_all_started(platform)) == 1


async def test_an_event_that_is_broken_off_is_not_passed_on(session):
    async with deployment(engines=1) as platform:
        platform.engines["engine-0"].breaks_at_event = 7
        body = b""
        async with draft(session, platform.gateways[0], "s1") as response:
            with pytest.raises(aiohttp.ClientError):
                async for chunk in response.content.iter_any():
                    body += chunk
        assert body.endswith(b"\n\n")
        assert body.count(b"id: ") == 6
        assert len(_all_started(platform)) == 1


async def test_a_run_that_is_set_back_ends_complete_and_leaves_with_the_others(session):
    spec = EngineSpec(memory_tokens=2900)
    async with deployment(engines=1, engine_spec=spec) as platform:
        process = platform.gateways[0]
        calls = [
            asyncio.create_task(
                _read(session, process, f"s{n}", prompt_headers(1000, 600))
            )
            for n in range(2)
        ]
        first = platform.engines["engine-0"]
        await wait_until(lambda: first.preemptions)
        await platform.add_engine("engine-1")
        await wait_until(lambda: len(process.gateway.status()["servers"]) == 2)
        end = platform.reclaim("engine-0", notice_s=1.2)
        results = await asyncio.gather(*calls)
        await end
        assert all(events == list(range(1, 151)) for events, _ in results)
        assert len(_all_started(platform)) == 2


async def test_the_same_id_twice_at_once_ends_both(session):
    spec = EngineSpec(prefill_tokens_per_s=10_000.0)
    async with deployment(engines=1, engine_spec=spec) as platform:
        process = platform.gateways[0]
        # The short one ends while the other's prompt is still read.
        calls = [
            asyncio.create_task(_status_and_ids(session, process, "same", shape))
            for shape in (prompt_headers(3000, 40), prompt_headers(10, 4))
        ]
        for status, ids in await asyncio.gather(*calls):
            assert status == 200
            assert ids == list(range(1, len(ids) + 1))
        await wait_until(lambda: not _loads(platform))


async def test_a_full_server_refuses_and_another_one_runs(session):
    spec = EngineSpec(slots=1)
    async with deployment(engines=2, engine_spec=spec) as platform:
        calls = [
            asyncio.create_task(_read(session, platform.gateways[0], f"s{n}"))
            for n in range(2)
        ]
        for events, _ in await asyncio.gather(*calls):
            assert events == list(range(1, 101))
        async with draft(
            session, platform.gateways[0], "huge", prompt_headers(99_999, 9)
        ) as r:
            assert r.status == 503
            assert float(r.headers["Retry-After"]) > 0


async def test_the_run_ends_when_the_caller_leaves(session):
    async with deployment(engines=1) as platform:
        response = await draft(session, platform.gateways[0], "s1")
        engine = platform.engines["engine-0"]
        assert engine.runs
        response.close()
        await wait_until(lambda: not engine.runs, timeout_s=0.5)


async def test_a_caller_that_leaves_in_a_move_leaves_no_load_behind(session):
    # The first copy takes 0.1 s and the last one 0.3 s: in that the caller leaves.
    spec = EngineSpec(copy_s_per_token=0.0001, handover_s=0.3)
    async with deployment(engines=2, gateways=2, engine_spec=spec) as platform:
        response = await draft(session, platform.gateways[0], "s1")
        await wait_until(lambda: _all_started(platform))
        await asyncio.sleep(0.1)
        leaving = next(one for one in platform.engines.values() if one.runs)
        end = platform.reclaim(leaving.server_id, notice_s=1.0)
        await asyncio.sleep(0.3)
        response.close()
        await end
        await wait_until(lambda: not _loads(platform), timeout_s=3.0)


async def _status_and_ids(session, process, request_id, shape):
    async with draft(session, process, request_id, shape) as response:
        return response.status, await read_events(response)


def _loads(platform):
    """Return the runs that gateways count at servers that take requests."""
    return [
        line
        for process in platform.gateways
        for line in process.gateway.status()["servers"]
        if not line["is_leaving"] and (line["runs"] or line["runs_of_peers"])
    ]


def _all_started(platform):
    return [run for engine in platform.engines.values() for run in engine.started]


async def _read(session, process, request_id, shape=LONG_PROMPT_HEADERS):
    """Return the events of a stream and the longest pause between two."""
    loop = asyncio.get_running_loop()
    async with draft(session, process, request_id, shape) as response:
        assert response.status == 200
        body, longest_s, last_s = b"", 0.0, None
        async for chunk in response.content.iter_any():
            if last_s is not None:
                longest_s = max(longest_s, loop.time() - last_s)
            last_s = loop.time()
            body += chunk
    ids = [int(one[4:]) for one in body.splitlines() if one.startswith(b"id: ")]
    return ids, longest_s
