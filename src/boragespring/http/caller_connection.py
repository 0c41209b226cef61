"""Connection of a caller, whose memory is bounded and counted.

The library's connection would wait for heads without end, and keep what callers send
ahead. This one differs:

- One request is parsed at a time. While it is handled, little is read: enough to notice
  that the caller leaves.
- Bodies are collected as they arrive, whoever waits for them.
- Heads are limited as a whole, and so is what comes in their form after a body.
- What the connection holds counts against the budget of all callers.
"""

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from absl import logging
from aiohttp import web
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestPayloadError

from boragespring.http.caller_budget import CallerBudget, CallerState, EvictionReason
from boragespring.http.connection_limits import (
    CONNECTION_BYTES,
    HEAD_COST_FACTOR,
    HEADERS_MAX,
    RECEIVE_BYTES,
    REPLY_COST_FACTOR,
    REQUEST_BYTES,
    SMALL_REPLY_BYTES,
    ConnectionLimits,
    head_bytes,
    head_cost_bytes,
    unseen_head_cost_bytes,
)
from boragespring.http.raw_refusal import RefusedHead, encode_refusal
from boragespring.http.read_ahead import ReadAhead
from boragespring.http.upload import (
    Upload,
    UploadEvictedError,
    UploadMalformedError,
)

__all__ = ["CallerConnection"]

#: Maximum length of a single line. It exceeds the usual limit on the whole head,
#: which therefore applies first.
LINE_MAX_BYTES = 64 * 2**10
#: Time in seconds to read the rest of a request that was answered early.
LINGERING_TIME_S = 2.0
#: Amount of data that is read from the socket at once where less than this share of it
#: belongs to a body.
SMALL_RECEIVE_BYTES = 2 * 2**10
BODY_SHARE_MIN = 0.25


class CallerConnection(web.RequestHandler):
    """Connection of one caller.

    Parameters
    ----------
    manager : web.Server
        Server that the connection belongs to.
    current_limits : callable
        Returns the limits in effect. Those on bodies apply to requests that arrive
        from then on, the others to connections that are opened.
    budget : CallerBudget
        Memory of all callers.
    on_head_refused : callable
        Called with each head that is refused.

    Attributes
    ----------
    is_lost : bool
        Whether the connection has been closed.
    waits_since_s : float
        Monotonic time in seconds since which it waits for what `state` says.
    """

    def __init__(
        self,
        manager: web.Server,
        current_limits: Callable[[], ConnectionLimits],
        budget: CallerBudget,
        on_head_refused: Callable[[RefusedHead], None],
    ) -> None:
        limits = current_limits()
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=LINGERING_TIME_S,
            access_log=None,  # type: ignore[arg-type]
        )
        self._parser = self._create_parser()
        self._limits = limits
        self._current_limits = current_limits
        self._budget = budget
        self._on_head_refused = on_head_refused
        self._socket: asyncio.Transport | None = None
        self.is_lost = False
        self.waits_since_s = time.monotonic()
        self._is_parsing = False
        self._is_gated = False
        self._is_handled = False
        self._upload: Upload | None = None
        self._head_bytes = 0
        self._head_cost_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._is_discarding = False
        self._framing_bytes = 0
        self._read_ahead = ReadAhead()
        self._request_head_bytes = 0
        self._reply_bytes = 0

    @property
    def state(self) -> CallerState:
        """What the connection waits for."""
        if self._socket is None or self._socket.is_closing():
            return CallerState.CLOSING
        if self.writing_paused:
            return CallerState.REPLY
        if self._upload is None:
            return CallerState.HEAD if self._head_bytes else CallerState.IDLE
        if self._upload.is_complete:
            return CallerState.RUNNING
        return CallerState.BODY

    @property
    def upload(self) -> Upload:
        """Body of the request that is handled."""
        assert self._upload is not None
        return self._upload

    @property
    def is_out_of_memory(self) -> bool:
        """Whether callers hold too much memory for a further request."""
        return self._budget.is_exhausted

    def hold_reply(self, size_bytes: int) -> bool:
        """Count what is kept of a reply; return whether there is memory for it."""
        self._reply_bytes = size_bytes
        self._account()
        return size_bytes <= SMALL_REPLY_BYTES or not self._budget.is_exhausted

    def evict(self, reason: EvictionReason) -> None:
        """Free what the connection holds; refuse its request, or close it."""
        state, upload = self.state, self._upload
        is_awaited = upload is not None and upload.is_awaited
        if state is CallerState.BODY and is_awaited:
            self.upload.fail(UploadEvictedError("callers hold too much memory"))
            if reason is EvictionReason.MEMORY:
                # The handler refuses the request.
                self._account()
                return
        if state is CallerState.HEAD or is_awaited:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        self._close_at_once()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        self._socket = transport
        self._read_at_once(RECEIVE_BYTES)
        self._budget.add(self)
        self._account()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free all that the connection holds."""
        self.is_lost = True
        self._stop_timer()
        if self._upload is not None:
            self._upload.drop()
        self._budget.remove(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Note that the caller does not take its reply."""
        super().pause_writing()
        self.waits_since_s = time.monotonic()
        self._account()

    def resume_writing(self) -> None:
        """Count what the caller has taken of its reply."""
        super().resume_writing()
        self._account()

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        if self._is_parsing or self._is_discarding:
            # The library lets the parser go on, as `_parse` does.
            return
        if not self._is_gated:
            self._feed(data)
        elif data:
            self._hold_back(data)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Send a reply, then let the next request follow."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._on_request_handled()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Refuse a request without the library's page, which quotes what arrived.

        Raises
        ------
        ConnectionError
            Always, as the connection is closed.
        """
        if isinstance(exc, ConnectionError):
            raise exc
        if status == HTTPStatus.INTERNAL_SERVER_ERROR:
            logging.error("event=request_failed", exc_info=exc)
        if not request.writer.output_size:
            self._refuse(HTTPStatus(status))
        raise ConnectionError("the connection is closed after an error")

    def _create_parser(self) -> Any:
        """Return a parser that stops after each request, and decodes no body."""
        return HttpRequestParser(
            self,
            self._loop,
            RECEIVE_BYTES,
            max_line_size=LINE_MAX_BYTES,
            max_field_size=LINE_MAX_BYTES,
            max_headers=HEADERS_MAX,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )

    def _feed(self, data: bytes) -> None:
        """Parse received bytes up to the end of a request, and count what is kept."""
        upload = self._upload
        received_bytes = upload.received_bytes if upload is not None else 0
        self._read_ahead.feed(len(data))
        self._is_parsing = True
        try:
            self._parse(data)
        finally:
            self._is_parsing = False
        if self._upload is None:
            self._count_head(data)
        elif self._upload.is_complete:
            self._gate()
        elif self._upload is upload and upload.received_bytes == received_bytes:
            self._count_framing(data)
        else:
            self._framing_bytes = 0
            self._pace(len(data), self._upload.received_bytes - received_bytes)
        self._account()

    def _pace(self, data_bytes: int, body_bytes: int) -> None:
        """Read less at once where most of it is framing, which takes long to parse.

        Many connections that send small chunks would otherwise keep the event loop from
        all others for a whole turn.
        """
        if data_bytes < SMALL_RECEIVE_BYTES:
            return
        is_mostly_framing = body_bytes < BODY_SHARE_MIN * data_bytes
        self._read_at_once(SMALL_RECEIVE_BYTES if is_mostly_framing else RECEIVE_BYTES)

    def _read_at_once(self, size_bytes: int) -> None:
        # Attribute of asyncio's transports on selectors.
        self._socket.max_size = size_bytes  # type: ignore[union-attr]

    def _parse(self, data: bytes) -> None:
        message_count = len(self._messages)
        super().data_received(data)
        if len(self._messages) > message_count:
            self._begin_request(*self._messages[-1])
        upload = self._upload
        # The parser stops where much of a body is not taken.
        while upload is not None and upload.collect() and not upload.is_complete:
            super().data_received(b"")

    def _begin_request(self, message: Any, payload: StreamReader) -> None:
        """Collect the body of a request whose head is complete."""
        if self._upload is not None:
            self._upload.fail(UploadMalformedError("its framing cannot be read"))
            return
        self._stop_timer()
        self._head_bytes = 0
        if isinstance(message, RawRequestMessage):
            size_bytes = head_bytes(message.method, message.path, message.raw_headers)
            self._request_head_bytes = size_bytes
            self._head_cost_bytes = head_cost_bytes(
                size_bytes, len(message.raw_headers)
            )
        limits = self._current_limits()
        self._budget.allow_request(limits.largest_request_bytes)
        self._upload = Upload(payload, limits.body_bytes)
        self._is_handled = False
        self.waits_since_s = time.monotonic()

    def _count_head(self, data: bytes) -> None:
        """Count received bytes of an incomplete head, and limit them."""
        if not data:
            return
        if not self._head_bytes:
            self.waits_since_s = time.monotonic()
        self._head_bytes += len(data)
        self._head_cost_bytes += head_cost_bytes(len(data), data.count(b"\n"))
        if self._head_timer is None:
            timeout_s = self._limits.header_timeout_s
            self._head_timer = self._loop.call_later(timeout_s, self._on_head_timeout)
        if self._head_bytes > self._limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _count_framing(self, data: bytes) -> None:
        """Limit what arrives in a body without being part of it, such as trailers."""
        self._framing_bytes += len(data)
        if self._framing_bytes > self._limits.header_bytes:
            self._is_discarding = True
            self.upload.fail(UploadMalformedError("too long a trailer"))

    def _gate(self) -> None:
        """Parse nothing more until the request has been handled."""
        self._is_gated = True
        self._read_ahead.end_request(
            self._request_head_bytes + self.upload.received_bytes
        )
        self._limit_read_ahead()
        if self._is_handled:
            self._loop.call_soon(self._resume)

    def _hold_back(self, data: bytes) -> None:
        """Keep what arrives behind the request that is handled."""
        self._read_ahead.hold_back(data)
        self._limit_read_ahead()
        self._account()

    def _limit_read_ahead(self) -> None:
        if self._read_ahead.is_full:
            self._pause_reading_for_buffer()

    def _resume_reading_if_drained(self) -> None:
        """Leave it to `_resume` to read on, whatever the library has taken."""

    def _on_request_handled(self) -> None:
        self._is_handled = True
        self.waits_since_s = time.monotonic()
        self._head_cost_bytes = 0
        self._reply_bytes = 0
        if self._upload is not None:
            self._upload.drop()
        if self._is_gated:
            self._loop.call_soon(self._resume)
        self._account()

    def _resume(self) -> None:
        """Parse what arrived behind a request that was handled, and read on."""
        if self._socket is None or self._socket.is_closing() or not self._is_gated:
            return
        self._is_gated = False
        self._upload = None
        self._framing_bytes = 0
        self._request_head_bytes = 0
        self._feed(self._read_ahead.take())
        if self._upgraded:
            self._feed(self._take_tail_of_upgrade())
        if self._upload is None:
            kept_bytes = self._read_ahead.end_feed_without_request()
            self._head_cost_bytes = unseen_head_cost_bytes(kept_bytes)
            self._account()
        if self._buffer_paused:
            self._resume_reading_for_buffer()
            self._limit_read_ahead()

    def _take_tail_of_upgrade(self) -> bytes:
        """Return what stands behind a request to switch the protocol.

        None is switched to.
        """
        assert self._parser is not None
        self._parser.set_upgraded(False)
        self._upgraded = False
        tail, self._message_tail = self._message_tail, b""
        return tail

    def _account(self) -> None:
        """Report what the connection holds."""
        held_bytes = CONNECTION_BYTES + self._head_cost_bytes
        held_bytes += self._read_ahead.size_bytes
        held_bytes += REPLY_COST_FACTOR * self._reply_bytes
        held_bytes += HEAD_COST_FACTOR * self._framing_bytes
        if self._upload is not None:
            body_bytes = self._limits.body_cost_factor * self._upload.kept_bytes
            held_bytes += REQUEST_BYTES + body_bytes
        if self._socket is not None:
            held_bytes += self._socket.get_write_buffer_size()
        self._budget.update(self, held_bytes)

    def _on_head_timeout(self) -> None:
        # If the process was paused, the rest of the head may be waiting to be read.
        self._loop.call_soon(self._refuse_if_incomplete)

    def _refuse_if_incomplete(self) -> None:
        if self._upload is None and self._head_bytes:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _refuse(self, status: HTTPStatus) -> None:
        """Refuse a request of which no handler knows, and close the connection."""
        self._stop_timer()
        if self.transport is None or self.transport.is_closing():
            return
        self._on_head_refused(RefusedHead(int(status), self._head_bytes))
        self.transport.write(encode_refusal(status))
        self._head_cost_bytes = 0
        self.force_close()

    def _close_at_once(self) -> None:
        """Close the connection, without what waits to be sent."""
        self.force_close()
        self._budget.remove(self)
        if self._socket is not None and self._socket.get_write_buffer_size():
            self._socket.abort()

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
