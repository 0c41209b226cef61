"""Define requests, replies and refusals independently of any wire format."""

from collections.abc import AsyncIterator
from enum import Enum, StrEnum, auto
from typing import Protocol

from attrs import Factory, field, frozen

from boragespring.fleet import BackendServer, ServerAddress
from boragespring.fleet.model import ServerReport
from boragespring.forwarding.progress import RequestProgress
from boragespring.forwarding.prompts import PromptPart, PromptShape
from boragespring.http.connection_watch import ConnectionWatch
from boragespring.http.reply_end import ReplyFraming

__all__ = [
    "Attempt",
    "BackendCalls",
    "CallerReply",
    "CallerRequest",
    "Headers",
    "PromptPart",
    "PromptShape",
    "Reachability",
    "Refusal",
    "RefusalReason",
    "ReplyHead",
    "ResumePoint",
    "RunCopy",
    "ServerReply",
]

Headers = tuple[tuple[str, str], ...]


class Reachability(Enum):
    """How the address of a server responds to a new connection."""

    ACCEPTING = auto()
    REFUSING = auto()
    #: It does not respond in time, or cannot be reached.
    SILENT = auto()


@frozen
class CallerRequest:
    """Request as sent by a caller.

    Parameters
    ----------
    request_id : str
        Identifier that the caller assigned to this attempt.
    method, host, target : str
        HTTP method, host name in lower case, and unmodified path with query string.
    headers : Headers
        Headers to forward to the backend server.
    body : bytes
        Complete request body.
    credential : str
        API key of the caller; empty if there is none.
    arrived_at_s, deadline_s : float
        Monotonic times in seconds of the arrival and of the caller's timeout.
    prompt : PromptShape or None
        Size of the generation; None for calls to plain services.
    last_event_id : str
        Identifier of the last event that the caller has already received, of an
        earlier request for the same stream; empty if there is none.
    progress : RequestProgress
        Progress of the request.
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
    last_event_id: str = ""
    progress: RequestProgress = field(
        default=Factory(
            lambda self: RequestProgress(
                self.request_id, self.arrived_at_s, self.deadline_s
            ),
            takes_self=True,
        ),
        eq=False,
        repr=False,
    )

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query string."""
        return self.target.partition("?")[2]

    @property
    def constant_headers(self) -> Headers:
        """Headers without those that identify this attempt."""
        return tuple(each for each in self.headers if each[1] != self.request_id)


@frozen
class ResumePoint:
    """Copy of a run from which a server continues it.

    Parameters
    ----------
    source : ServerAddress
        Address of the server that made the copy.
    copy_id : str
        Identifier of the copy at that server.
    last_event_id : str
        Identifier of the last event sent to the caller.
    """

    source: ServerAddress
    copy_id: str
    last_event_id: str


@frozen
class Attempt:
    """One attempt to run a request on a backend server.

    Parameters
    ----------
    request : CallerRequest
        Request to send.
    workspace : str
        Workspace of the caller; empty for a public route.
    deadline_s : float
        Monotonic time in seconds at which the server stops processing.
    urgency : int or None
        Priority at the engine, 0 being the most urgent; None for plain services.
    resume : ResumePoint or None
        Copy from which to continue a moved run; None for a new run.
    last_event_id : str
        Identifier of the event after which a new run shall start; empty for the
        whole stream.
    """

    request: CallerRequest
    workspace: str
    deadline_s: float
    urgency: int | None = None
    resume: ResumePoint | None = None
    last_event_id: str = ""


@frozen
class ReplyHead:
    """Status and headers of a reply.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : Headers
        Headers to forward to the caller.
    request_id : str
        Identifier of the request that the reply claims to answer; empty if absent.
    is_signed : bool
        Whether the reply has the server's signature header.
    was_not_run : bool
        Whether the server states that it did not run the request.
    is_misdirected : bool
        Whether the address belongs to a server other than the expected one.
    is_encoded : bool
        Whether the reply names a content encoding, such as gzip, which nobody asked
        for.
    framing : ReplyFraming
        How the end of the body is marked.
    """

    status: int
    headers: Headers
    request_id: str = ""
    is_signed: bool = False
    was_not_run: bool = False
    is_misdirected: bool = False
    is_encoded: bool = False
    framing: ReplyFraming = ReplyFraming.LENGTH

    @property
    def is_success(self) -> bool:
        """Whether the status code is in the range 2xx."""
        return 200 <= self.status < 300

    def is_stream_for(self, request_id: str) -> bool:
        """Return whether the body can be streamed to the caller of a request."""
        is_unaltered = self.is_signed and not self.is_encoded
        is_own = self.request_id in ("", request_id)
        return self.is_success and not self.was_not_run and is_unaltered and is_own


@frozen
class RunCopy:
    """Copy of a run on another server, or of a stopped run on its own server."""

    copy_id: str


class ServerReply(Protocol):
    """Reply that is being received from a backend server."""

    @property
    def head(self) -> ReplyHead:
        """Status and headers."""
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `ReplyBrokenError` unless it ends properly."""
        ...

    def close(self) -> None:
        """Close the connection, so that the server stops processing the request."""
        ...


class BackendCalls(Protocol):
    """Calls to backend servers."""

    async def send(self, server: BackendServer, attempt: Attempt) -> ServerReply:
        """Send a request and wait for the status and headers of the reply.

        Raises
        ------
        ServerUnreachableError
            If no connection was established; the request has not run.
        ReplyLostError
            If the request was sent and its outcome is unknown.
        """
        ...

    async def copy_run(
        self, server: BackendServer, run_id: str, target: ServerAddress, is_last: bool
    ) -> RunCopy:
        """Copy a run's memory to another server.

        With ``is_last`` the run is stopped first. Further calls copy only what has
        changed since the previous call.

        Raises
        ------
        RunNotFoundError, CopyRefusedError, ServerUnreachableError, ReplyLostError
            If the run was not copied.
        """
        ...

    async def try_connection(self, server: BackendServer) -> Reachability:
        """Return how a server responds to a new connection; send no request."""
        ...

    async def watch_connection(self, server: BackendServer) -> ConnectionWatch | None:
        """Open a connection that shows the end of the server's process, if possible."""
        ...

    async def fetch_report(self, server: BackendServer) -> ServerReport:
        """Fetch the load and state of a model server.

        Raises
        ------
        ForwardingError
            If no valid report was received.
        """
        ...


class RefusalReason(StrEnum):
    """Reason why a request is answered by the gateway instead of a server."""

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
    QUARANTINED = "quarantined"
    RATE_LIMITED = "rate_limited"
    OUT_OF_MEMORY = "out_of_memory"
    FAILED = "failed"


@frozen
class Refusal:
    """Error response of the gateway itself.

    Parameters
    ----------
    reason : RefusalReason
        Reason for the refusal.
    was_not_run : bool
        Whether the request is known not to have run and will not run later.
    retry_after_s : float
        Delay in seconds after which a retry can succeed; 0 if retrying is useless.
    """

    reason: RefusalReason
    was_not_run: bool
    retry_after_s: float = 0.0


class CallerReply(Protocol):
    """Response channel to the caller."""

    async def send_buffered(self, head: ReplyHead, body: bytes) -> None:
        """Send a complete reply in one piece."""
        ...

    async def refuse(self, refusal: Refusal) -> None:
        """Send an error response of the gateway itself."""
        ...

    async def start(self, head: ReplyHead) -> None:
        """Send the status and headers of a streamed reply."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a chunk of a streamed reply; wait while the caller reads slowly."""
        ...

    async def finish(self) -> None:
        """End a streamed reply that is complete."""
        ...

    def abort(self) -> None:
        """Close the connection so that the caller sees the reply as incomplete."""
        ...
