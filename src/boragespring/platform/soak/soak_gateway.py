"""Gateway process of a soak run."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator
from pathlib import Path

from attrs import define, field

from boragespring.faults.relay import Relay
from boragespring.platform.soak.sent_signal import SentSignal
from boragespring.platform.soak.suspension import Suspension

__all__ = ["FAILED_CHECKS_MAX", "SoakGateway"]

FAILED_CHECKS_MAX = 2


@define(eq=False)
class SoakGateway:
    """Gateway process and the relay between it and the store.

    Parameters
    ----------
    name : str
        Name of the instance.
    host : str
        Its loopback address.
    callers_port, ready_port : int
        Ports for requests and for readiness checks.
    settings_path : Path
        Path of its settings file.
    relay : Relay
        Relay through which it connects to the store.
    start_count : int
        Number of starts so far.
    failed_checks : int
        Number of consecutive failed readiness checks.
    has_been_ready : bool
        Whether the current process was ready at least once.
    exit_codes : list of int
        Exit codes of planned stops.
    disturbances : list of tuple of float
        Monotonic times of the begin and the end of all that kept the process from
        running.
    stops : list of tuple of float
        Those of these times that were planned stops.
    own_ends : list of int
        Exit codes of processes that ended though nobody had stopped them.
    suspensions : list of Suspension
        All times for which its processes were suspended.
    signals : list of SentSignal
        All SIGTERM and SIGHUP that its processes were sent.
    fault_lock : asyncio.Lock
        Held while a fault that stops or signals this gateway is in progress.
    """

    name: str
    host: str
    callers_port: int
    ready_port: int
    settings_path: Path
    relay: Relay
    start_count: int = 0
    failed_checks: int = FAILED_CHECKS_MAX
    has_been_ready: bool = False
    exit_codes: list[int] = field(factory=list)
    disturbances: list[tuple[float, float]] = field(factory=list)
    stops: list[tuple[float, float]] = field(factory=list)
    own_ends: list[int] = field(factory=list)
    suspensions: list[Suspension] = field(factory=list)
    signals: list[SentSignal] = field(factory=list)
    fault_lock: asyncio.Lock = field(factory=asyncio.Lock)

    @property
    def process_name(self) -> str:
        """Name of the current process in the process set."""
        return f"{self.name}-{self.start_count}"

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.host}:{self.callers_port}"

    @contextlib.asynccontextmanager
    async def disturbed(self) -> AsyncIterator[None]:
        """Record a disturbance, of which there is one at a time."""
        async with self.fault_lock:
            began_at_s = time.monotonic()
            try:
                yield
            finally:
                self.disturbances.append((began_at_s, time.monotonic()))

    def was_undisturbed(self, from_s: float, to_s: float) -> bool:
        """Return whether nothing kept the process from running in a period."""
        return all(
            end_s < from_s or to_s < begin_s for begin_s, end_s in self.disturbances
        )

    def was_in_touch(self, from_s: float, to_s: float) -> bool:
        """Return whether a process ran in a period and neither began nor was stopped.

        A process that stops already is in touch, until it is gone.
        """
        stops_s = {*itertools.chain.from_iterable(self.stops)}
        others = [span for span in self.disturbances if span not in self.stops]
        return not (
            any(from_s <= at_s <= to_s for at_s in stops_s)
            or any(begin_s <= to_s and from_s <= end_s for begin_s, end_s in others)
        )

    @property
    def is_in_rotation(self) -> bool:
        """Whether the load balancer sends new requests to the gateway."""
        return self.failed_checks < FAILED_CHECKS_MAX
