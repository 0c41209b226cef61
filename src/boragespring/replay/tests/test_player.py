from collections import Counter

import aiohttp
from attrs import evolve

from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
)
from boragespring.replay import TraceRequest, TraceSettings, generate_trace
from boragespring.replay.player import TracePlayer, TracePlayerSettings
from boragespring.standins import EngineCoreSettings, EngineDialect

FAST_CORE = EngineCoreSettings(
    memory_tokens=8_000, token_interval_s=0.001, token_interval_per_run_s=0
)


async def wait_until_ready(url):
    async with aiohttp.ClientSession() as session:
        while True:
            async with session.get(f"{url}/readyz") as response:
                if response.status == 200:
                    return


async def test_replay_matches_the_ledgers_of_engines_and_services():
    trace = generate_trace(TraceSettings(duration_s=2.0, demand=0.3, seed=2))
    trace = [evolve(r, output_tokens=min(r.output_tokens, 60)) for r in trace]
    oversized_request = TraceRequest(
        2.0, "w", prompt_tokens=9_000, output_tokens=5, max_tokens=5
    )
    trace.append(oversized_request)
    dialects = (EngineDialect.VLLM, EngineDialect.SGLANG)
    ended = Counter()
    async with LocalDeployment(
        LocalSettings(dialects=dialects, core=FAST_CORE)
    ) as running:
        url = running.entries["entry-0"].url
        await wait_until_ready(url)
        settings = TracePlayerSettings((url,), api_key=LOCAL_API_KEY, model=LOCAL_MODEL)
        player = TracePlayer(settings, lambda: ended.update(["requests"]))
        records = await player.play(trace)
        runs = [run for engine in running.engines for run in engine.ledger]
        calls = [call for service in running.services for call in service.ledger]
    assert ended["requests"] == len(trace)
    outcomes = Counter(record.outcome for record in records)
    assert outcomes == {"ok": len(trace) - 1, "exceeds_memory": 1}
    generations = [r for r in trace[:-1] if not r.service]
    assert sorted(run.produced_tokens for run in runs) == sorted(
        r.output_tokens for r in generations
    )
    assert all(run.state == "complete" for run in runs)
    tokens = sum(len(record.token_times_s) for record in records)
    assert tokens == sum(r.output_tokens for r in generations)
    assert len(calls) == len(trace) - 1 - len(generations)
    assert len({run.prompt[:200] for run in runs}) < len(runs)
