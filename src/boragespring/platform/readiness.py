"""HTTP endpoint at which the platform checks whether the process is ready."""

from collections.abc import Callable

from aiohttp import web

from boragespring.http.admin import HttpServer
from boragespring.http.caller_budget import CallerBudget
from boragespring.platform.names import READY_PATH
from boragespring.settings import AddressSettings

__all__ = ["ReadinessServer"]


class ReadinessServer:
    """HTTP server for the readiness check.

    Parameters
    ----------
    address : AddressSettings
        Host and port to listen on.
    why_not_ready : callable
        Returns the reason why the process is not ready, or an empty string if
        it is ready to serve callers.
    budget : CallerBudget
        Memory and connections of all callers of the process.
    """

    def __init__(
        self,
        address: AddressSettings,
        why_not_ready: Callable[[], str],
        budget: CallerBudget,
    ) -> None:
        self._why_not_ready = why_not_ready
        app = web.Application()
        app.router.add_get(READY_PATH, self._handle_readiness)
        self._server = HttpServer(address, app, budget=budget)

    async def start(self) -> None:
        """Start listening for connections."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def _handle_readiness(self, _: web.Request) -> web.Response:
        reason = self._why_not_ready()
        return web.Response(
            status=503 if reason else 200, text=f"{reason or 'ready'}\n"
        )
