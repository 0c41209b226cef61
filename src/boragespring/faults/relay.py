"""TCP relay that can delay, drop or reset the connections through it."""

import asyncio
import contextlib
from collections.abc import Callable

from attrs import define, field

__all__ = ["Relay"]

READ_MAX_BYTES = 64 * 2**10


@define(eq=False)
class _Connection:
    """Relayed connection: one socket to the client and one to the target."""

    client: asyncio.StreamWriter
    target: asyncio.StreamWriter
    is_silent: bool = False

    def abort(self) -> None:
        """Reset both sockets."""
        self.client.transport.abort()
        self.target.transport.abort()


@define(eq=False)
class Relay:
    """Forward TCP connections to a target address.

    Parameters
    ----------
    host : str
        Address of the target and of the listening socket.
    target_port : int
        Port of the target.
    delay_s : float
        Delay of each forwarded chunk in seconds.
    drops_requests, drops_replies : bool
        Whether bytes to the target, or from the target, are dropped.
    resets : bool
        Whether new connections are reset.
    port : int
        Port that the relay listens on; 0 before the start.
    """

    host: str
    target_port: int
    delay_s: float = 0.0
    drops_requests: bool = False
    drops_replies: bool = False
    resets: bool = False
    port: int = field(init=False, default=0)
    _server: asyncio.Server | None = field(init=False, default=None)
    _connections: set[_Connection] = field(init=False, factory=set)

    async def start(self) -> None:
        """Start listening; `port` holds the port in use."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        while self._connections:  # noqa: ASYNC110
            await asyncio.sleep(0)

    def silence(self) -> None:
        """Drop all further bytes of the currently open connections."""
        for connection in self._connections:
            connection.is_silent = True

    def reset(self) -> None:
        """Reset the currently open connections."""
        for connection in tuple(self._connections):
            connection.abort()

    def restore(self) -> None:
        """Forward everything again, except on silenced connections."""
        self.delay_s = 0.0
        self.drops_requests = self.drops_replies = self.resets = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.resets:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(writer, target_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(
                    connection, reader, target_writer, lambda: self.drops_requests
                ),
                self._forward(
                    connection, target_reader, writer, lambda: self.drops_replies
                ),
            )
        finally:
            self._connections.discard(connection)
            # Both ends are closed, and nobody else knows these sockets any more.
            if connection.is_silent:
                connection.abort()

    async def _forward(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_dropping: Callable[[], bool],
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_MAX_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not connection.is_silent and not is_dropping():
                    writer.write(data)
                    await writer.drain()
        # On a silent connection, neither end is notified that the other one closed.
        if not connection.is_silent:
            writer.close()
