"""Copies of the memory of runs between emulated engines."""

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web
from attrs import evolve

from boragespring.platform.emulator.engine_run import EngineRun, RunCopy

if TYPE_CHECKING:
    from boragespring.platform.emulator.engine import EmulatedEngine

__all__ = ["free_copies", "move_run"]


async def move_run(engine: "EmulatedEngine", body: dict[str, Any]) -> web.Response:
    """Copy the memory of a run to another engine, and stop the run at the last copy.

    Parameters
    ----------
    engine : EmulatedEngine
        Engine that has the run.
    body : dict
        Request for the copy in the platform's spelling.
    """
    run = engine.runs.get(body["id"])
    if run is None or not run.event_count or run.is_preempted:
        return web.json_response({}, status=404)
    target = engine.peers.get(body["target"])
    if target is None or target.refuses_copies:
        return web.json_response({}, status=503)
    existing = target.copies.get(run.run_id)
    new_tokens = run.token_count(engine.spec) - (
        existing.run.token_count(engine.spec) if existing else 0
    )
    if target.used_tokens + new_tokens > target.spec.memory_tokens:
        return web.json_response({}, status=503)
    if body.get("last"):
        run.stop_for_move()
    async with engine.transfer_lock:
        overhead_s = engine.spec.final_copy_overhead_s if body.get("last") else 0.0
        await asyncio.sleep(new_tokens * engine.spec.copy_s_per_token + overhead_s)
    copied = EngineRun(
        run.run_id, run.prompt_tokens, run.event_count_max, run.event_count
    )
    new_id = f"{engine.server_id}-c{next(engine.copy_numbers)}"
    copy_id = existing.copy_id if existing else new_id
    target.copies[run.run_id] = RunCopy(copy_id, copied)
    if body.get("last"):
        # The memory of a stopped run also stays here until the copy is used.
        engine.copies[run.run_id] = RunCopy(copy_id, evolve(copied))
    return web.json_response({"handle": copy_id, "created": run.event_count})


def free_copies(engine: "EmulatedEngine", copy_id: str) -> None:
    """Free a copy on all engines that one moves runs to."""
    for peer in engine.peers.values():
        for run_id, copy in list(peer.copies.items()):
            if copy.copy_id == copy_id:
                del peer.copies[run_id]
