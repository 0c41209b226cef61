"""Host a daemon on its own event loop, so that it can be killed or paused."""

import asyncio
import contextlib
import selectors
import socket
import threading
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Generic, Protocol, TypeVar

from boragespring.errors import BoragespringError

__all__ = ["DaemonKilledError", "HostedDaemon"]

JOIN_TIMEOUT_S = 10.0

T = TypeVar("T")


class DaemonKilledError(BoragespringError):
    """The daemon was killed while an operation on it was in progress."""


class _Daemon(Protocol):
    async def drain(self) -> None: ...
    async def stop(self) -> None: ...


D = TypeVar("D", bound=_Daemon)


class HostedDaemon(Generic[D]):
    """Daemon on an event loop in its own thread.

    The thread takes the place of a process: while the loop is paused, it runs no
    code but its sockets stay open, and a killed loop never runs again.

    Parameters
    ----------
    build : callable
        Coroutine function that builds and starts the daemon; runs on its event loop.
    """

    def __init__(self, build: Callable[[], Awaitable[D]]) -> None:
        self._selector = selectors.DefaultSelector()
        self._loop = asyncio.SelectorEventLoop(self._selector)
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._build = build
        self._daemon: D | None = None
        self._has_ended = False
        self._stop_lock = asyncio.Lock()

    @property
    def daemon(self) -> D:
        """The daemon; access only what is safe to read from other threads."""
        assert self._daemon is not None
        return self._daemon

    @property
    def is_alive(self) -> bool:
        """Whether the daemon has been neither killed nor stopped."""
        return not self._has_ended

    async def start(self) -> D:
        """Start the thread and the daemon on it."""
        self._thread.start()

        async def build() -> D:
            return await self._build()

        self._daemon = await self._run(build())
        return self._daemon

    async def drain(self) -> None:
        """Drain the daemon, then stop it.

        Raises
        ------
        DaemonKilledError
            If the daemon is killed in the meantime.
        """
        try:
            await self._run(self.daemon.drain())
        finally:
            await self.stop()

    async def stop(self) -> None:
        """Stop the daemon and end its thread."""
        async with self._stop_lock:
            if not self._has_ended:
                await self._run(self.daemon.stop())
                await self._shut_down(is_killed=False)

    def pause(self, duration_s: float) -> None:
        """Block the event loop of the daemon for `duration_s` seconds."""
        if not self._has_ended:
            self._loop.call_soon_threadsafe(time.sleep, duration_s)

    async def kill(self) -> None:
        """Stop the daemon at once; its peers see closed connections."""
        await self._shut_down(is_killed=True)

    async def _shut_down(self, *, is_killed: bool) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        await asyncio.to_thread(self._close_loop, is_killed)

    async def _run(self, coroutine: Coroutine[object, object, T]) -> T:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return await asyncio.wrap_future(future)
        except asyncio.CancelledError:
            if self._has_ended:
                raise DaemonKilledError("the daemon was killed") from None
            raise

    def _close_loop(self, is_killed: bool) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(JOIN_TIMEOUT_S)
        # A killed daemon leaves resources open as expected; do not report them.
        self._loop.set_exception_handler(lambda loop, context: None)
        if is_killed:
            self._shut_down_sockets()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        with contextlib.suppress(RuntimeError):
            self._loop.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
        self._loop.run_until_complete(self._loop.shutdown_asyncgens())
        self._loop.close()

    def _shut_down_sockets(self) -> None:
        """Shut the connections down before any cleanup code can use them."""
        for key in tuple(self._selector.get_map().values()):
            with contextlib.suppress(OSError):
                with socket.socket(fileno=socket.dup(key.fd)) as duplicate:
                    self._shut_down_socket(key.fd, duplicate)

    def _shut_down_socket(self, fd: int, duplicate: socket.socket) -> None:
        if duplicate.family != socket.AF_INET:
            return
        if duplicate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            self._loop.remove_reader(fd)
        duplicate.shutdown(socket.SHUT_RDWR)
