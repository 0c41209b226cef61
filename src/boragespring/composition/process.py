"""Run a daemon as a process, with signal handling, a drain and an exit code."""

import asyncio
import gc
import signal
from collections.abc import Callable, Collection
from typing import Protocol

from absl import logging

from boragespring.allocator import map_large_blocks
from boragespring.drain_end import DrainEnd

__all__ = ["Daemon", "run_daemon"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_OK = 0
EXIT_DRAIN_INTERRUPTED = 1


class Daemon(Protocol):
    """Service that a process runs until it receives a signal."""

    async def start(self) -> None:
        """Open the ports and start to serve."""
        ...

    async def drain(self) -> None:
        """Reject new work and wait until the running work has ended.

        Raises
        ------
        TimeoutError
            If work is still running after the timeout of the daemon.
        """
        ...

    def record_drain_end(self, end: DrainEnd) -> None:
        """Record why the drain has ended before all work, which `stop` cuts off."""
        ...

    async def stop(self) -> None:
        """Close all ports and connections."""
        ...


async def run_daemon(
    daemon: Daemon,
    reload: Callable[[], None] | None = None,
    interrupt_signals: Collection[signal.Signals] = STOP_SIGNALS,
) -> int:
    """Run a daemon until it is stopped by a signal.

    The first SIGTERM or SIGINT starts the drain.

    Parameters
    ----------
    daemon : Daemon
        Daemon to run.
    reload : callable or None
        Function to call on SIGHUP. If None, SIGHUP terminates the process.
    interrupt_signals : collection of signal.Signals
        Signals that interrupt the drain; a further one of the others is only logged.

    Returns
    -------
    int
        Exit code of the process: 0 if the drain was completed, 1 if a second
        signal, the timeout or an error interrupted it.
    """
    map_large_blocks()
    first_received, interrupted = asyncio.Event(), asyncio.Event()

    def on_signal(received: signal.Signals) -> None:
        if not first_received.is_set():
            first_received.set()
        elif received in interrupt_signals:
            interrupted.set()
        else:
            logging.info("event=stop_repeated signal=%s", received.name)

    loop = asyncio.get_running_loop()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, on_signal, stop_signal)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
        # A program may hold the signal back while it starts.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await daemon.start()
    # The objects that exist now live as long as the process. Freezing them keeps
    # the garbage collector from traversing them in each collection.
    gc.freeze()
    await first_received.wait()
    drain_task = asyncio.create_task(daemon.drain())
    interrupt_task = asyncio.create_task(interrupted.wait())
    await asyncio.wait(
        (drain_task, interrupt_task), return_when=asyncio.FIRST_COMPLETED
    )
    interrupt_task.cancel()
    drain_end = _drain_end(drain_task)
    if drain_end is not None:
        daemon.record_drain_end(drain_end)
    await daemon.stop()
    _ignore_signals()
    return EXIT_OK if drain_end is None else EXIT_DRAIN_INTERRUPTED


def _ignore_signals() -> None:
    """Let no further signal end a process that is about to exit.

    The event loop resets signals to their default action as it closes, and the process
    then still writes its last log lines.
    """
    loop = asyncio.get_running_loop()
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _drain_end(drain_task: asyncio.Task[None]) -> DrainEnd | None:
    """Return why a drain has ended early; cancel a pending drain."""
    if not drain_task.done():
        drain_task.cancel()
        return DrainEnd.SECOND_SIGNAL
    error = drain_task.exception()
    if error is None:
        return None
    if isinstance(error, TimeoutError):
        return DrainEnd.STOP_TIMEOUT
    # Whatever it is, the daemon must still answer what it has.
    logging.error("event=drain_failed", exc_info=error)
    return DrainEnd.FAILED
