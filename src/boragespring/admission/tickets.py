"""Requests as admission sees them."""

import asyncio
from collections.abc import Callable
from enum import StrEnum

from attrs import define, field

from boragespring.admission.lengths import LengthModel, bucket_of

__all__ = ["Ticket", "TicketState", "TrafficClass"]


class TrafficClass(StrEnum):
    """Class of a request, the most urgent first."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"

    @classmethod
    def from_name(cls, name: str) -> "TrafficClass":
        """Return the class of a name; standard for one that is unknown.

        A process with newer lists may name a class that is unknown here.
        """
        return cls(name) if name in _NAMES else cls.STANDARD

    @property
    def rank(self) -> int:
        """Rank of the class; 0 is the most urgent."""
        return _RANKS[self]


_NAMES = frozenset(TrafficClass)
_RANKS = {name: rank for rank, name in enumerate(TrafficClass)}


class TicketState(StrEnum):
    """Where a request is on its way through admission."""

    NEW = "new"
    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"


@define(eq=False)
class Ticket:
    """One request from its arrival at the agent to its end.

    Parameters
    ----------
    workspace : str
        Workspace whose share it uses.
    traffic_class : TrafficClass
        Its urgency.
    prompt_tokens : int
        Estimated length of the prompt.
    max_tokens : int
        Most tokens that it may produce; 0 for calls that produce none.
    weight : float
        Share of the workspace's plan against the others.
    deadline_s : float or None
        Monotonic time by which the answer must be whole.
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
        """Whether the request was given to the backend server."""
        return self.admitted_at_s is not None

    @property
    def held_tokens(self) -> int:
        """Memory that the request holds in the engine."""
        return self.prompt_tokens + self.produced_tokens

    @property
    def footprint_tokens(self) -> float:
        """Memory that it is expected to hold at its end; 1 for a plain call."""
        return max(1.0, self.prompt_tokens + self.expected_tokens)

    def record_tokens(self, count: int) -> None:
        """Record tokens that the engine produced."""
        if not self.produced_tokens and self.on_first_token is not None:
            self.on_first_token(self)
        self.produced_tokens += count
        bucket = bucket_of(self.produced_tokens)
        if bucket != self.bucket:
            self.model.record_survival(self.bucket, bucket)
            self.bucket = bucket

    def finish(self, *, is_complete: bool = True) -> None:
        """Record the end; ``is_complete`` tells an own end from a cut."""
        if self.state is TicketState.FINISHED:
            return
        if is_complete and 0 < self.produced_tokens < self.max_tokens:
            self.model.record_end(self.bucket)
        was_running = self.state is TicketState.RUNNING
        self.state = TicketState.FINISHED
        if was_running and self.on_finish is not None:
            self.on_finish(self)
