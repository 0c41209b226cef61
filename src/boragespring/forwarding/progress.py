"""Progress of a request from its arrival to the end of its reply."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from attrs import define

__all__ = ["ActiveRun", "RequestProgress", "RequestStage"]


class RequestStage(StrEnum):
    """What a request that has not ended is waiting for."""

    #: The rest of its body.
    BODY = "body"
    #: A server that takes it.
    WAITING = "waiting"
    #: The reply of a server, of which the caller has nothing yet.
    SENT = "sent"
    #: The rest of a reply, of which the caller has the beginning.
    ANSWERING = "answering"
    #: The same, while the run is copied to another server.
    MOVING = "moving"
    #: The next reply: the run was stopped or broken off, and may go on elsewhere.
    BETWEEN_SERVERS = "between_servers"


class ActiveRun(Protocol):
    """Run of a request whose reply is being streamed."""

    @property
    def server_id(self) -> str:
        """Identifier of the server."""
        ...

    @property
    def events(self) -> int:
        """Number of events received."""
        ...

    @property
    def moves(self) -> int:
        """Number of moves completed."""
        ...

    @property
    def stage(self) -> RequestStage:
        """What the request is waiting for."""
        ...

    def silent_s(self, now_s: float) -> float:
        """Return the time in seconds since the last event, or since it was sent."""
        ...


@define(eq=False)
class RequestProgress:
    """Progress of one request.

    Parameters
    ----------
    request_id : str
        Identifier that the caller assigned to the request; empty if it has none.
    arrived_at_s, deadline_s : float
        Monotonic times in seconds of the arrival and of the deadline.
    route, kind, workspace : str
        Route, kind of the route and workspace; empty until they are known.
    server_id : str
        Server that the request was sent to last; empty if there is none.
    sends : int
        Number of servers that the request was sent to.
    run : ActiveRun or None
        Run whose reply is being streamed to the caller.
    hold_reply : callable
        Counts the bytes that are kept of the reply; returns whether there is memory
        for them.
    has_caller_left : bool
        Whether the caller has closed its connection.
    is_ended : bool
        Whether the final line of the request has been written.
    """

    request_id: str
    arrived_at_s: float
    deadline_s: float
    route: str = ""
    kind: str = ""
    workspace: str = ""
    server_id: str = ""
    sends: int = 0
    run: ActiveRun | None = None
    hold_reply: Callable[[int], bool] = lambda _: True
    has_caller_left: bool = False
    is_ended: bool = False
    _stage: RequestStage = RequestStage.BODY

    @property
    def stage(self) -> RequestStage:
        """What the request is waiting for."""
        return self._stage if self.run is None else self.run.stage

    def admit(self, route: str, kind: str, workspace: str, deadline_s: float) -> None:
        """Record what a complete request was matched with."""
        self.route = route
        self.kind = kind
        self.workspace = workspace
        self.deadline_s = deadline_s
        self._stage = RequestStage.WAITING

    def send(self, server_id: str) -> None:
        """Record that the request is sent to a server."""
        self.server_id = server_id
        self.sends += 1
        self._stage = RequestStage.SENT

    def take_back(self) -> None:
        """Record that the server gives no reply that the caller can have."""
        self._stage = RequestStage.WAITING

    def answer(self) -> None:
        """Record that a complete reply is being sent to the caller."""
        self._stage = RequestStage.ANSWERING
