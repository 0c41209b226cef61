"""Share what gateways observe of backend servers: outcomes, work and slowdowns.

Each gateway passes on the sum of what is new to the receiver, so that the number of
messages does not grow with the number of gateways. What is lost with a link is not sent
again, as it would soon be outdated.
"""

import time
from collections.abc import Callable
from typing import Any

from attrs import define, field

from boragespring.event_loop import sleep_until_tick
from boragespring.external_values import check_integer, check_number, check_row
from boragespring.fleet import ServerProcess
from boragespring.gateway_peers.messages import ServerObservations, read_process
from boragespring.gateway_peers.network import PeerNetwork
from boragespring.links import Dispatcher, Link, LinkClosedError
from boragespring.server_pace import WorkSample

__all__ = ["ObservationSharing"]

#: Time in seconds between two messages to a gateway.
SEND_INTERVAL_S = 0.15

#: Called with a server and the numbers of its requests that have ended and failed.
OutcomeHook = Callable[[ServerProcess, int, int], None]
#: Called with a server and work that it has done.
WorkHook = Callable[[ServerProcess, WorkSample], None]
#: Called with a server, a slowdown that it stated, and the age of that in seconds.
SlowdownHook = Callable[[ServerProcess, float, float], None]


@define
class _Observed:
    """What was observed of one server since the last message.

    Parameters
    ----------
    ended, failed : int
        Numbers of requests.
    units, seconds : float
        Work, and the time that it took.
    slowdown : float
        Latest stated slowdown; 0 if there is none.
    stated_at_s : float
        Monotonic time in seconds at which it was stated.
    """

    ended: int = 0
    failed: int = 0
    units: float = 0.0
    seconds: float = 0.0
    slowdown: float = 0.0
    stated_at_s: float = float("-inf")

    def add(self, other: "_Observed") -> None:
        self.ended += other.ended
        self.failed += other.failed
        self.units += other.units
        self.seconds += other.seconds
        if other.stated_at_s > self.stated_at_s:
            self.slowdown, self.stated_at_s = other.slowdown, other.stated_at_s

    def row(self, process: ServerProcess, now_s: float) -> list[Any]:
        age_ms = round((now_s - self.stated_at_s) * 1000) if self.slowdown else 0
        return [
            process.server_id,
            process.started_at_ms,
            self.ended,
            self.failed,
            round(self.units),
            round(self.seconds * 1000),
            round(self.slowdown * 100),
            age_ms,
        ]


@define
class _Pending:
    """Observations that one gateway has not been sent, by server."""

    by_process: dict[ServerProcess, _Observed] = field(factory=dict)

    def add(self, process: ServerProcess, observed: _Observed) -> None:
        self.by_process.setdefault(process, _Observed()).add(observed)


class ObservationSharing:
    """Send new observations periodically, by way of the relays.

    Parameters
    ----------
    dispatcher : Dispatcher
        Registry for the message handler of this class.
    network : PeerNetwork
        Links to the other gateways.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        network: PeerNetwork,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._network = network
        self._clock = clock
        self._pending: dict[str, _Pending] = {}
        self.outcome_hooks: list[OutcomeHook] = []
        self.work_hooks: list[WorkHook] = []
        self.slowdown_hooks: list[SlowdownHook] = []
        dispatcher.on(ServerObservations, self._handle)

    async def run(self) -> None:
        """Send what is new until cancelled."""
        while True:
            await sleep_until_tick(SEND_INTERVAL_S)
            self.send()

    def record_outcome(self, process: ServerProcess, has_failed: bool) -> None:
        """Pass on the outcome of a request of this gateway."""
        self._add(self._network.local_name, process, _Observed(1, int(has_failed)))

    def record_work(self, process: ServerProcess, work: WorkSample) -> None:
        """Pass on work that a server has done for this gateway."""
        observed = _Observed(units=work.units, seconds=work.seconds)
        self._add(self._network.local_name, process, observed)

    def record_slowdown(self, process: ServerProcess, slowdown: float) -> None:
        """Pass on a slowdown that a server has just stated to this gateway."""
        observed = _Observed(slowdown=slowdown, stated_at_s=self._clock())
        self._add(self._network.local_name, process, observed)

    def send(self) -> None:
        """Send all observations that are new to each receiver."""
        pending, self._pending = self._pending, {}
        now_s = self._clock()
        for name, link in self._receivers().items():
            if name not in pending:
                continue
            rows = [
                observed.row(process, now_s)
                for process, observed in pending[name].by_process.items()
            ]
            try:
                link.send(ServerObservations(rows))
            except LinkClosedError:
                continue

    def _receivers(self) -> dict[str, Link]:
        return {**self._network.upstream_links(), **self._network.joined_links()}

    def _add(self, source: str, process: ServerProcess, observed: _Observed) -> None:
        joined = self._network.joined_links()
        is_from_here = source == self._network.local_name or source in joined
        for name in self._receivers():
            # Relays send each other only what they and their gateways have seen.
            if name != source and (is_from_here or name in joined):
                self._pending.setdefault(name, _Pending()).add(process, observed)

    def _handle(self, link: Link, message: ServerObservations) -> None:
        now_s = self._clock()
        for process, observed in [_read_row(row, now_s) for row in message.rows]:
            self._apply(process, observed, now_s)
            self._add(link.peer.name, process, observed)

    def _apply(self, process: ServerProcess, observed: _Observed, now_s: float) -> None:
        if observed.ended:
            for on_outcome in self.outcome_hooks:
                on_outcome(process, observed.ended, observed.failed)
        if observed.units:
            for on_work in self.work_hooks:
                on_work(process, WorkSample(observed.units, observed.seconds))
        if observed.slowdown:
            for on_slowdown in self.slowdown_hooks:
                on_slowdown(process, observed.slowdown, now_s - observed.stated_at_s)


def _read_row(row: object, now_s: float) -> tuple[ServerProcess, _Observed]:
    server_id, started_at_ms, *numbers, percent, age_ms = check_row(row, 8)
    ended, failed, units, time_ms = map(check_number, numbers)
    stated_at_s = now_s - check_integer(age_ms) / 1000 if percent else float("-inf")
    return read_process(server_id, started_at_ms), _Observed(
        int(ended),
        int(failed),
        units,
        time_ms / 1000,
        check_number(percent) / 100,
        stated_at_s,
    )
