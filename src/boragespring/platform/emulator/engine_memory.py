"""Preempt the runs of an emulated engine while its KV cache is full."""

import asyncio
from typing import TYPE_CHECKING

from boragespring.platform.emulator.engine_run import EngineRun

if TYPE_CHECKING:
    from boragespring.platform.emulator.engine import EmulatedEngine

__all__ = ["wait_while_preempted"]


async def wait_while_preempted(engine: "EmulatedEngine", run: EngineRun) -> None:
    """Preempt a run if it is the newest one and the KV cache is full.

    The only active run is never preempted. Return when the cache has room for the run
    and its tokens are prefilled again.
    """
    if not _must_wait_for_memory(engine, run):
        return
    run.is_preempted = True
    run.pause()
    engine.preemptions += 1
    while _must_wait_for_memory(engine, run):  # noqa: ASYNC110
        await asyncio.sleep(engine.spec.event_interval_s)
    run.resume()
    prefill_s = run.token_count(engine.spec) / engine.spec.prefill_tokens_per_s
    await asyncio.sleep(prefill_s)
    run.is_preempted = False


def _must_wait_for_memory(engine: "EmulatedEngine", run: EngineRun) -> bool:
    used_tokens = engine.used_tokens
    if run.is_preempted:
        return used_tokens + run.token_count(engine.spec) > engine.spec.memory_tokens
    return used_tokens > engine.spec.memory_tokens and run is _newest_run(engine)


def _newest_run(engine: "EmulatedEngine") -> EngineRun | None:
    running = [run for run in engine.runs.values() if not run.is_preempted]
    return running[-1] if len(running) > 1 else None
