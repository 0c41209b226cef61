"""Run a daemon as a process: signals, drain and exit code."""

import asyncio
import gc
import signal
from collections.abc import Callable
from typing import Protocol

from absl import logging

__all__ = ["Daemon", "run_daemon"]

EXIT_OK = 0
EXIT_CUT_OFF = 1


class Daemon(Protocol):
    """What a process runs."""

    async def start(self) -> None:
        """Open the ports."""
        ...

    async def drain(self) -> None:
        """Take no new work and wait for what runs."""
        ...

    async def stop(self) -> None:
        """Close everything."""
        ...


async def run_daemon(daemon: Daemon, reload: Callable[[], None] | None = None) -> int:
    """Run a daemon until a signal; return the exit code.

    The first SIGTERM or SIGINT drains, a second one ends the drain. SIGHUP
    calls ``reload`` where there is one; without one it ends the process.
    """
    first, second = asyncio.Event(), asyncio.Event()

    def on_signal() -> None:
        (second if first.is_set() else first).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.start()
    # What has been built by now lives as long as the process; the collector
    # need not visit it again.
    gc.freeze()
    await first.wait()
    drain = asyncio.create_task(daemon.drain())
    cut = asyncio.create_task(second.wait())
    await asyncio.wait((drain, cut), return_when=asyncio.FIRST_COMPLETED)
    cut.cancel()
    exit_code = _exit_code(drain)
    await daemon.stop()
    return exit_code


def _exit_code(drain: asyncio.Task[None]) -> int:
    if not drain.done():
        drain.cancel()
        logging.warning("event=drain_ended reason=second_signal")
        return EXIT_CUT_OFF
    if isinstance(drain.exception(), TimeoutError):
        logging.warning("event=drain_ended reason=stop_timeout")
        return EXIT_CUT_OFF
    drain.result()
    return EXIT_OK
