"""Connections of callers, bounded in the size, time and rest of their heads.

A head is the request line with the headers. aiohttp bounds single lines only,
and waits for a head without end.
"""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web

from boragespring.catalog import CallerLimits
from boragespring.decisions import DecisionLog

__all__ = ["CallerConnection", "ConnectionServer", "head_bytes"]

#: Longest single line; below it the limit on the whole head decides.
LINE_MAX_BYTES = 64 * 2**10
#: Time to read what is left of a request that was answered early.
LINGERING_TIME_S = 2.0


class CallerConnection(web.RequestHandler):
    """One connection; a head that is too large or too slow ends it.

    Parameters
    ----------
    manager : web.Server
        Server that the connection belongs to.
    limits : CallerLimits
        Bounds in force at its begin.
    log : DecisionLog
        Where refused heads are told.
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
            access_log=None,  # type: ignore[arg-type]
        )
        self._limits = limits
        self._log = log
        self._is_reading_head = True
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    def on_head_read(self) -> None:
        """Note that a head is complete and its request is handled."""
        self._is_reading_head = False
        self._head_bytes = 0
        self._stop_timer()

    def on_response_sent(self) -> None:
        """Note that the next head may come."""
        self._is_reading_head = True

    def data_received(self, data: bytes) -> None:
        """Take in bytes; count those of a head that is not complete yet."""
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
        """End the timer with the connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def _on_head_timeout(self) -> None:
        # After a pause of the process a whole head may wait to be noted.
        loop = asyncio.get_running_loop()
        loop.call_soon(self._refuse_if_incomplete, HTTPStatus.REQUEST_TIMEOUT)

    def _refuse_if_incomplete(self, status: HTTPStatus) -> None:
        """Refuse a head unless it was complete; that is noted before this runs."""
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
    """Server whose connections follow the bounds in force at their begin."""

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
    """Return the size of the request line and the headers, as they were sent."""
    separators = len(": \r\n")
    fields = sum(
        len(name) + len(value) + separators for name, value in request.raw_headers
    )
    return fields + len(request.method) + len(request.raw_path)
