"""Decide whether the end of a connection is also the end of the reply on it.

A reply with neither a length nor chunks ends when its server closes the connection. The
kernel closes the connections of a process that crashes in the same way, so such a reply
is complete only if the process has outlived its connection.
"""

import asyncio
import contextlib
import time
from types import TracebackType
from typing import Self

from boragespring.fleet import BackendServer, Fleet
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import ReplyBrokenError
from boragespring.forwarding.messages import Reachability
from boragespring.forwarding.reachability import try_connections
from boragespring.http.connection_watch import ConnectionWatch
from boragespring.http.reply_end import ReplyFraming

__all__ = ["UnframedEndCheck"]

#: Maximum number of connections that are tried at the end of a reply.
TRIES_MAX = 2
#: Time in seconds within which two connections to a server end together.
TOGETHER_S = 0.05


class UnframedEndCheck:
    """Check the end of one reply; a context manager around receiving its body.

    A second connection is open meanwhile, which ends with the process of the server.
    It reveals a process that is replaced at once under its address. It is not opened
    if the body is received at once. Replies that mark their end need none of this.

    Parameters
    ----------
    context : ForwardingContext
        Dependencies shared by all requests.
    server : BackendServer
        Server of the reply.
    framing : ReplyFraming
        How the end of the body is marked.
    """

    def __init__(
        self, context: ForwardingContext, server: BackendServer, framing: ReplyFraming
    ) -> None:
        self._context = context
        self._server = server
        self._is_needed = framing is ReplyFraming.CONNECTION
        self._opening: asyncio.Task[ConnectionWatch | None] | None = None

    def __enter__(self) -> Self:
        if self._is_needed:
            opening = self._context.calls.watch_connection(self._server)
            self._opening = asyncio.create_task(opening)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        watch = self._opened_watch()
        if watch is not None:
            watch.close()
        elif self._opening is not None:
            self._opening.cancel()

    async def verify(self) -> None:
        """Raise `ReplyBrokenError` unless the reply that just ended is complete."""
        if self._opening is None:
            return
        ended_at_s = time.monotonic()
        watch = self._opened_watch()
        if watch is None:
            self._opening.cancel()
        found = await try_connections(self._context.calls, self._server, TRIES_MAX)
        if found is Reachability.REFUSING:
            raise ReplyBrokenError("the server closed the connection and is gone")
        if found is Reachability.SILENT:
            raise ReplyBrokenError("the server closed the connection and is silent")
        if watch is not None and _ended_together(watch, ended_at_s):
            raise ReplyBrokenError("the server closed its connections together")
        if _is_replaced(self._context.fleet, self._server):
            raise ReplyBrokenError("another process has the address of the server")

    def _opened_watch(self) -> ConnectionWatch | None:
        if self._opening is None or not self._opening.done():
            return None
        with contextlib.suppress(asyncio.CancelledError):
            return self._opening.result()
        return None


def _ended_together(watch: ConnectionWatch, ended_at_s: float) -> bool:
    """Return whether a connection was closed neither long before a reply nor later."""
    return ended_at_s - TOGETHER_S <= watch.closed_at_s < float("inf")


def _is_replaced(fleet: Fleet, server: BackendServer) -> bool:
    """Return whether another process has registered under an identifier or address."""
    if fleet.find(server.server_id) not in (server, None):
        return True
    return any(
        other.address == server.address and other.joined_at_s > server.joined_at_s
        for other in fleet.servers
    )
