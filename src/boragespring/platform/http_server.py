"""HTTP server that passes callers' requests to the forwarder."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Protocol

from absl import logging
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from attrs import evolve
from multidict import CIMultiDictProxy

from boragespring.catalog import CallerLimits
from boragespring.decisions import DecisionLog
from boragespring.forwarding import (
    CallerReply,
    CallerRequest,
    Refusal,
    RefusalReason,
    RequestProgress,
    RequestTracker,
    UnansweredRequests,
)
from boragespring.http.caller_budget import CallerBudget
from boragespring.http.caller_connection import CallerConnection
from boragespring.http.collected_request import caller_connection
from boragespring.http.connection_limits import ConnectionLimits, head_bytes
from boragespring.http.connection_server import ConnectionServer
from boragespring.http.raw_refusal import EVICTED_RETRY_AFTER_S, RefusedHead
from boragespring.http.upload import (
    UploadEvictedError,
    UploadMalformedError,
    UploadTooLargeError,
)
from boragespring.platform import names
from boragespring.platform.caller_reply import HttpCallerReply
from boragespring.platform.prompt_codec import decode_prompt, parse_number
from boragespring.settings import AddressSettings

__all__ = ["GatewayHttpServer", "RequestHandler", "connection_limits"]

#: Remaining time assumed for a request that does not state it, or no usable one.
DEFAULT_TIME_REMAINING_S = 60.0
#: Headers that a server must get as the caller sent them.
EXACT_HEADERS = (
    names.REQUEST_ID,
    names.MODEL,
    names.TOKEN_COUNTS,
    names.PROMPT_PARTS,
)

OUT_OF_MEMORY = Refusal(
    RefusalReason.OUT_OF_MEMORY,
    was_not_run=True,
    retry_after_s=EVICTED_RETRY_AFTER_S,
)


class RequestHandler(Protocol):
    """Handler of parsed requests."""

    async def serve(self, request: CallerRequest, caller: CallerReply) -> None:
        """Handle a request and send its final reply."""
        ...

    def refuse_early(self, request: CallerRequest) -> Refusal | None:
        """Return the refusal of a request whose body need not be read."""
        ...


class GatewayHttpServer:
    """HTTP server for callers.

    Parameters
    ----------
    address : AddressSettings
        Host and port to listen on.
    forwarder : RequestHandler
        Handler of requests that were parsed without errors.
    limits : callable
        Returns the limits on callers that are currently active.
    tracker : RequestTracker
        Tracks the requests from their arrival to their end.
    log : DecisionLog
        Log of refused request heads.
    unanswered : UnansweredRequests
        Limits the time in which the body of a request arrives.
    budget : CallerBudget
        Memory and connections of all callers.

    Attributes
    ----------
    in_progress : int
        Number of requests that are being handled.
    is_leaving : bool
        Whether connections are closed after replies to requests that arrive
        from now on.
    """

    def __init__(
        self,
        address: AddressSettings,
        forwarder: RequestHandler,
        limits: Callable[[], CallerLimits],
        tracker: RequestTracker,
        log: DecisionLog,
        unanswered: UnansweredRequests,
        budget: CallerBudget,
    ) -> None:
        self._tracker = tracker
        self._log = log
        self._unanswered = unanswered
        self._budget = budget
        self._address = address
        self._forwarder = forwarder
        self._limits = limits
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self._request_finished = asyncio.Event()
        self.in_progress = 0
        self.is_leaving = False

    async def start(self) -> None:
        """Start listening for connections."""
        server = ConnectionServer(
            self._handle,
            lambda: connection_limits(self._limits()),
            self._budget,
            self._log_refused_head,
            self._build_request,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._address.host,
            self._address.port,
            reuse_address=True,
            backlog=self._budget.settings.backlog,
        )
        await site.start()
        self._site = site

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        assert self._runner is not None
        return int(self._runner.addresses[0][1])

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.in_progress:
            self._request_finished.clear()
            await self._request_finished.wait()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _log_refused_head(self, head: RefusedHead) -> None:
        self._log.failure(
            "head_refused", "", status=head.status, head_bytes=head.head_bytes
        )

    def _build_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        progress = self._track(request)
        self.in_progress += 1
        caller = HttpCallerReply(request, self.is_leaving)
        try:
            parsed = await self._parse(request, progress)
            if isinstance(parsed, Refusal):
                self._tracker.refused(progress, parsed)
                await caller.refuse(parsed)
            else:
                await self._forwarder.serve(parsed, caller)
        except ConnectionError:
            progress.has_caller_left = True
            caller.abort()
        except Exception as error:
            logging.exception("event=request_failed request_id=%s", progress.request_id)
            self._tracker.failed(progress, error)
            await _end_failed(progress, caller)
        finally:
            self._end_tracking(request, progress)
            self.in_progress -= 1
            self._request_finished.set()
        return caller.response or web.Response(status=502)

    async def _parse(
        self, request: web.BaseRequest, progress: RequestProgress
    ) -> CallerRequest | Refusal:
        head = _parse_head(request, progress, self._limits())
        if isinstance(head, Refusal):
            return head
        refusal = self._forwarder.refuse_early(head)
        if refusal is not None:
            return refusal
        connection = caller_connection(request)
        progress.hold_reply = connection.hold_reply
        if connection.is_out_of_memory:
            return OUT_OF_MEMORY
        body = await self._read_body(connection, progress)
        return body if isinstance(body, Refusal) else evolve(head, body=body)

    async def _read_body(
        self, connection: CallerConnection, progress: RequestProgress
    ) -> bytes | Refusal:
        try:
            async with self._unanswered.limit(progress.deadline_s):
                return await connection.upload.read()
        except UploadTooLargeError:
            return Refusal(RefusalReason.TOO_LARGE, was_not_run=True)
        except UploadMalformedError:
            return Refusal(RefusalReason.BAD_REQUEST, was_not_run=True)
        except UploadEvictedError:
            return OUT_OF_MEMORY
        except TimeoutError:
            if self._unanswered.has_ended:
                return self._unanswered.refusal(was_not_run=True)
            return Refusal(RefusalReason.TOO_LATE, was_not_run=True)

    def _track(self, request: web.BaseRequest) -> RequestProgress:
        headers = request.headers
        return self._tracker.open(
            headers.get(names.REQUEST_ID, ""),
            _parse_time_remaining(headers.get(names.TIME_REMAINING_MS)),
        )

    def _end_tracking(
        self, request: web.BaseRequest, progress: RequestProgress
    ) -> None:
        if caller_connection(request).is_lost:
            progress.has_caller_left = True
        self._tracker.interrupted(progress)


async def _end_failed(progress: RequestProgress, caller: HttpCallerReply) -> None:
    """Answer a request that an unexpected error ended, unless a reply has begun."""
    if caller.has_begun:
        caller.abort()
        return
    with contextlib.suppress(ConnectionError):
        await caller.refuse(Refusal(RefusalReason.FAILED, not progress.sends))


def connection_limits(limits: CallerLimits) -> ConnectionLimits:
    """Return the limits on a connection by those of a configuration."""
    return ConnectionLimits(
        limits.header_bytes,
        limits.body_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )


def _parse_head(
    request: web.BaseRequest, progress: RequestProgress, limits: CallerLimits
) -> CallerRequest | Refusal:
    """Return a request without its body."""
    headers = request.headers
    size_bytes = head_bytes(request.method, request.raw_path, request.raw_headers)
    if size_bytes > limits.header_bytes:
        return Refusal(RefusalReason.HEAD_TOO_LARGE, was_not_run=True)
    request_id = headers.get(names.REQUEST_ID, "")
    is_addressed = request_id and request.raw_path.startswith("/")
    if not is_addressed or not _can_pass_unchanged(headers):
        return Refusal(RefusalReason.BAD_REQUEST, was_not_run=True)
    return CallerRequest(
        request_id=request_id,
        method=request.method,
        host=headers.get("Host", "").lower(),
        target=request.raw_path,
        headers=tuple(_end_to_end_headers(headers)),
        body=b"",
        credential=headers.get(names.CREDENTIAL, ""),
        arrived_at_s=progress.arrived_at_s,
        deadline_s=progress.deadline_s,
        prompt=decode_prompt(headers),
        last_event_id=headers.get(names.LAST_EVENT_ID, ""),
        progress=progress,
    )


def _can_pass_unchanged(headers: CIMultiDictProxy[str]) -> bool:
    """Return whether no header that must stay as it is has bytes that are no UTF-8.

    The HTTP client would leave them out. The parser reads them as lone surrogates.
    """
    try:
        for name in EXACT_HEADERS:
            "".join(headers.getall(name, ())).encode()
    except UnicodeEncodeError:
        return False
    return True


def _end_to_end_headers(headers: CIMultiDictProxy[str]) -> Iterable[tuple[str, str]]:
    """Return the headers that are forwarded to the backend server."""
    connection_options = {
        token.strip().lower()
        for value in headers.getall("Connection", ())
        for token in value.split(",")
    }
    stripped = names.STRIPPED_CALLER_HEADERS | connection_options
    return (
        (name, value) for name, value in headers.items() if name.lower() not in stripped
    )


def _parse_time_remaining(text: str | None) -> float:
    """Return the remaining time in seconds from a header in milliseconds."""
    remaining_ms = parse_number(text)
    return DEFAULT_TIME_REMAINING_S if remaining_ms is None else remaining_ms / 1000
