"""Caller connections with limits on the size and duration of request heads.

A request head consists of the request line and the headers. aiohttp limits only
the length of single lines, and waits for a complete head indefinitely.
"""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web

from boragespring.catalog import CallerLimits
from boragespring.decisions import DecisionLog

__all__ = ["CallerConnection", "ConnectionServer", "head_bytes"]

#: Maximum length of a single line. It exceeds the usual limit on the whole head,
#: which therefore applies first.
LINE_MAX_BYTES = 64 * 2**10
#: Time in seconds to read the rest of a request that was answered early.
LINGERING_TIME_S = 2.0


class CallerConnection(web.RequestHandler):
    """Connection that is closed if a request head is too large or too slow.

    Parameters
    ----------
    manager : web.Server
        Server that the connection belongs to.
    limits : CallerLimits
        Limits that are in effect when the connection is opened.
    log : DecisionLog
        Log in which refused heads are recorded.

    Attributes
    ----------
    is_lost : bool
        Whether the connection has been closed.
    """

    def __init__(
        self,
        manager: web.Server,
        limits: CallerLimits,
        log: DecisionLog,
    ) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=LINGERING_TIME_S,
            max_line_size=LINE_MAX_BYTES,
            max_field_size=LINE_MAX_BYTES,
            auto_decompress=False,
            access_log=None,  # type: ignore[arg-type]
        )
        self._limits = limits
        self._log = log
        self.is_lost = False
        self._is_reading_head = True
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    def on_head_read(self) -> None:
        """Stop the timer of a head, which is complete and being handled."""
        self._is_reading_head = False
        self._head_bytes = 0
        self._stop_timer()

    def on_request_handled(self) -> None:
        """Start to count the head of the next request."""
        self._is_reading_head = True

    def data_received(self, data: bytes) -> None:
        """Process received bytes, and count those of an incomplete head."""
        super().data_received(data)
        if not data or not self._is_reading_head:
            return
        self._head_bytes += len(data)
        loop = asyncio.get_running_loop()
        if self._head_timer is None:
            timeout_s = self._limits.header_timeout_s
            self._head_timer = loop.call_later(timeout_s, self._on_head_timeout)
        if self._head_bytes > self._limits.header_bytes:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            loop.call_soon(self._refuse_if_incomplete, status)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer when the connection is lost."""
        self.is_lost = True
        self._stop_timer()
        super().connection_lost(exc)

    def _on_head_timeout(self) -> None:
        # If the process was paused, a complete head may be waiting to be
        # processed. Deferring the check lets `on_head_read` run first.
        loop = asyncio.get_running_loop()
        loop.call_soon(self._refuse_if_incomplete, HTTPStatus.REQUEST_TIMEOUT)

    def _refuse_if_incomplete(self, status: HTTPStatus) -> None:
        """Refuse a head unless `on_head_read` has run for it in the meantime."""
        if self._is_reading_head and self._head_bytes:
            self._refuse(status)

    def _refuse(self, status: HTTPStatus) -> None:
        self._stop_timer()
        if self.transport is None or self.transport.is_closing():
            return
        self._log.failure(
            "head_refused", "", status=int(status), head_bytes=self._head_bytes
        )
        line = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        fields = "Content-Length: 0\r\nConnection: close\r\n\r\n"
        self.transport.write((line + fields).encode())
        self.force_close()

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class ConnectionServer(web.Server):
    """Server whose connections use the limits in effect when they are opened.

    Parameters
    ----------
    handler : callable
        Handles one request.
    limits : callable
        Returns the current limits.
    log : DecisionLog
        Log in which refused heads are recorded.
    request_factory : callable
        Creates the request object for a parsed head.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], CallerLimits],
        log: DecisionLog,
        request_factory: Callable[..., web.BaseRequest],
    ) -> None:
        super().__init__(
            handler,
            request_factory=request_factory,
            handler_cancellation=True,
        )
        self._limits = limits
        self._decisions = log

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, self._limits(), self._decisions)


def head_bytes(request: web.BaseRequest) -> int:
    """Return the size in bytes of the request line and the headers, as received."""
    separators = len(": \r\n")
    fields = sum(
        len(name) + len(value) + separators for name, value in request.raw_headers
    )
    return fields + len(request.method) + len(request.raw_path)
