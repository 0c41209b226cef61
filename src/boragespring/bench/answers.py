"""Benchmark resuming answers, writing claims and buffering answers."""

import asyncio
import functools
import gc
import itertools
import json
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs
from attrs import frozen

from boragespring.answers import AnswerRegistry
from boragespring.answers.messages import ServiceAnswered
from boragespring.bench import claim_fleet
from boragespring.bench.streams import percentile
from boragespring.claims import ClaimStore, GroupSettings, GroupWriter
from boragespring.claims.record import claim_key, new_record
from boragespring.faults import FaultDeployment, fault_settings
from boragespring.links import Dispatcher
from boragespring.local import LOCAL_API_KEY, LOCAL_MODEL, LocalSettings
from boragespring.settings import ClaimSettings
from boragespring.settings.agent import AnswerSettings
from boragespring.standins import EngineCoreSettings
from boragespring.standins.store import StoreStandIn
from boragespring.store import EtcdSettings, EtcdStore
from boragespring.store.store import ABSENT_REVISION

__all__ = ["run"]

RESUME_MARGIN_S = 0.1
SILENCE_ROUNDS = 12
STREAMS_PER_ROUND = 8
CRASH_ROUNDS = 20
STREAM_TOKENS = 2_000
TOKENS_BEFORE_FAULT = 5
CLAIM_RATES_PER_S = (10, 100, 1000)
CLAIM_DURATION_S = 5.0
STORE_DELAY_S = 0.003
BUFFERED_ANSWERS = 500
BUFFERED_TOKENS = 300
MS_PER_S = 1000.0


@frozen
class _Arrival:
    """Arrival of one event of a stream."""

    arrival_s: float
    event_id: str


def run() -> None:
    """Run all measurements and print the results."""
    asyncio.run(_run())
    claim_fleet.run()


async def _run() -> None:
    deadline_s = fault_settings().links.heartbeat_deadline_s
    target_ms = (deadline_s + RESUME_MARGIN_S) * MS_PER_S
    _print_times("resume after a silent link", await _measure_link_silence(), target_ms)
    _print_times(
        "resume after an entry crash", await _measure_entry_crashes(), target_ms
    )
    for rate_per_s in CLAIM_RATES_PER_S:
        await _measure_claims(rate_per_s)
    _measure_answer_memory()


def _settings() -> LocalSettings:
    core = EngineCoreSettings(token_interval_s=0.004, memory_tokens=500_000)
    return attrs.evolve(fault_settings(), core=core)


def _print_times(name: str, times_s: list[float], target_ms: float) -> None:
    p50, p99 = (percentile(times_s, fraction) * MS_PER_S for fraction in (0.50, 0.99))
    verdict = "met" if p99 <= target_ms else "MISSED"
    print(
        f"{name}: n={len(times_s)} p50 {p50:.0f} ms p99 {p99:.0f} ms"
        f" (target p99 <= {target_ms:.0f} ms: {verdict})"
    )


async def _stream(
    session: aiohttp.ClientSession, url: str, last_event_id: str = ""
) -> AsyncIterator[_Arrival]:
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
    if last_event_id:
        headers["Last-Event-ID"] = last_event_id
    body = {
        "model": LOCAL_MODEL,
        "prompt": "p",
        "stream": True,
        "max_tokens": STREAM_TOKENS,
        "standin_output_tokens": STREAM_TOKENS,
    }
    address = f"{url}/v1/completions"
    async with session.post(address, data=json.dumps(body), headers=headers) as answer:
        answer.raise_for_status()
        async for line in answer.content:
            if line.startswith(b"id: "):
                yield _Arrival(time.monotonic(), line[4:].decode().strip())


async def _record_arrivals(
    session: aiohttp.ClientSession, url: str, arrivals: list[_Arrival]
) -> None:
    async for arrival in _stream(session, url):
        arrivals.append(arrival)


async def _measure_link_silence() -> list[float]:
    """Return the longest gap of each stream around the silence of its link."""
    gaps_s: list[float] = []
    for _ in range(SILENCE_ROUNDS):
        async with (
            FaultDeployment(_settings()) as deployment,
            aiohttp.ClientSession() as session,
        ):
            await deployment.wait_ready()
            url = deployment.entry_url(0) or ""
            streams: list[list[_Arrival]] = [[] for _ in range(STREAMS_PER_ROUND)]
            tasks = [
                asyncio.create_task(_record_arrivals(session, url, arrivals))
                for arrivals in streams
            ]
            for stream in streams:
                await _wait_until(functools.partial(_has_started, stream))
            for relay in deployment.relays.values():
                relay.silence()
            silenced_s = time.monotonic()
            await asyncio.sleep(deployment.settings.links.heartbeat_deadline_s * 4)
            gaps_s.extend(_longest_gap_s(stream, silenced_s) for stream in streams)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    return gaps_s


def _longest_gap_s(stream: list[_Arrival], silenced_s: float) -> float:
    """Return the longest time without an event since the link went silent."""
    times_s = [
        silenced_s,
        *(arrival.arrival_s for arrival in stream if arrival.arrival_s > silenced_s),
    ]
    times_s.append(time.monotonic())
    return max(later - earlier for earlier, later in itertools.pairwise(times_s))


async def _measure_entry_crashes() -> list[float]:
    """Return the times from an entry crash to the next token from another entry."""
    times_s: list[float] = []
    for _ in range(CRASH_ROUNDS):
        async with (
            FaultDeployment(_settings()) as deployment,
            aiohttp.ClientSession() as session,
        ):
            await deployment.wait_ready()
            first, second = (deployment.entry_url(number) or "" for number in range(2))
            arrivals: list[_Arrival] = []
            task = asyncio.create_task(_record_arrivals(session, first, arrivals))
            await _wait_until(functools.partial(_has_started, arrivals))
            killed_s = time.monotonic()
            await deployment.hosted_entries["entry-0"].kill()
            await asyncio.gather(task, return_exceptions=True)
            resumed_stream = _stream(session, second, arrivals[-1].event_id)
            times_s.append((await anext(resumed_stream)).arrival_s - killed_s)
    return times_s


def _has_started(arrivals: list[_Arrival]) -> bool:
    return len(arrivals) > TOKENS_BEFORE_FAULT


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.005)


async def _measure_claims(rate_per_s: int) -> None:
    standin = StoreStandIn()
    await standin.start()
    standin.faults.delay_s = STORE_DELAY_S
    store = EtcdStore(EtcdSettings(urls=(standin.url,)))
    writer = GroupWriter(store, GroupSettings())
    claims = ClaimStore(store, writer, ClaimSettings())
    await claims.put("warm", new_record(b"", "agent", 1, b""), ABSENT_REVISION)
    calls_before, times_s = writer.calls, []
    started_s, tasks = time.monotonic(), []
    for number in range(int(rate_per_s * CLAIM_DURATION_S)):
        await asyncio.sleep(
            max(0.0, started_s + number / rate_per_s - time.monotonic())
        )
        tasks.append(asyncio.create_task(_claim(claims, number)))
    times_s = await asyncio.gather(*tasks)
    calls_per_claim = (writer.calls - calls_before) / len(tasks)
    p50, p99 = (percentile(times_s, fraction) * MS_PER_S for fraction in (0.50, 0.99))
    print(
        f"claims at {rate_per_s}/s: {calls_per_claim:.3f} write calls for claim and"
        f" outcome; latency p50 {p50:.1f} ms p99 {p99:.1f} ms"
        f" (store delay {STORE_DELAY_S} s)"
    )
    await writer.close()
    await store.close()
    await standin.stop()


async def _claim(claims: ClaimStore, number: int) -> float:
    started_s = time.monotonic()
    key = claim_key("coop", "app", str(number))
    record = new_record(b"digest", "agent", 1, b"a" * 16)
    claim = await claims.put(key, record, ABSENT_REVISION)
    latency_s = time.monotonic() - started_s
    answer = ServiceAnswered(b"a" * 16, 200, {}, b"{}")
    await claims.record_outcome(key, record.with_outcome(answer, 4096), claim.revision)
    return latency_s


def _measure_answer_memory() -> None:
    answer_registry = AnswerRegistry(AnswerSettings(), Dispatcher())
    gc.collect()
    tracemalloc.start()
    for number in range(BUFFERED_ANSWERS):
        answer = answer_registry.open(
            number.to_bytes(16, "big"), "generation", "coop", 256
        )
        for token in range(BUFFERED_TOKENS):
            answer.append((f" t{token}",))
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    bytes_per_answer = used_bytes / BUFFERED_ANSWERS
    print(
        f"buffered answer of {BUFFERED_TOKENS} tokens: {bytes_per_answer:.0f} bytes,"
        f" {bytes_per_answer / BUFFERED_TOKENS:.1f} per token;"
        f" accounted {answer_registry.memory_budget.used_bytes / BUFFERED_ANSWERS:.0f}"
    )
