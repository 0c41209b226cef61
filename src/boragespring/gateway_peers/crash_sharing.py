"""Exchange what gateways know of crashes that requests may have caused."""

import itertools
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

from boragespring.external_values import (
    check_integer,
    check_row,
    check_string,
    check_text,
)
from boragespring.gateway_peers.messages import ServerCrashes, read_process
from boragespring.gateway_peers.network import PeerNetwork
from boragespring.links import Dispatcher, Link, LinkClosedError
from boragespring.quarantine import (
    Clearance,
    Crash,
    RequestQuarantine,
    ServiceTrait,
    Traits,
)

__all__ = ["CrashSharing"]

Item = TypeVar("Item")
#: Number of traits and processes in one message, so that it fits into a frame and takes
#: little time to encode.
MESSAGE_SIZE_MAX = 4096


class CrashSharing:
    """Flood news of crashes over all links, and all that is known over a new link.

    Only what a gateway did not know is passed on, so that each piece of news crosses
    each link a few times at most. Servers crash rarely, compared with requests.

    Parameters
    ----------
    quarantine : RequestQuarantine
        Crashes known to this gateway.
    dispatcher : Dispatcher
        Registry for the message handler of this class.
    network : PeerNetwork
        Links to the other gateways.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        quarantine: RequestQuarantine,
        dispatcher: Dispatcher,
        network: PeerNetwork,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._quarantine = quarantine
        self._network = network
        self._clock = clock
        dispatcher.on(ServerCrashes, self._handle)
        dispatcher.on_up(self._send_all)
        quarantine.news_hooks.append(self._send_news)

    def _send_all(self, link: Link) -> None:
        evidence = self._quarantine.evidence
        self._send([link], evidence.crashes, evidence.clearances)

    def _send_news(
        self, crashes: Iterable[Crash], clearances: Iterable[Clearance]
    ) -> None:
        self._send(self._network.links(), crashes, clearances)

    def _send(
        self,
        links: Iterable[Link],
        crashes: Iterable[Crash],
        clearances: Iterable[Clearance],
    ) -> None:
        # Clearances go first, so that no request is held to be a culprit in between.
        messages = [
            *(
                ServerCrashes([], [_clearance_row(clearance) for clearance in batch])
                for batch in _batches(clearances, _clearance_size)
            ),
            *(
                ServerCrashes([self._crash_row(crash) for crash in batch], [])
                for batch in _batches(crashes, _crash_size)
            ),
        ]
        for link, message in itertools.product(links, messages):
            try:
                link.send(message)
            except LinkClosedError:
                # All that is known is sent when the link is opened again.
                continue

    def _handle(self, link: Link, message: ServerCrashes) -> None:
        crashes, clearances = self._quarantine.merge(
            [self._read_crash(row) for row in message.crashes],
            [_read_clearance(row) for row in message.clearances],
        )
        others = [each for each in self._network.links() if each.peer != link.peer]
        self._send(others, crashes, clearances)

    def _crash_row(self, crash: Crash) -> list[Any]:
        age_ms = round((self._clock() - crash.at_s) * 1000)
        return [
            crash.process.server_id,
            crash.process.started_at_ms,
            crash.service,
            age_ms,
            [sorted(run) for run in crash.starting],
            [sorted(run) for run in crash.silent],
            [sorted(run) for run in crash.writing],
        ]

    def _read_crash(self, row: list[Any]) -> Crash:
        server_id, started_at_ms, service, age_ms, starting, silent, writing = (
            check_row(row, 7)
        )
        return Crash(
            process=read_process(server_id, started_at_ms),
            service=check_text(service),
            at_s=self._clock() - check_integer(age_ms) / 1000,
            starting=_read_runs(starting),
            silent=_read_runs(silent),
            writing=_read_runs(writing),
        )


def _batches(
    items: Iterable[Item], size_of: Callable[[Item], int]
) -> Iterator[list[Item]]:
    """Divide items into lists, none of which is larger than one message may be."""
    batch: list[Item] = []
    size = 0
    for item in items:
        size += size_of(item)
        if batch and size > MESSAGE_SIZE_MAX:
            yield batch
            batch, size = [], size_of(item)
        batch.append(item)
    if batch:
        yield batch


def _crash_size(crash: Crash) -> int:
    runs = itertools.chain(crash.starting, crash.silent, crash.writing)
    return sum(map(len, runs))


def _clearance_size(clearance: Clearance) -> int:
    return 1 + len(clearance.processes)


def _clearance_row(clearance: Clearance) -> list[Any]:
    processes = [
        [process.server_id, process.started_at_ms] for process in clearance.processes
    ]
    return [*clearance.key, processes]


def _read_clearance(row: list[Any]) -> Clearance:
    service, trait, processes = check_row(row, 3)
    return Clearance(
        ServiceTrait(check_text(service), check_string(trait)),
        frozenset(read_process(*check_row(process, 2)) for process in processes),
    )


def _read_runs(rows: Iterable[Iterable[Any]]) -> frozenset[Traits]:
    return frozenset(frozenset(map(check_string, traits)) for traits in rows)
