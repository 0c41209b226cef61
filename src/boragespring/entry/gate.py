"""Let an entry leave without cutting off or losing a request."""

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler

from boragespring.entry.problems import Problem

__all__ = ["RequestGate"]

#: Paths of callers; health and metrics are served to the end.
CALLER_PATHS = ("/v1/", "/services/")
LEAVING_RETRY_AFTER_S = 0.1


class RequestGate:
    """Count the requests of callers and, while leaving, turn new ones away.

    A balancer goes on sending for a while after an instance has begun to
    leave. Until the gate is closed such requests are served, and their
    responses close the connection; afterwards a request that still arrives on
    an open connection is refused as not run.
    """

    def __init__(self) -> None:
        self.is_leaving = False
        self.is_closed = False
        self.in_progress = 0
        self._idle = asyncio.Event()

    def leave(self) -> None:
        """Go on serving and ask callers to connect elsewhere next time."""
        self.is_leaving = True

    def close(self) -> None:
        """Refuse requests that arrive from now on."""
        self.is_closed = True

    async def wait_idle(self) -> None:
        """Wait until no request of a caller is in progress."""
        while self.in_progress:
            self._idle.clear()
            await self._idle.wait()

    def install(self, app: web.Application) -> None:
        """Add the gate's signal to an application."""
        app.on_response_prepare.append(self._close_connection)

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Count a request, or refuse it."""
        if not request.path.startswith(CALLER_PATHS):
            return await handler(request)
        if self.is_closed:
            message = "this entry is leaving; send the request to another one"
            raise Problem(503, "leaving", message, retry_after_s=LEAVING_RETRY_AFTER_S)
        self.in_progress += 1
        try:
            return await handler(request)
        finally:
            self.in_progress -= 1
            self._idle.set()

    async def _close_connection(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        if self.is_leaving:
            response.force_close()
            response.headers["Connection"] = "close"
