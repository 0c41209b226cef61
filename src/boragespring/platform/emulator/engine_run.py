"""Generations on an emulated engine."""

import asyncio

from attrs import define

from boragespring.platform.emulator.crash_point import CrashPoint
from boragespring.platform.emulator.engine_spec import EngineSpec

__all__ = ["EngineRun", "RunCopy"]


@define(eq=False)
class EngineRun:
    """Generation in progress; `event_count` is the number of generated events."""

    run_id: str
    prompt_tokens: int
    event_count_max: int
    event_count: int = 0
    is_moved: bool = False
    is_preempted: bool = False
    crash_point: CrashPoint | None = None
    transport: asyncio.Transport | None = None

    def token_count(self, spec: EngineSpec) -> int:
        """Return the number of tokens that the run keeps in memory."""
        return self.prompt_tokens + self.event_count * spec.tokens_per_event


@define(eq=False)
class RunCopy:
    """KV cache of a run that was copied from another engine."""

    copy_id: str
    run: EngineRun
