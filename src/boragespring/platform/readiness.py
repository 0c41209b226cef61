"""HTTP endpoint at which the platform checks whether the process is ready."""

from collections.abc import Callable

from aiohttp import web

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
    """

    def __init__(
        self, address: AddressSettings, why_not_ready: Callable[[], str]
    ) -> None:
        self._address = address
        self._why_not_ready = why_not_ready
        app = web.Application()
        app.router.add_get(READY_PATH, self._handle_readiness)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)

    async def start(self) -> None:
        """Start listening for connections."""
        await self._runner.setup()
        await web.TCPSite(self._runner, self._address.host, self._address.port).start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _handle_readiness(self, _: web.Request) -> web.Response:
        reason = self._why_not_ready()
        return web.Response(
            status=503 if reason else 200, text=f"{reason or 'ready'}\n"
        )
