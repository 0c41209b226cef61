"""Graceful shutdown of an entry without interrupting or losing requests."""

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler

from boragespring.entry.problems import Problem, out_of_memory
from boragespring.http.collected_request import caller_connection

__all__ = ["RequestGate"]

#: Paths for callers. Health checks and metrics are served until the process ends.
CALLER_PATHS = ("/v1/", "/services/")
LEAVING_RETRY_AFTER_S = 0.1


class RequestGate:
    """Count requests in progress and reject new ones once the gate is closed.

    A load balancer keeps sending requests for a while after an instance has
    started to leave. Until the gate is closed, these requests are served and
    their responses close the connection. After that, a request that arrives on
    an open connection is rejected as not run.
    """

    def __init__(self) -> None:
        self.is_leaving = False
        self.is_closed = False
        self.in_progress = 0
        self._idle = asyncio.Event()

    def leave(self) -> None:
        """Keep serving, but close each connection after its next response."""
        self.is_leaving = True

    def close(self) -> None:
        """Reject requests that arrive from now on."""
        self.is_closed = True

    async def wait_idle(self) -> None:
        """Wait until no request from a caller is in progress."""
        while self.in_progress:
            self._idle.clear()
            await self._idle.wait()

    def install(self, app: web.Application) -> None:
        """Register the response signal handler with an application."""
        app.on_response_prepare.append(self._close_connection_if_leaving)

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Count a request while it is handled, or reject it."""
        if not request.path.startswith(CALLER_PATHS):
            return await handler(request)
        if self.is_closed:
            message = "this entry is shutting down; send the request to another one"
            raise Problem(503, "leaving", message, retry_after_s=LEAVING_RETRY_AFTER_S)
        if caller_connection(request).is_out_of_memory:
            raise out_of_memory()
        self.in_progress += 1
        try:
            return await handler(request)
        finally:
            self.in_progress -= 1
            self._idle.set()

    async def _close_connection_if_leaving(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        if self.is_leaving:
            response.force_close()
            response.headers["Connection"] = "close"
