"""Tickets, which represent requests in admission control."""

import asyncio
from collections.abc import Callable
from enum import StrEnum

from attrs import define, field

from boragespring.admission.lengths import LengthModel, bucket_of

__all__ = ["Ticket", "TicketState", "TrafficClass"]


class TrafficClass(StrEnum):
    """Traffic class of a request, ordered from the most urgent."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"

    @classmethod
    def from_name(cls, name: str) -> "TrafficClass":
        """Return the class with the given name, or standard if it is unknown.

        A process with newer lists may send a class that is unknown here.
        """
        return cls(name) if name in _NAMES else cls.STANDARD

    @property
    def rank(self) -> int:
        """Rank of the class; 0 is the most urgent."""
        return _RANKS[self]


_NAMES = frozenset(TrafficClass)
_RANKS = {name: rank for rank, name in enumerate(TrafficClass)}


class TicketState(StrEnum):
    """Lifecycle state of a ticket."""

    NEW = "new"
    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"


@define(eq=False)
class Ticket:
    """Request from its arrival at the agent until its end.

    Parameters
    ----------
    workspace : str
        Workspace to which the request is charged.
    traffic_class : TrafficClass
        Traffic class, which determines the urgency.
    prompt_tokens : int
        Estimated number of prompt tokens.
    max_tokens : int
        Maximum number of tokens to produce; 0 for calls to plain services.
    weight : float
        Weight of the workspace's plan in the fair queue.
    deadline_s : float or None
        Monotonic time in seconds by which the answer must be complete.

    Attributes
    ----------
    state : TicketState
        Current lifecycle state.
    queued_at_s : float
        Time at which the request was queued.
    admitted_at_s : float or None
        Time at which the request was admitted.
    produced_tokens : int
        Number of tokens produced so far.
    expected_tokens : float
        Expected number of output tokens, estimated on arrival.
    charged_tokens : float
        Tokens charged to the workspace in the fair queue.
    overtaken_count : int
        Number of later requests admitted while this one did not fit.
    bucket : int
        Bucket of the number of produced tokens in the length model.
    model : LengthModel
        Model of the output length.
    admitted : asyncio.Future or None
        Completed on admission, or failed on refusal.
    on_finish, on_first_token : callable or None
        Called with the ticket when it finishes and before its first token is
        recorded.
    """

    workspace: str
    traffic_class: TrafficClass
    prompt_tokens: int
    max_tokens: int
    weight: float = 1.0
    deadline_s: float | None = None
    state: TicketState = field(init=False, default=TicketState.NEW)
    queued_at_s: float = field(init=False, default=0.0)
    admitted_at_s: float | None = field(init=False, default=None)
    produced_tokens: int = field(init=False, default=0)
    expected_tokens: float = field(init=False, default=0.0)
    charged_tokens: float = field(init=False, default=0.0)
    overtaken_count: int = field(init=False, default=0)
    bucket: int = field(init=False, default=0)
    model: LengthModel = field(init=False, factory=LengthModel)
    admitted: "asyncio.Future[None] | None" = field(init=False, default=None)
    on_finish: "Callable[[Ticket], None] | None" = field(init=False, default=None)
    on_first_token: "Callable[[Ticket], None] | None" = field(init=False, default=None)

    @property
    def was_admitted(self) -> bool:
        """Whether the request has been admitted to the backend server."""
        return self.admitted_at_s is not None

    @property
    def held_tokens(self) -> int:
        """Memory in tokens that the request occupies in the engine."""
        return self.prompt_tokens + self.produced_tokens

    @property
    def footprint_tokens(self) -> float:
        """Expected memory in tokens at the end; 1 for calls to plain services."""
        return max(1.0, self.prompt_tokens + self.expected_tokens)

    def record_tokens(self, count: int) -> None:
        """Record tokens produced by the engine."""
        if not self.produced_tokens and self.on_first_token is not None:
            self.on_first_token(self)
        self.produced_tokens += count
        bucket = bucket_of(self.produced_tokens)
        if bucket != self.bucket:
            self.model.record_survival(self.bucket, bucket)
            self.bucket = bucket

    def finish(self, *, is_complete: bool = True) -> None:
        """Record the end of the request; further calls have no effect.

        Parameters
        ----------
        is_complete : bool, default=True
            Whether the generation completed, as opposed to being cancelled or
            failing. Only completed generations are recorded as a length.
        """
        if self.state is TicketState.FINISHED:
            return
        if is_complete and 0 < self.produced_tokens < self.max_tokens:
            self.model.record_end(self.bucket)
        was_running = self.state is TicketState.RUNNING
        self.state = TicketState.FINISHED
        if was_running and self.on_finish is not None:
            self.on_finish(self)
