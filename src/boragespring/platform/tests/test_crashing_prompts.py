"""Requests with a part in their prompts that crashes the engines."""

import asyncio
import random
import time

import aiohttp
import pytest
from pythonjsonlogger.json import JsonFormatter

from boragespring.child_processes import free_ports
from boragespring.platform import names
from boragespring.platform.emulator import EngineSpec
from boragespring.platform.tests.support import (
    deployment,
    log_records,
    request_headers,
    wait_until,
)
from boragespring.quarantine import CRASHES_KEY

BAD = "bad1"
#: 200 lines a second of this size are 1 MB.
LOG_LINE_MAX_BYTES = 5_000


def crashing_headers(request_id, *parts, output_tokens=20, prompt_tokens=200):
    prompt = ",".join(f"{part}:20" for part in (*parts, f"own-{request_id}"))
    return request_headers(
        request_id,
        remaining_ms=8_000,
        **{
            names.MODEL: "m",
            names.TOKEN_COUNTS: f"{prompt_tokens},{output_tokens}",
            names.PROMPT_PARTS: prompt,
        },
    )


async def send(session, process, request_id, *parts, **sizes):
    """Send a generation; return its status, and 0 if its stream was truncated."""
    headers = crashing_headers(request_id, *parts, **sizes)
    try:
        async with session.post(
            process.url + "/draft/x", headers=headers, data=request_id.encode()
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


async def test_log_names_the_open_runs_of_a_crashed_server(session):
    async with deployment(engines=1) as platform:
        process = platform.gateways[0]
        platform.crashing_parts.add(BAD)
        sound = asyncio.create_task(
            send(session, process, "sound", "first", "rare", output_tokens=800)
        )
        await wait_until(lambda: platform.engines["engine-0"].runs)
        engine = platform.engines["engine-0"]
        await wait_until(lambda: engine.runs["sound"].event_count > 4)
        assert await send(session, process, "r1", "first", BAD) == 502
        assert await sound == 0
        await wait_until(lambda: log_records(process, "server_crashed"))
        (record,) = log_records(process, "server_crashed")
        assert record.server == "engine-0"
        starting, sound = record.open_runs
        assert starting.pop("request") != sound.pop("request")
        assert starting == {
            "request_id": "r1",
            "has_reply": True,
            "is_starting": True,
            "parts": [BAD, "first"],
        }
        assert sound == {
            "request_id": "sound",
            "has_reply": True,
            "is_starting": False,
            "parts": ["first", "rare"],
        }


async def test_end_of_a_reply_of_a_living_server_is_not_logged_as_a_crash(session):
    async with deployment(engines=1) as platform:
        process = platform.gateways[0]
        platform.engines["engine-0"].truncates_at_event = 1
        assert await send(session, process, "r1", "first", "rare") == 502
        await asyncio.sleep(0.2)
        assert not log_records(process, "server_crashed")


#: Time after a fact by which all gateways in touch must act on it.
CONTACT_S = 3.0
CRASHES_TO_STOP_AFTER = 5
SENT_ON_MAX = 3


async def send_crashing_requests(session, platform, duration_s):
    """Send requests with the part to all gateways in turn, no two alike."""
    tasks = []
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        number = len(tasks)
        process = platform.gateways[number % len(platform.gateways)]
        parts = (f"first{number % 2}", BAD) if number % 3 else (BAD, f"next{number}")
        tasks.append(
            asyncio.create_task(send(session, process, f"bad-{number}", *parts))
        )
        await asyncio.sleep(0.15)
    return await asyncio.gather(*tasks)


def arrivals_with(platform, part, after_s):
    return sum(
        at_s > after_s and f"{part}:" in headers[names.PROMPT_PARTS.lower()]
        for engine in platform.engines.values()
        for at_s, headers in zip(
            engine.received_at_s, engine.received_headers, strict=True
        )
    )


def sent_on_bound_s(platform):
    """Return the time after which requests with the part must not be sent on."""
    crash_times_s = sorted(platform.crash_times_s)
    if len(crash_times_s) < CRASHES_TO_STOP_AFTER:
        return float("inf")
    return crash_times_s[CRASHES_TO_STOP_AFTER - 1] + CONTACT_S


@pytest.mark.parametrize("was_sound", [False, True])
async def test_part_under_which_five_servers_crashed_is_sent_on_no_more(
    session, was_sound
):
    async with deployment(engines=6, gateways=3) as platform:
        if was_sound:
            process = platform.gateways[0]
            assert await send(session, process, "sound", "first0", BAD) == 200
        platform.crashing_parts.add(BAD)
        await send_crashing_requests(session, platform, CONTACT_S + 5.0)
        bound_s = sent_on_bound_s(platform)
        assert arrivals_with(platform, BAD, bound_s) <= SENT_ON_MAX
        statuses = [
            await send(session, platform.gateways[number % 3], f"s{number}", "first1")
            for number in range(6)
        ]
        assert statuses == [200] * 6


#: Parts that sound prompts share. 12 characters each, they fill a head of 16 KiB.
SHARED_PARTS = [f"{number:08x}" for number in range(1, 1800)]


async def send_long_prompts(session, platform, duration_s, parts_before):
    """Send prompts with the part behind others, and sound ones of the same length."""
    rng = random.Random(parts_before)
    bad, sound = [], []
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        number = len(bad)
        process = platform.gateways[number % len(platform.gateways)]
        parts = rng.sample(SHARED_PARTS, parts_before + 1)
        for kind, tasks, last in (("bad", bad, BAD), ("sound", sound, parts[-1])):
            sent = send(session, process, f"{kind}-{number}", *parts[:-1], last)
            tasks.append(asyncio.create_task(sent))
        await asyncio.sleep(0.15)
    await asyncio.gather(*bad)
    return await asyncio.gather(*sound)


# Guards against a part that is never found behind many others, wherever it stands.
@pytest.mark.parametrize("parts_before", [33, 300, 1250])
async def test_part_behind_many_others_is_sent_on_no_more(session, parts_before):
    async with deployment(engines=8, gateways=3) as platform:
        platform.crashing_parts.add(BAD)
        statuses = await send_long_prompts(
            session, platform, CONTACT_S + 4.0, parts_before
        )
        assert len(platform.crash_times_s) >= 3
        assert arrivals_with(platform, BAD, sent_on_bound_s(platform)) <= SENT_ON_MAX
        later = statuses[len(statuses) // 2 :]
        assert later.count(200) >= 0.9 * len(later)


async def test_log_lines_of_long_prompts_are_bounded(session):
    parts = SHARED_PARTS[:1250]
    async with deployment(engines=4) as platform:
        process = platform.gateways[0]
        platform.crashing_parts.add(BAD)
        for number in range(3):
            assert await send(session, process, f"bad-{number}", *parts, BAD) == 502
            await asyncio.sleep(0.1)
        # All parts stood together at all crashes.
        assert await send(session, process, "r1", *parts, BAD) == 503
        lines = process.metadata["lines"].records
        assert {"placed", "server_crashed", "quarantined", "quarantine_refused"} <= {
            line.getMessage() for line in lines
        }
        formatter = JsonFormatter()
        assert max(len(formatter.format(line)) for line in lines) < LOG_LINE_MAX_BYTES


async def crash_three_servers(session, platform):
    """Let three requests with the part crash a server each."""
    for number in range(3):
        process = platform.gateways[number % len(platform.gateways)]
        assert await send(session, process, f"bad-{number}", f"f{number}", BAD) == 502
        await asyncio.sleep(0.1)


async def test_gateway_that_starts_after_the_crashes_learns_of_them(session):
    async with deployment(engines=4, gateways=2) as platform:
        platform.crashing_parts.add(BAD)
        await crash_three_servers(session, platform)
        process = await platform.add_gateway("late", free_ports(4))
        await wait_until(lambda: not process.gateway.why_not_ready())
        await asyncio.sleep(0.5)
        assert await send(session, process, "late-1", "f9", BAD) == 503
        assert len(platform.crash_times_s) == 3


async def test_refusal_names_the_part_and_the_crashes(session):
    async with deployment(engines=4) as platform:
        platform.crashing_parts.add(BAD)
        process = platform.gateways[0]
        await crash_three_servers(session, platform)
        assert await send(session, process, "r1", "f9", BAD) == 503
        (record,) = log_records(process, "quarantine_refused")
        assert (record.request_id, record.traits) == ("r1", [BAD])
        assert len(record.crashes) == 3
        assert {"server", "service", "age_s"} == record.crashes[0].keys()
        assert await send(session, process, "r2", "f9", "rare") == 200


async def test_crashing_part_stays_refused_when_sound_runs_share_its_server(session):
    async with deployment(engines=5, gateways=2) as platform:
        platform.crashing_parts.add(BAD)
        sound = [
            asyncio.create_task(
                send(session, platform.gateways[n % 2], f"s{n}", "f0", f"rare{n}")
            )
            for n in range(8)
        ]
        await crash_three_servers(session, platform)
        await asyncio.gather(*sound)
        for number in range(4):
            process = platform.gateways[number % 2]
            assert (
                await send(session, process, f"t{number}", "f0", f"rare{number}") == 200
            )
            assert await send(session, process, f"u{number}", "f0", BAD) == 503


async def test_servers_that_end_without_a_run_to_blame_quarantine_nothing(session):
    async with deployment(engines=5) as platform:
        process = platform.gateways[0]
        for number in range(3):
            engine = platform.engines[f"engine-{number}"]
            stream = asyncio.create_task(
                send(session, process, f"s{number}", "f0", "rare", output_tokens=400)
            )
            await wait_until(
                lambda number=number: any(
                    f"s{number}" in each.runs
                    and each.runs[f"s{number}"].event_count > 5
                    for each in platform.engines.values()
                )
            )
            await engine.crash()
            await stream
        assert await send(session, process, "r1", "f0", "rare") == 200
        assert not log_records(process, "quarantined")


# Guards against three engines that crash at once for another reason: all generations
# with the part that their prompts share were refused for a minute.
async def test_engines_that_crash_at_once_quarantine_nothing(session):
    spec = EngineSpec(prefill_tokens_per_s=1000.0)
    async with deployment(engines=6, gateways=2, engine_spec=spec) as platform:
        running = []
        for number in range(24):
            process = platform.gateways[number % 2]
            tokens = 100 if number < 12 else 1500
            stream = send(
                session, process, f"s{number}", "f0", "rare", prompt_tokens=tokens
            )
            running.append(asyncio.create_task(stream))
            await asyncio.sleep(0.03)
        await asyncio.gather(*running[:12])
        busy = [engine for engine in platform.engines.values() if engine.runs]
        await asyncio.gather(*(engine.crash() for engine in busy[:3]))
        await wait_until(lambda: count_crashes(platform) >= 3)
        for number, process in enumerate(platform.gateways):
            status = await send(session, process, f"t{number}", "f0", "rare")
            assert status == 200
            assert not log_records(process, "quarantined")
        await asyncio.gather(*running)


def count_crashes(platform):
    """Return how many servers the gateways hold to have crashed, together."""
    return len(
        {
            record.server
            for process in platform.gateways
            for record in log_records(process, "server_crashed")
        }
    )


async def test_quarantine_outlasts_a_restart_of_all_gateways(session):
    async with deployment(engines=4, gateways=2) as platform:
        platform.crashing_parts.add(BAD)
        await crash_three_servers(session, platform)
        await wait_until(lambda: platform.store.keyspace.get(CRASHES_KEY).item)
        for process in platform.gateways:
            await process.gateway.stop()
        platform.gateways.clear()
        restarted = await platform.add_gateway("gateway-0", free_ports(4))
        await wait_until(lambda: not restarted.gateway.why_not_ready())
        assert await send(session, restarted, "r1", "f9", BAD) == 503
        assert len(platform.crash_times_s) == 3


async def test_request_that_waits_at_a_server_is_withdrawn_before_it_crashes_it(
    session,
):
    spec = EngineSpec(prefill_tokens_per_s=1000.0)
    async with deployment(engines=6, gateways=2, engine_spec=spec) as platform:
        platform.crashing_parts.add(BAD)
        waiting = [
            asyncio.create_task(
                send(session, process, f"w{n}", "f7", BAD, prompt_tokens=4000)
            )
            for n, process in enumerate(platform.gateways)
        ]
        await wait_until(
            lambda: sum(len(each.runs) for each in platform.engines.values()) == 2
        )
        await crash_three_servers(session, platform)
        assert set(await asyncio.gather(*waiting)) == {502}
        assert len(platform.crash_times_s) == 3
