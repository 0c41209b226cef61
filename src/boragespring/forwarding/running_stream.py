"""A stream on its way, as the carrier and the mover of its run share it."""

import asyncio
import time

from attrs import define, frozen

from boragespring.fleet import BackendServer
from boragespring.fleet.model import RunLoad
from boragespring.forwarding.jobs import Job

__all__ = ["Handover", "RunningStream"]


@frozen
class Handover:
    """Place where a stopped run goes on."""

    source: BackendServer
    target: BackendServer
    copy_id: str


@define(eq=False)
class RunningStream:
    """Progress of one stream.

    Parameters
    ----------
    job : Job
        The request.
    server : BackendServer
        Server that runs it now.
    load : RunLoad
        Its load there, as the dispatch has entered it.
    target : BackendServer or None
        Server that the run is being moved to; it counts the run already.
    fallback : Handover or None
        Where a copy of the run lies that could go on if its server ended now.
    move_after_s : float
        Monotonic time before which no further move is tried.
    """

    job: Job
    server: BackendServer
    load: RunLoad
    last_event_id: str = ""
    events: int = 0
    moves: int = 0
    handover: asyncio.Future[Handover | None] | None = None
    target: BackendServer | None = None
    fallback: Handover | None = None
    move_after_s: float = float("-inf")
    first_event_at_s: float = float("inf")
    longest_pause_s: float = 0.0
    _last_event_at_s: float = float("inf")

    @property
    def tokens_per_event(self) -> int:
        """Tokens that one event holds."""
        engine = self.job.service.engine
        return engine.tokens_per_event if engine is not None else 1

    @property
    def is_started(self) -> bool:
        """Whether the first event has arrived."""
        return self.events > 0

    @property
    def memory_tokens(self) -> int:
        """Tokens that the run holds in its server's memory now."""
        return self.load.prompt_tokens + self.load.produced_tokens

    @property
    def tokens_left(self) -> float:
        """Tokens that are still expected."""
        return max(0.0, self.load.output_tokens - self.load.produced_tokens)

    def record_event(self, event_id: str) -> bool:
        """Count an event; return False when the caller already has it."""
        if event_id and not _is_later(event_id, self.last_event_id):
            return False
        if event_id:
            self.last_event_id = event_id
        self.events += 1
        self._record_time(time.monotonic())
        self.load.produced_tokens += self.tokens_per_event
        return True

    def _record_time(self, now_s: float) -> None:
        if self.events == 1:
            self.first_event_at_s = now_s
        else:
            pause_s = now_s - self._last_event_at_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_event_at_s = now_s

    def record_move(self, target: BackendServer) -> None:
        """Note that the run goes on elsewhere."""
        self.server = target
        self.target = None
        self.handover = None
        self.fallback = None
        self.move_after_s = float("-inf")
        self.moves += 1


def _is_later(event_id: str, last_event_id: str) -> bool:
    if not (event_id.isdecimal() and last_event_id.isdecimal()):
        return event_id != last_event_id
    return int(event_id) > int(last_event_id)
