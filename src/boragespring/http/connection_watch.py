"""Connection that carries nothing and shows when the process at its end is gone."""

import asyncio
import time
from typing import cast

__all__ = ["ConnectionWatch", "watch_connection"]


class ConnectionWatch(asyncio.Protocol):
    """Idle connection whose orderly close by the other end is recorded.

    Attributes
    ----------
    closed_at_s : float
        Monotonic time in seconds at which the other end closed the connection in order;
        infinite as long as it has not, and after a reset.
    """

    def __init__(self) -> None:
        self.closed_at_s = float("inf")
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Close the connection, as nothing was asked for on it."""
        self.close()

    def eof_received(self) -> None:
        """Record the orderly close; the transport then closes this end."""
        self.closed_at_s = time.monotonic()

    def close(self) -> None:
        """Close this end."""
        if self._transport is not None:
            self._transport.abort()


async def watch_connection(host: str, port: int) -> ConnectionWatch:
    """Open a connection and watch it; raise `OSError` if there is none."""
    loop = asyncio.get_running_loop()
    _, watch = await loop.create_connection(ConnectionWatch, host, port)
    return watch
