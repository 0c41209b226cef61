"""State of an active stream, shared by `StreamRelay` and `RunMover`."""

import asyncio
import time

from attrs import define, field, frozen

from boragespring.fleet import BackendServer
from boragespring.fleet.model import RunLoad
from boragespring.forwarding.jobs import Job
from boragespring.forwarding.progress import RequestStage
from boragespring.http.reply_end import ReplyFraming

__all__ = ["Handover", "RunningStream"]


@frozen
class Handover:
    """Copy and server with which a stopped run continues."""

    source: BackendServer
    target: BackendServer
    copy_id: str


@define(eq=False)
class RunningStream:
    """State of one active stream and of its run on a backend server.

    Parameters
    ----------
    job : Job
        Validated request.
    server : BackendServer
        Server on which the run currently executes.
    load : RunLoad
        Load of the run as counted at that server.
    last_event_id : str
        Identifier of the last event sent to the caller; empty for none.
    events, moves : int
        Number of events received and of moves completed.
    handover : asyncio.Future or None
        Result of a move whose run is being stopped; None otherwise.
    is_stopping : bool
        Whether the server was asked to stop the run for a move and has not stated
        that it did not.
    is_reply_broken : bool
        Whether the reply of the current server ended without completing the stream.
        No further move of the run is begun or continued then.
    copy_lock : asyncio.Lock
        Held during each copy, as a server makes one copy of a run at a time.
    target : BackendServer or None
        Server to which the run is being moved; its load already includes the run.
    fallback : Handover or None
        Latest copy of the run, used if its server has ended the run before the move
        ends.
    move_after_s : float
        Monotonic time in seconds before which no further move is attempted.
    first_event_at_s : float
        Monotonic time in seconds of the first event; infinite before it.
    longest_pause_s : float
        Longest time in seconds between two consecutive events.
    reply_framing : ReplyFraming
        How the latest reply of a server marks its end.
    unterminated_bytes : int
        Number of bytes after the last complete event of the latest reply.
    """

    job: Job
    server: BackendServer
    load: RunLoad
    last_event_id: str = ""
    events: int = 0
    moves: int = 0
    handover: asyncio.Future[Handover | None] | None = None
    is_stopping: bool = False
    is_reply_broken: bool = False
    copy_lock: asyncio.Lock = field(factory=asyncio.Lock)
    target: BackendServer | None = None
    fallback: Handover | None = None
    move_after_s: float = float("-inf")
    first_event_at_s: float = float("inf")
    longest_pause_s: float = 0.0
    reply_framing: ReplyFraming = ReplyFraming.LENGTH
    unterminated_bytes: int = 0
    _last_event_at_s: float = float("inf")

    @property
    def server_id(self) -> str:
        """Identifier of the server on which the run currently executes."""
        return self.server.server_id

    @property
    def stage(self) -> RequestStage:
        """What the stream is waiting for."""
        if self.is_stopping or self.is_reply_broken:
            return RequestStage.BETWEEN_SERVERS
        if not self.is_started:
            return RequestStage.SENT
        return RequestStage.ANSWERING if self.target is None else RequestStage.MOVING

    def silent_s(self, now_s: float) -> float:
        """Return the time in seconds since the last event, or since it was sent."""
        return now_s - (self._last_event_at_s if self.events else self.load.sent_at_s)

    @property
    def tokens_per_event(self) -> int:
        """Number of tokens in one event."""
        engine = self.job.service.engine
        return engine.tokens_per_event if engine is not None else 1

    @property
    def is_started(self) -> bool:
        """Whether the first event has arrived."""
        return self.events > 0

    @property
    def has_delivered_events(self) -> bool:
        """Whether the caller has events of the stream, also of earlier requests."""
        return self.is_started or bool(self.last_event_id)

    @property
    def memory_tokens(self) -> int:
        """Number of tokens of the run that are held in the server's memory."""
        return self.load.prompt_tokens + self.load.produced_tokens

    @property
    def tokens_left(self) -> float:
        """Number of tokens still expected to be generated."""
        return max(0.0, self.load.output_tokens - self.load.produced_tokens)

    def record_event(self, event_id: str) -> bool:
        """Record an event; return False if the caller has already received it."""
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
        """Record that the run continues on another server."""
        self.server = target
        self.target = None
        self.handover = None
        self.is_stopping = False
        self.is_reply_broken = False
        self.fallback = None
        self.move_after_s = float("-inf")
        self.moves += 1


def _is_later(event_id: str, last_event_id: str) -> bool:
    both = event_id + last_event_id
    if not (event_id and last_event_id and both.isascii() and both.isdecimal()):
        return event_id != last_event_id
    # The number of digits has no limit here, other than for an integer.
    return _decimal_rank(event_id) > _decimal_rank(last_event_id)


def _decimal_rank(text: str) -> tuple[int, str]:
    """Return what orders texts of decimal digits as the numbers that they stand for."""
    digits = text.lstrip("0")
    return len(digits), digits
