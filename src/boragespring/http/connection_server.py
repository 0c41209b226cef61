"""Server of bounded connections of callers."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from boragespring.http.caller_budget import CallerBudget
from boragespring.http.caller_connection import CallerConnection
from boragespring.http.connection_limits import ConnectionLimits
from boragespring.http.raw_refusal import RefusedHead

__all__ = ["ConnectionServer"]


class ConnectionServer(web.Server):
    """Server of connections that use the limits in effect.

    Parameters
    ----------
    handler : callable
        Handles one request.
    limits : callable
        Returns the current limits.
    budget : CallerBudget
        Memory and connections of all callers.
    on_head_refused : callable
        Called with each head that is refused.
    request_factory : callable
        Creates the request object for a parsed head.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], ConnectionLimits],
        budget: CallerBudget,
        on_head_refused: Callable[[RefusedHead], None],
        request_factory: Callable[..., web.BaseRequest],
    ) -> None:
        super().__init__(
            handler,
            request_factory=request_factory,
            handler_cancellation=True,
        )
        self._limits = limits
        self._budget = budget
        self._on_head_refused = on_head_refused

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, self._limits, self._budget, self._on_head_refused)
