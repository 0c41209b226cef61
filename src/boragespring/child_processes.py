"""Run Python modules as child processes of tests, benchmarks and soak runs."""

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

import boragespring

__all__ = ["ProcessSet", "free_ports"]

LOOPBACK = "127.0.0.1"
PORT_RANGE = range(12_000, 32_000)
PORT_SLICES = 20
CONNECT_RETRY_DELAY_S = 0.02
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


def free_ports(count: int) -> list[int]:
    """Return TCP ports that no process is listening on.

    The ports lie below the range from which the operating system takes ports
    for outgoing connections, so that no such connection occupies one of them
    before a process listens on it. Each process that looks for ports uses a slice
    of that range, so that two of them rarely find the same port.
    """
    ports = PORT_RANGE[os.getpid() % PORT_SLICES :: PORT_SLICES]
    candidates = iter(random.sample(ports, len(ports)))
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
    """Child processes that are killed when the context exits.

    Parameters
    ----------
    log_directory : Path
        Directory in which the output of each process is written to ``NAME.log``.
    """

    def __init__(self, log_directory: Path) -> None:
        self._log_directory = log_directory
        self._children: dict[str, asyncio.subprocess.Process] = {}

    async def __aenter__(self) -> "ProcessSet":
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        running = [
            child for child in self._children.values() if child.returncode is None
        ]
        for child in running:
            child.kill()
        await asyncio.gather(*(child.wait() for child in running))

    async def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m MODULE ARGUMENTS`` as the process of the given name."""
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
        """Return the path of the file with the output of a process."""
        return self._log_directory / f"{name}.log"

    def log(self, name: str) -> str:
        """Return the output that a process has written so far."""
        return self.log_path(name).read_text(encoding="utf-8")

    async def wait_for_ports(self, ports: Iterable[int]) -> None:
        """Wait until every port accepts connections.

        Raises
        ------
        RuntimeError
            If a process has exited or a port stays closed. The message contains
            the output of all processes.
        """
        for port in ports:
            try:
                async with asyncio.timeout(START_TIMEOUT_S):
                    await self._wait_for_port(port)
            except TimeoutError as error:
                raise RuntimeError(
                    f"port {port} does not accept connections: {self}"
                ) from error

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._children[name].send_signal(signal_number)

    async def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a process exits and return its exit code.

        Raises
        ------
        TimeoutError
            If the process is still running after `timeout_s` seconds.
        """
        async with asyncio.timeout(timeout_s):
            return await self._children[name].wait()

    def pid(self, name: str) -> int:
        """Return the process ID of a process."""
        return self._children[name].pid

    async def _wait_for_port(self, port: int) -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection(LOOPBACK, port)
            except OSError:
                if any(
                    child.returncode is not None for child in self._children.values()
                ):
                    raise RuntimeError(f"a process has exited: {self}") from None
                await asyncio.sleep(CONNECT_RETRY_DELAY_S)
                continue
            writer.close()
            return

    def __str__(self) -> str:
        logs = (f"{name}: {self.log(name)}" for name in self._children)
        return "\n".join(logs)
