"""HTTP endpoints for health, readiness, status and metrics."""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from boragespring.settings import AddressSettings

__all__ = ["HttpServer", "admin_routes"]

#: Grace period in seconds for handlers at shutdown. It is short because the
#: daemon has already drained its requests.
SHUTDOWN_TIMEOUT_S = 0.5

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

    Attributes
    ----------
    port : int
        Port in use; 0 before `start`.
    """

    def __init__(self, address: AddressSettings, app: web.Application) -> None:
        self._address = address
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._site: web.TCPSite | None = None
        self.port = 0

    async def start(self) -> None:
        """Start to listen, and set `port` to the port in use."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address.host, self._address.port)
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
