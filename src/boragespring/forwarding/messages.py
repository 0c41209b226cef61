"""Requests, replies and refusals, free of any wire format."""

from collections.abc import AsyncIterator
from enum import StrEnum
from typing import Protocol

from attrs import frozen

from boragespring.fleet import BackendServer, ServerAddress
from boragespring.fleet.model import ServerReport

__all__ = [
    "Attempt",
    "BackendCalls",
    "CallerReply",
    "CallerRequest",
    "Headers",
    "PromptPart",
    "PromptShape",
    "Refusal",
    "RefusalReason",
    "ReplyHead",
    "ResumePoint",
    "RunCopy",
    "ServerReply",
]

Headers = tuple[tuple[str, str], ...]


@frozen
class PromptPart:
    """Part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@frozen
class PromptShape:
    """What a request for a generation tells of its size.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt.
    output_max_tokens : int
        Bound on the length of the answer.
    output_hint_tokens : int or None
        The caller's estimate of that length, right at the median only.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    """

    prompt_tokens: int
    output_max_tokens: int
    output_hint_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()

    @property
    def output_tokens(self) -> float:
        """Expected length of the answer."""
        if self.output_hint_tokens is None:
            return float(self.output_max_tokens)
        return float(min(self.output_hint_tokens, self.output_max_tokens))


@frozen
class CallerRequest:
    """One request as a caller sent it.

    Parameters
    ----------
    request_id : str
        Identity that the caller gave to this attempt.
    method, host, target : str
        Method, host in lower case, and path with query, unchanged.
    headers : Headers
        Headers that may reach a backend server.
    body : bytes
        The whole body.
    credential : str
        The caller's key; empty for none.
    arrived_at_s, deadline_s : float
        Monotonic times of the arrival and of the end of the caller's wait.
    prompt : PromptShape or None
        Set for generations.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    credential: str
    arrived_at_s: float
    deadline_s: float
    prompt: PromptShape | None = None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@frozen
class ResumePoint:
    """Copy of a run from which another server goes on.

    Parameters
    ----------
    source : ServerAddress
        Server that made the copy.
    copy_id : str
        Name of the copy at that server.
    last_event_id : str
        Last event that reached the caller.
    """

    source: ServerAddress
    copy_id: str
    last_event_id: str


@frozen
class Attempt:
    """One dispatch of a request to one backend server.

    Parameters
    ----------
    request : CallerRequest
        The request.
    workspace : str
        Workspace of the caller; empty for a public route.
    deadline_s : float
        Monotonic time at which the server stops work.
    urgency : int or None
        Rank at the engine, 0 the most urgent; None where it has none.
    resume : ResumePoint or None
        Where a moved run goes on.
    """

    request: CallerRequest
    workspace: str
    deadline_s: float
    urgency: int | None = None
    resume: ResumePoint | None = None


@frozen
class ReplyHead:
    """Status and headers of a reply.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : Headers
        Headers for the caller.
    request_id : str
        Identity that the reply names; empty for none.
    is_signed : bool
        Whether the server vouches for the reply.
    was_not_run : bool
        Whether the server states that it did not run the request.
    is_misdirected : bool
        Whether another server than the expected one has the address.
    is_encoded : bool
        Whether the body is not the server's own bytes.
    """

    status: int
    headers: Headers
    request_id: str = ""
    is_signed: bool = False
    was_not_run: bool = False
    is_misdirected: bool = False
    is_encoded: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the status says success."""
        return 200 <= self.status < 300


@frozen
class RunCopy:
    """Copy of a run at another server, or of a run that stopped at its own."""

    copy_id: str


class ServerReply(Protocol):
    """Reply of a backend server while it arrives."""

    @property
    def head(self) -> ReplyHead:
        """Status and headers."""
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `ReplyBrokenError` unless it ends properly."""
        ...

    def close(self) -> None:
        """Close the connection, which ends the server's work on the request."""
        ...


class BackendCalls(Protocol):
    """Calls to backend servers."""

    async def send(self, server: BackendServer, attempt: Attempt) -> ServerReply:
        """Send a request and wait for the head of the reply.

        Raises
        ------
        ServerUnreachableError
            When no connection came about.
        ReplyLostError
            When the request may have run.
        """
        ...

    async def copy_run(
        self, server: BackendServer, run_id: str, target: ServerAddress, is_last: bool
    ) -> RunCopy:
        """Copy a run's memory to another server.

        With ``is_last`` the run stops first. A call that is repeated copies
        only what is new.

        Raises
        ------
        RunNotFoundError, CopyRefusedError, ServerUnreachableError, ReplyLostError
            When nothing was copied.
        """
        ...

    async def fetch_report(self, server: BackendServer) -> ServerReport:
        """Read a model server's load and state; raise `ForwardingError`."""
        ...


class RefusalReason(StrEnum):
    """Why a request ends without a server's reply."""

    NO_CATALOG = "no_catalog"
    STALE_CATALOG = "stale_catalog"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    HEAD_TOO_LARGE = "head_too_large"
    LEAVING = "leaving"
    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    TOO_LATE = "too_late"
    TIMED_OUT = "timed_out"
    REPLY_LOST = "reply_lost"


@frozen
class Refusal:
    """Final answer of the gateway itself.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    was_not_run : bool
        Whether the request surely has not run and never will.
    retry_after_s : float
        When a repeat has a rng; 0 where it has none.
    """

    reason: RefusalReason
    was_not_run: bool
    retry_after_s: float = 0.0


class CallerReply(Protocol):
    """Way back to the caller."""

    async def send_buffered(self, head: ReplyHead, body: bytes) -> None:
        """Send a complete reply."""
        ...

    async def refuse(self, refusal: Refusal) -> None:
        """Send a final answer of the gateway itself."""
        ...

    async def start(self, head: ReplyHead) -> None:
        """Begin a streamed reply."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed reply; waits while the caller reads slowly."""
        ...

    async def finish(self) -> None:
        """End a streamed reply as complete."""
        ...

    def abort(self) -> None:
        """Close the connection so that nothing looks complete."""
        ...
