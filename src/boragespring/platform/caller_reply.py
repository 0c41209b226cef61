"""Replies to callers over HTTP."""

from aiohttp import hdrs, web

from boragespring.forwarding import Refusal, RefusalReason, ReplyHead
from boragespring.platform import names

__all__ = ["HttpCallerReply"]

_STATUS_BY_REASON = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.HEAD_TOO_LARGE: 431,
}
#: Says that the request surely has not run and never will.
_STATUS_NOT_RUN = 503
_STATUS_MAY_HAVE_RUN = 502
_STATUS_TIMED_OUT = 504


class HttpCallerReply:
    """Way back to one caller.

    Parameters
    ----------
    request : web.BaseRequest
        The caller's request.
    is_last : bool
        Whether the connection closes after the reply.
    """

    def __init__(self, request: web.BaseRequest, is_last: bool) -> None:
        self._request = request
        self._is_last = is_last
        self.response: web.StreamResponse | None = None

    async def send_buffered(self, head: ReplyHead, body: bytes) -> None:
        """Send a complete reply."""
        response = web.Response(status=head.status, body=body)
        self._add_headers(response, head)
        await self._send(response)

    async def refuse(self, refusal: Refusal) -> None:
        """Send a final answer of the gateway itself."""
        response = web.Response(
            status=_status(refusal), text=f"{refusal.reason.value}\n"
        )
        request_id = self._request.headers.get(names.REQUEST_ID)
        if request_id:
            response.headers[names.REQUEST_ID] = request_id
        if refusal.retry_after_s > 0:
            response.headers[names.RETRY_AFTER] = f"{refusal.retry_after_s:.3f}"
        await self._send(response)

    async def start(self, head: ReplyHead) -> None:
        """Begin a streamed reply."""
        response = web.StreamResponse(status=head.status)
        self._add_headers(response, head)
        response.enable_chunked_encoding()
        self._mark_last(response)
        self.response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed reply."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """End a streamed reply as complete."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection so that nothing looks complete."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    async def _send(self, response: web.Response) -> None:
        self._mark_last(response)
        self.response = response
        await response.prepare(self._request)
        await response.write_eof()

    def _mark_last(self, response: web.StreamResponse) -> None:
        if self._is_last:
            response.force_close()
            response.headers[hdrs.CONNECTION] = "close"

    def _add_headers(self, response: web.StreamResponse, head: ReplyHead) -> None:
        for name, value in head.headers:
            if name.lower() == "content-type":
                response.headers[hdrs.CONTENT_TYPE] = value
            else:
                response.headers.add(name, value)


def _status(refusal: Refusal) -> int:
    if refusal.reason in _STATUS_BY_REASON:
        return _STATUS_BY_REASON[refusal.reason]
    if refusal.was_not_run:
        return _STATUS_NOT_RUN
    if refusal.reason is RefusalReason.TIMED_OUT:
        return _STATUS_TIMED_OUT
    return _STATUS_MAY_HAVE_RUN
