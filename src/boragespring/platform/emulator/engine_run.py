"""Generations on an emulated engine."""

import asyncio

from attrs import define

from boragespring.platform.emulator.crash_point import CrashPoint
from boragespring.platform.emulator.engine_spec import EngineSpec
from boragespring.platform.emulator.server_work import ServerWork

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
    work: ServerWork | None = None

    def resume(self) -> None:
        """Begin to work on the run, or go on."""
        if self.work is not None:
            self.work.resume()

    def pause(self) -> None:
        """Do not work on the run for now."""
        if self.work is not None:
            self.work.pause()

    def end(self) -> None:
        """Have done with the run."""
        if self.work is not None:
            self.work.end()

    def stop_for_move(self) -> None:
        """Generate no further event, as the run goes on elsewhere."""
        self.is_moved = True
        self.pause()

    def token_count(self, spec: EngineSpec) -> int:
        """Return the number of tokens that the run keeps in memory."""
        return self.prompt_tokens + self.event_count * spec.tokens_per_event


@define(eq=False)
class RunCopy:
    """KV cache of a run that was copied from another engine."""

    copy_id: str
    run: EngineRun
