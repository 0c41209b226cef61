"""Keep the pace of each server up to date."""

import time
from collections import defaultdict
from collections.abc import Callable

from boragespring.fleet.model import BackendServer, ServerProcess, StatedLoad
from boragespring.fleet.state import Fleet
from boragespring.server_pace import WorkSample, relative_pace, total_work

__all__ = ["ServerPaces"]

#: Called with work that a server has done for this gateway.
WorkHook = Callable[[ServerProcess, WorkSample], None]
#: Called with a slowdown that a server has stated to this gateway.
SlowdownHook = Callable[[ServerProcess, float], None]


class ServerPaces:
    """Add up the work of servers that state slowdowns, and compare them.

    Servers that state none count as equally fast.

    Parameters
    ----------
    fleet : Fleet
        Servers whose pace is kept.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self, fleet: Fleet, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self.work_hooks: list[WorkHook] = []
        self.slowdown_hooks: list[SlowdownHook] = []

    def record_load(self, server: BackendServer, load: StatedLoad) -> None:
        """Apply the load that a server has stated in a reply."""
        if load.slowdown is None:
            return
        server.pace.state_slowdown(load.slowdown, load.at_s)
        for hook in self.slowdown_hooks:
            hook(ServerProcess.of(server), load.slowdown)

    def record_work(
        self, server: BackendServer, units: float, duration_s: float
    ) -> None:
        """Add work that a server has done for this gateway.

        Parameters
        ----------
        server : BackendServer
            Server that has just answered.
        units : float
            Calls of a plain service, or prompt tokens that an engine had to read.
        duration_s : float
            Time in seconds that it took.
        """
        if not server.pace.states_slowdown or units <= 0 or duration_s <= 0:
            return
        seconds = duration_s / server.pace.stated_slowdown
        server.pace.add_work(self._clock(), units, seconds)
        for hook in self.work_hooks:
            hook(ServerProcess.of(server), WorkSample(units, seconds))

    def add_peer_work(self, process: ServerProcess, work: WorkSample) -> None:
        """Add work that a server has done for other gateways."""
        server = self._fleet.find_process(process)
        if server is not None:
            server.pace.add_work(self._clock(), work.units, work.seconds)

    def add_peer_slowdown(
        self, process: ServerProcess, slowdown: float, age_s: float
    ) -> None:
        """Apply a slowdown that a server stated to another gateway."""
        server = self._fleet.find_process(process)
        if server is not None:
            server.pace.state_slowdown(slowdown, self._clock() - age_s)

    def refresh(self) -> None:
        """Compare the servers of each service; called several times a second."""
        now_s = self._clock()
        by_service: dict[str, list[tuple[BackendServer, WorkSample]]]
        by_service = defaultdict(list)
        for server in self._fleet.servers:
            if server.pace.states_slowdown:
                sample = server.pace.work(now_s)
                by_service[server.registration.service].append((server, sample))
        for rows in by_service.values():
            total = total_work(sample for _, sample in rows)
            for server, sample in rows:
                server.unit_s = total.seconds_per_unit
                server.relative_pace = relative_pace(sample, total)
