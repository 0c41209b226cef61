"""Start programs as processes of their own and read what they use."""

import asyncio
import itertools
import os
import random
import signal
import socket
import sys
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType

import psutil

import boragespring

__all__ = ["ProcessSet", "free_ports"]

LOOPBACK = "127.0.0.1"
PORTS = range(12_000, 32_000)
CONNECT_RETRY_S = 0.02
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


def free_ports(count: int) -> list[int]:
    """Return TCP ports that nothing listens on at the moment.

    They lie below the range from which the system takes ports for outgoing
    connections, so that none is lost before a process listens on it.
    """
    candidates = iter(random.sample(PORTS, len(PORTS)))
    return list(itertools.islice(filter(_is_free, candidates), count))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


class ProcessSet:
    """Context manager around child processes; ends what still runs.

    Parameters
    ----------
    log_directory : Path
        Where the output of each process goes, as ``NAME.log``.
    """

    def __init__(self, log_directory: Path) -> None:
        self._log_directory = log_directory
        self._children: dict[str, asyncio.subprocess.Process] = {}

    async def __aenter__(self) -> "ProcessSet":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        running = [c for c in self._children.values() if c.returncode is None]
        for child in running:
            child.kill()
        await asyncio.gather(*(child.wait() for child in running))

    async def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m MODULE ARGUMENTS`` under a name."""
        source = str(Path(boragespring.__file__).parent.parent)
        with self.log_path(name).open("wb") as log:
            self._children[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": source},
            )

    def log_path(self, name: str) -> Path:
        """Return the file that holds the output of a process."""
        return self._log_directory / f"{name}.log"

    def log(self, name: str) -> str:
        """Return what a process has written so far."""
        return self.log_path(name).read_text(encoding="utf-8")

    async def wait_for_ports(self, ports: Iterable[int]) -> None:
        """Wait until every port takes connections.

        Raises
        ------
        RuntimeError
            When a process has ended or a port stays closed; tells the logs.
        """
        for port in ports:
            try:
                async with asyncio.timeout(START_TIMEOUT_S):
                    await self._wait_for_port(port)
            except TimeoutError as error:
                raise RuntimeError(f"port {port} stays closed: {self}") from error

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._children[name].send_signal(number)

    async def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of a process and return its exit code."""
        async with asyncio.timeout(timeout_s):
            return await self._children[name].wait()

    def cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used."""
        times = psutil.Process(self._children[name].pid).cpu_times()
        return times.user + times.system

    def memory_bytes(self, name: str) -> int:
        """Return the resident memory of a process."""
        return psutil.Process(self._children[name].pid).memory_info().rss

    async def _wait_for_port(self, port: int) -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection(LOOPBACK, port)
            except OSError:
                if any(c.returncode is not None for c in self._children.values()):
                    raise RuntimeError(f"a process has ended: {self}") from None
                await asyncio.sleep(CONNECT_RETRY_S)
                continue
            writer.close()
            return

    def __str__(self) -> str:
        logs = (f"{name}: {self.log(name)}" for name in self._children)
        return "\n".join(logs)
