"""HTTP endpoints for health, readiness, status and metrics."""

from collections.abc import Callable

from absl import logging
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from boragespring.http.bounded_runner import BoundedAppRunner
from boragespring.http.caller_budget import CallerBudget, budget_settings
from boragespring.http.connection_limits import ConnectionLimits
from boragespring.http.raw_refusal import RefusedHead
from boragespring.settings import AddressSettings, ProcessSettings

__all__ = ["HttpServer", "admin_routes"]

#: Grace period in seconds for handlers at shutdown. It is short because the
#: daemon has already drained its requests.
SHUTDOWN_TIMEOUT_S = 0.5
#: Limits on connections to the endpoints for operators, whose requests have no bodies.
ADMIN_LIMITS = ConnectionLimits(
    header_bytes=16 * 2**10,
    body_bytes=16 * 2**10,
    header_timeout_s=10.0,
    idle_timeout_s=3600.0,
)
#: Minimum time in seconds between two log lines about refused heads.
LOG_INTERVAL_S = 1.0

ReadyCheck = Callable[[], str]
StatusSource = Callable[[], dict[str, object]]


def admin_routes(
    registry: CollectorRegistry, not_ready_reason: ReadyCheck, status: StatusSource
) -> web.RouteTableDef:
    """Return the routes for health, readiness, status and metrics.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the process's metrics.
    not_ready_reason : callable
        Returns the reason why the process is not ready, or an empty string if
        it is.
    status : callable
        Returns the content of the status page.
    """
    routes = web.RouteTableDef()

    @routes.get("/healthz")
    async def healthz(_: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    @routes.get("/readyz")
    async def readyz(_: web.Request) -> web.Response:
        reason = not_ready_reason()
        if reason:
            return web.json_response(
                {"status": "not ready", "reason": reason}, status=503
            )
        return web.json_response({"status": "ready"})

    @routes.get("/status")
    async def show_status(_: web.Request) -> web.Response:
        return web.json_response(status())

    @routes.get("/metrics")
    async def metrics(_: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    return routes


class HttpServer:
    """Serve an aiohttp application on one address.

    Parameters
    ----------
    address : AddressSettings
        Host and port to listen on; port 0 selects a free port.
    app : web.Application
        Application to serve.
    limits : ConnectionLimits
        Limits on each connection.
    budget : CallerBudget or None
        Memory and connections of all callers of the process; if None, these are the
        only ones.

    Attributes
    ----------
    port : int
        Port in use; 0 before `start`.
    """

    def __init__(
        self,
        address: AddressSettings,
        app: web.Application,
        limits: ConnectionLimits = ADMIN_LIMITS,
        budget: CallerBudget | None = None,
    ) -> None:
        self._address = address
        self._budget = budget or CallerBudget(budget_settings(ProcessSettings()))
        self._runner = BoundedAppRunner(
            app, limits, self._budget, _log_refused_head, SHUTDOWN_TIMEOUT_S
        )
        self._site: web.TCPSite | None = None
        self.port = 0

    async def start(self) -> None:
        """Start to listen, and set `port` to the port in use."""
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._address.host,
            self._address.port,
            backlog=self._budget.settings.backlog,
        )
        await site.start()
        self._site = site
        self.port = self._runner.addresses[0][1]

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()


def _log_refused_head(head: RefusedHead) -> None:
    logging.log_every_n_seconds(
        logging.WARNING,
        "event=head_refused status=%d head_bytes=%d",
        LOG_INTERVAL_S,
        head.status,
        head.head_bytes,
    )
