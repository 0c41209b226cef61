"""HTTP calls to backend servers, each on a connection of its own."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any, Protocol

import aiohttp
from absl import logging
from aiohttp import hdrs
from attrs import frozen
from multidict import CIMultiDict
from yarl import URL

from boragespring.external_values import check_identifier
from boragespring.fleet import BackendServer, ServerAddress
from boragespring.fleet.model import ServerReport
from boragespring.forwarding import (
    Attempt,
    CopyRefusedError,
    RateLimitedError,
    Reachability,
    ReplyBrokenError,
    ReplyHead,
    ReplyLostError,
    RunCopy,
    RunNotFoundError,
    ServerStatement,
    ServerUnreachableError,
)
from boragespring.http.bounded_reply import (
    NOT_CONNECTED_ERRORS,
    REPLY_PIECE_BYTES,
    create_connector,
    read_body,
)
from boragespring.http.client_session import create_single_send_session
from boragespring.http.connection_watch import ConnectionWatch, watch_connection
from boragespring.http.reply_end import ReplyEnd, ReplyFraming
from boragespring.json_document import parse_json
from boragespring.platform import names
from boragespring.platform.report_codec import decode_report
from boragespring.platform.sockets import create_socket
from boragespring.platform.statement_codec import decode_statement

__all__ = ["HttpServerCalls", "ServerCallSettings"]

_OK = 200
_NOT_FOUND = 404
_MISDIRECTED = 421
#: Maximum length of a header line in a reply.
HEADER_LINE_MAX_BYTES = 32 * 1024
#: Maximum size of a load report or of the reply to a copy.
BODY_MAX_BYTES = 2**20
#: Number of characters of an error that are kept. It may quote an address.
REASON_MAX_CHARACTERS = 300


class PermitTaker(Protocol):
    """Decides whether a call to a server keeps the rate that the server takes."""

    def __call__(
        self, server: BackendServer, *, is_forced: bool, starts_run: bool
    ) -> bool:
        """Count a call; return whether it may be made. A forced one always may."""
        ...


def _always_permit(server: BackendServer, *, is_forced: bool, starts_run: bool) -> bool:
    return True


#: Called with a server and what it states about itself.
StatementHook = Callable[[BackendServer, ServerStatement], None]


@frozen
class ServerCallSettings:
    """Timeouts of calls to backend servers, in seconds.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout for establishing a connection.
    copy_timeout_s : float
        Timeout for copying a run.
    report_timeout_s : float
        Timeout for fetching a load report.
    """

    connect_timeout_s: float = 0.3
    copy_timeout_s: float = 3.0
    report_timeout_s: float = 0.5


class _HttpReply:
    """Reply of a backend server whose body is still being received."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self._end = ReplyEnd(response)
        self.head = _reply_head(response, self._end.framing)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `ReplyBrokenError` if it is truncated."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
            await self._end.check()
        except (aiohttp.ClientError, OSError) as error:
            raise ReplyBrokenError(_describe(error)) from error

    def close(self) -> None:
        """Close the connection, which makes the server cancel the request."""
        self._response.close()


class HttpServerCalls:
    """Client for the HTTP calls to backend servers.

    Each connection carries a single request. Data that a faulty server sends
    late or after its reply therefore cannot be mistaken for the reply to another
    request, and a non-idempotent request is never sent on a connection that
    the server has already closed as idle.

    Parameters
    ----------
    settings : ServerCallSettings
        Timeouts of the calls.
    """

    def __init__(self, settings: ServerCallSettings) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        #: Called with each reply's statement of the server about itself.
        self.statement_hooks: list[StatementHook] = []
        #: Called before each call.
        self.take_permit: PermitTaker = _always_permit

    async def send(self, server: BackendServer, attempt: Attempt) -> _HttpReply:
        """Send a request and wait for the status and headers of the reply."""
        request = attempt.request
        # A run that was stopped for a move cannot wait.
        self._take_permit(server, is_forced=attempt.resume is not None, starts_run=True)
        sent_at_s = time.monotonic()
        try:
            response = await self._get_session().request(
                request.method,
                _url(server, request.target),
                headers=_request_headers(server, attempt),
                data=request.body or None,
                allow_redirects=False,
                # This includes the look-up of a host name.
                timeout=aiohttp.ClientTimeout(
                    total=None, connect=self._settings.connect_timeout_s
                ),
            )
        except NOT_CONNECTED_ERRORS as error:
            raise ServerUnreachableError(_describe(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise ReplyLostError(_describe(error)) from error
        repeated = _repeated_header(response)
        if repeated:
            response.close()
            raise ReplyLostError(f"more than one header {repeated}")
        self._pass_on_statement(server, response, sent_at_s)
        return _HttpReply(response)

    async def copy_run(
        self, server: BackendServer, run_id: str, target: ServerAddress, is_last: bool
    ) -> RunCopy:
        """Copy a run's KV cache to another server; stop the run if ``is_last``."""
        body: dict[str, Any] = {"id": run_id, "target": str(target)}
        if is_last:
            body["last"] = True
        self._take_permit(server)
        status, reply = await self._call(server, "POST", "/kv-move", body)
        copy_id = _parse_copy_id(reply)
        if status == _OK and copy_id:
            return RunCopy(copy_id)
        if status == _OK:
            raise ReplyLostError("the reply names no usable copy")
        if status == _NOT_FOUND:
            raise RunNotFoundError(f"no run {run_id} at {server.server_id}")
        raise CopyRefusedError(f"status {status}", copy_id)

    async def try_connection(self, server: BackendServer) -> Reachability:
        """Open a connection to a server and close it; send no request."""
        host, port = server.address.host, server.address.port
        try:
            async with asyncio.timeout(self._settings.connect_timeout_s):
                _, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            return Reachability.REFUSING
        except OSError:
            # This includes a timeout.
            return Reachability.SILENT
        except (ValueError, OverflowError) as error:
            logging.warning(
                "event=address_unusable server=%s reason=%s",
                server.server_id,
                _describe(error),
            )
            return Reachability.SILENT
        writer.close()
        return Reachability.ACCEPTING

    async def watch_connection(self, server: BackendServer) -> ConnectionWatch | None:
        """Open a connection that shows the end of the server's process, if possible."""
        address = server.address
        try:
            async with asyncio.timeout(self._settings.connect_timeout_s):
                return await watch_connection(address.host, address.port)
        except OSError:
            # How the server responds is found out at the end of its reply.
            return None

    async def fetch_report(self, server: BackendServer) -> ServerReport:
        """Fetch a model server's load and state.

        The report may be a few hundred milliseconds old.
        """
        self._take_permit(server)
        status, body = await self._call(
            server, "GET", "/report", None, self._settings.report_timeout_s
        )
        if status != _OK:
            raise ReplyLostError(f"load report failed with status {status}")
        try:
            return decode_report(body, time.monotonic())
        except ValueError as error:
            raise ReplyLostError(f"load report: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        server: BackendServer,
        method: str,
        path: str,
        body: object,
        timeout_s: float | None = None,
    ) -> tuple[int, dict[str, Any]]:
        status, data = await self._exchange(server, method, path, body, timeout_s)
        try:
            return status, _parse_object(data)
        except ValueError as error:
            raise ReplyLostError(_describe(error)) from error

    async def _exchange(
        self,
        server: BackendServer,
        method: str,
        path: str,
        body: object,
        timeout_s: float | None,
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s or self._settings.copy_timeout_s,
            connect=self._settings.connect_timeout_s,
        )
        sent_at_s = time.monotonic()
        try:
            async with self._get_session().request(
                method, _url(server, path), json=body, timeout=timeout
            ) as response:
                self._pass_on_statement(server, response, sent_at_s)
                return response.status, await read_body(response, BODY_MAX_BYTES)
        except NOT_CONNECTED_ERRORS as error:
            raise ServerUnreachableError(_describe(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise ReplyLostError(_describe(error)) from error

    def _take_permit(
        self,
        server: BackendServer,
        *,
        is_forced: bool = False,
        starts_run: bool = False,
    ) -> None:
        if not self.take_permit(server, is_forced=is_forced, starts_run=starts_run):
            raise RateLimitedError(f"{server.server_id} takes no more requests now")

    def _pass_on_statement(
        self,
        server: BackendServer,
        response: aiohttp.ClientResponse,
        sent_at_s: float,
    ) -> None:
        if response.status == _MISDIRECTED:
            # The statement is that of another server, which has the address now.
            return
        statement = decode_statement(response, sent_at_s)
        for hook in self.statement_hooks:
            hook(server, statement)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = create_single_send_session(
                connector=create_connector(
                    force_close=True, limit=0, socket_factory=create_socket
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                read_bufsize=REPLY_PIECE_BYTES,
                timeout=aiohttp.ClientTimeout(total=None),
                skip_auto_headers=(
                    hdrs.USER_AGENT,
                    hdrs.ACCEPT,
                    hdrs.ACCEPT_ENCODING,
                    hdrs.CONTENT_TYPE,
                ),
                max_line_size=HEADER_LINE_MAX_BYTES,
                max_field_size=HEADER_LINE_MAX_BYTES,
            )
        return self._session


def _url(server: BackendServer, target: str) -> URL:
    """Return the URL of a target that is encoded."""
    try:
        url = URL(f"http://{server.address}{target}", encoded=True)
        # The port is checked when it is read.
        if url.host and url.port:
            return url
    except ValueError as error:
        raise ServerUnreachableError(_describe(error)) from error
    raise ServerUnreachableError(f"{server.server_id} has an unusable address")


def _request_headers(server: BackendServer, attempt: Attempt) -> CIMultiDict[str]:
    headers = CIMultiDict(attempt.request.headers)
    remaining_ms = int((attempt.deadline_s - time.monotonic()) * 1000)
    headers[names.TIME_REMAINING_MS] = str(max(1, remaining_ms))
    headers[names.EXPECTED_SERVER] = server.server_id
    if attempt.workspace:
        headers[names.WORKSPACE] = attempt.workspace
    if attempt.urgency is not None:
        headers[names.URGENCY] = str(attempt.urgency)
    if attempt.last_event_id:
        headers[names.LAST_EVENT_ID] = attempt.last_event_id
    if attempt.resume is not None:
        headers[names.COPY_SOURCE] = f"{attempt.resume.source}/{attempt.resume.copy_id}"
        headers[names.LAST_EVENT_ID] = attempt.resume.last_event_id
    return headers


def _reply_head(response: aiohttp.ClientResponse, framing: ReplyFraming) -> ReplyHead:
    headers = response.headers
    return ReplyHead(
        status=response.status,
        headers=tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in names.HOP_BY_HOP_HEADERS
        ),
        request_id=headers.get(names.REQUEST_ID, ""),
        is_signed=names.SIGNATURE in headers,
        was_not_run=names.NOT_RUN in headers,
        is_misdirected=response.status == _MISDIRECTED,
        is_encoded=hdrs.CONTENT_ENCODING in headers,
        framing=framing,
    )


def _repeated_header(response: aiohttp.ClientResponse) -> str:
    """Return a header that occurs twice although only one of them can be meant."""
    headers = response.headers
    repeated = (
        name for name in names.SINGLE_REPLY_HEADERS if len(headers.getall(name, ())) > 1
    )
    return next(repeated, "")


def _parse_copy_id(reply: Mapping[str, Any]) -> str:
    """Return the identifier of a copy; an empty one if it cannot be used."""
    try:
        return check_identifier(str(reply.get("handle") or ""))
    except ValueError:
        return ""


def _parse_object(data: bytes) -> dict[str, Any]:
    body = parse_json(data) if data else {}
    return body if isinstance(body, dict) else {}


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__} {error}"[:REASON_MAX_CHARACTERS].strip()
