"""Runner of an application whose connections are bounded and counted."""

from collections.abc import Callable
from functools import partial

from aiohttp import web

from boragespring.http.caller_budget import CallerBudget
from boragespring.http.collected_request import CollectedRequest
from boragespring.http.connection_limits import ConnectionLimits
from boragespring.http.connection_server import ConnectionServer
from boragespring.http.raw_refusal import RefusedHead

__all__ = ["BoundedAppRunner"]


class BoundedAppRunner(web.AppRunner):
    """Runner that accepts connections of callers.

    Parameters
    ----------
    app : web.Application
        Application to serve.
    limits : ConnectionLimits
        Limits on each connection.
    budget : CallerBudget
        Memory and connections of all callers.
    on_head_refused : callable
        Called with each head that is refused.
    shutdown_timeout_s : float
        Time in seconds that handlers have to end at the shutdown.
    """

    def __init__(
        self,
        app: web.Application,
        limits: ConnectionLimits,
        budget: CallerBudget,
        on_head_refused: Callable[[RefusedHead], None],
        shutdown_timeout_s: float,
    ) -> None:
        super().__init__(app, handle_signals=False, shutdown_timeout=shutdown_timeout_s)
        self._limits = limits
        self._budget = budget
        self._on_head_refused = on_head_refused

    async def _make_server(self) -> web.Server:
        # It starts the application. Its server would accept the library's connections.
        await super()._make_server()
        return ConnectionServer(
            self.app._handle,  # type: ignore[arg-type]
            lambda: self._limits,
            self._budget,
            self._on_head_refused,
            partial(self.app._make_request, _cls=CollectedRequest),
        )
