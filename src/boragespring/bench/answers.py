"""Cost of claims, time to resume and memory of kept answers."""

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
DEATH_ROUNDS = 20
STREAM_TOKENS = 2_000
TOKENS_BEFORE = 5
CLAIM_RATES_PER_S = (10, 100, 1000)
CLAIM_TIME_S = 5.0
STORE_DELAY_S = 0.003
KEPT_ANSWERS = 500
KEPT_TOKENS = 300
MS_PER_S = 1000.0


@frozen
class _Arrival:
    """Tokens that arrived with one event."""

    at_s: float
    event_id: str


def run() -> None:
    """Measure and print."""
    asyncio.run(_run())
    claim_fleet.run()


async def _run() -> None:
    deadline_s = fault_settings().links.heartbeat_deadline_s
    target_ms = (deadline_s + RESUME_MARGIN_S) * MS_PER_S
    _print_times("resume after a silent link", await _silent_links(), target_ms)
    _print_times("resume after an entry's death", await _dead_entries(), target_ms)
    for rate_per_s in CLAIM_RATES_PER_S:
        await _claims(rate_per_s)
    _memory()


def _settings() -> LocalSettings:
    core = EngineCoreSettings(token_interval_s=0.004, memory_tokens=500_000)
    return attrs.evolve(fault_settings(), core=core)


def _print_times(name: str, times_s: list[float], target_ms: float) -> None:
    p50, p99 = (percentile(times_s, share) * MS_PER_S for share in (0.50, 0.99))
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


async def _read(
    session: aiohttp.ClientSession, url: str, arrivals: list[_Arrival]
) -> None:
    async for arrival in _stream(session, url):
        arrivals.append(arrival)


async def _silent_links() -> list[float]:
    """Return, for each stream, the pause that a silent link causes."""
    pauses_s: list[float] = []
    for _ in range(SILENCE_ROUNDS):
        async with (
            FaultDeployment(_settings()) as deployment,
            aiohttp.ClientSession() as session,
        ):
            await deployment.wait_ready()
            url = deployment.entry_url(0) or ""
            streams: list[list[_Arrival]] = [[] for _ in range(STREAMS_PER_ROUND)]
            tasks = [asyncio.create_task(_read(session, url, s)) for s in streams]
            for stream in streams:
                await _until(functools.partial(_has_begun, stream))
            for relay in deployment.relays.values():
                relay.silence()
            silent_s = time.monotonic()
            await asyncio.sleep(deployment.settings.links.heartbeat_deadline_s * 4)
            pauses_s.extend(_pause(stream, silent_s) for stream in streams)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    return pauses_s


def _pause(stream: list[_Arrival], silent_s: float) -> float:
    """Return the longest time without a token after the link went silent."""
    times_s = [silent_s, *(a.at_s for a in stream if a.at_s > silent_s)]
    times_s.append(time.monotonic())
    return max(late - early for early, late in itertools.pairwise(times_s))


async def _dead_entries() -> list[float]:
    """Return the times from an entry's death to the next token elsewhere."""
    times_s: list[float] = []
    for _ in range(DEATH_ROUNDS):
        async with (
            FaultDeployment(_settings()) as deployment,
            aiohttp.ClientSession() as session,
        ):
            await deployment.wait_ready()
            first, second = (deployment.entry_url(n) or "" for n in range(2))
            arrivals: list[_Arrival] = []
            task = asyncio.create_task(_read(session, first, arrivals))
            await _until(functools.partial(_has_begun, arrivals))
            killed_s = time.monotonic()
            await deployment.hosted_entries["entry-0"].kill()
            await asyncio.gather(task, return_exceptions=True)
            rest = _stream(session, second, arrivals[-1].event_id)
            times_s.append((await anext(rest)).at_s - killed_s)
    return times_s


def _has_begun(arrivals: list[_Arrival]) -> bool:
    return len(arrivals) > TOKENS_BEFORE


async def _until(is_true: Callable[[], bool]) -> None:
    while not is_true():  # noqa: ASYNC110
        await asyncio.sleep(0.005)


async def _claims(rate_per_s: int) -> None:
    standin = StoreStandIn()
    await standin.start()
    standin.faults.delay_s = STORE_DELAY_S
    store = EtcdStore(EtcdSettings(urls=(standin.url,)))
    writer = GroupWriter(store, GroupSettings())
    claims = ClaimStore(store, writer, ClaimSettings())
    await claims.put("warm", new_record(b"", "agent", 1, b""), ABSENT_REVISION)
    calls, times_s = writer.calls, []
    started_s, tasks = time.monotonic(), []
    for number in range(int(rate_per_s * CLAIM_TIME_S)):
        await asyncio.sleep(
            max(0.0, started_s + number / rate_per_s - time.monotonic())
        )
        tasks.append(asyncio.create_task(_claim(claims, number)))
    times_s = await asyncio.gather(*tasks)
    per_claim = (writer.calls - calls) / len(tasks)
    p50, p99 = (percentile(times_s, share) * MS_PER_S for share in (0.50, 0.99))
    print(
        f"claims at {rate_per_s}/s: {per_claim:.3f} write calls each, claim and"
        f" outcome; added p50 {p50:.1f} ms p99 {p99:.1f} ms (store {STORE_DELAY_S} s)"
    )
    await writer.close()
    await store.close()
    await standin.stop()


async def _claim(claims: ClaimStore, number: int) -> float:
    started_s = time.monotonic()
    key = claim_key("coop", "app", str(number))
    record = new_record(b"digest", "agent", 1, b"a" * 16)
    claim = await claims.put(key, record, ABSENT_REVISION)
    took_s = time.monotonic() - started_s
    answer = ServiceAnswered(b"a" * 16, 200, {}, b"{}")
    await claims.record_outcome(key, record.with_outcome(answer, 4096), claim.revision)
    return took_s


def _memory() -> None:
    answer_registry = AnswerRegistry(AnswerSettings(), Dispatcher())
    gc.collect()
    tracemalloc.start()
    for number in range(KEPT_ANSWERS):
        answer = answer_registry.open(
            number.to_bytes(16, "big"), "generation", "coop", 256
        )
        for token in range(KEPT_TOKENS):
            answer.append((f" t{token}",))
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    each_bytes = used_bytes / KEPT_ANSWERS
    print(
        f"kept answer of {KEPT_TOKENS} tokens: {each_bytes:.0f} bytes,"
        f" {each_bytes / KEPT_TOKENS:.1f} a token;"
        f" counted {answer_registry.memory_budget.used_bytes / KEPT_ANSWERS:.0f}"
    )
