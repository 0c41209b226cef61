"""Check how the gateway processes of a soak run ended."""

import itertools
import signal

from boragespring.faults import Breach
from boragespring.platform.emulator.server_work import ServerWork
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import RequestKind
from boragespring.platform.soak.deployment import (
    CATALOG_DELAY_S,
    SoakDeployment,
)
from boragespring.platform.soak.stop_history import StopBounds, StopHistory
from boragespring.platform.soak.stop_verdict import StopVerdict

__all__ = ["check_processes", "killed_count", "stop_verdict"]

EXIT_OK, EXIT_INTERRUPTED = 0, 1


def check_processes(deployment: SoakDeployment) -> list[Breach]:
    """Return the processes that ended by themselves, or not as planned."""
    ended = [
        Breach(SoakBreachKind.ENDED_BY_ITSELF, "", f"{gateway.name}: {code}")
        for gateway in deployment.gateways
        for code in gateway.own_ends
    ]
    return ended + [
        Breach(SoakBreachKind.EXIT_CODE, "", f"{gateway.name}: {code}")
        for gateway in deployment.gateways
        for code in gateway.exit_codes
        if code not in _expected_codes(deployment)
    ]


def _expected_codes(deployment: SoakDeployment) -> set[int]:
    """Return the exit codes of planned stops.

    Streams that outlast a stop are interrupted, but only some runs have them.
    """
    interrupted = {EXIT_INTERRUPTED} if deployment.shape.has_stops else set()
    # What callers lose by that is judged by their records.
    killed = {-signal.SIGKILL} if deployment.shape.is_killed_after_grace else set()
    return {EXIT_OK} | interrupted | killed


def killed_count(deployment: SoakDeployment) -> int:
    """Return how many processes were killed, as they did not end in their grace."""
    return sum(
        gateway.exit_codes.count(-signal.SIGKILL) for gateway in deployment.gateways
    )


def stop_verdict(deployment: SoakDeployment) -> StopVerdict:
    """Return the verdict on planned work, which was all that a run had."""
    platform = deployment.platform
    works = sorted(
        itertools.chain.from_iterable(
            (
                *(engine.works for engine in platform.engines.values()),
                *(service.works for service in platform.services.values()),
            )
        ),
        key=_request_and_arrival,
    )
    history = StopHistory(
        works={
            request_id: list(group)
            for request_id, group in itertools.groupby(works, _request)
        },
        signals=[sent for gateway in deployment.gateways for sent in gateway.signals],
        changes=[(at_s, at_s) for at_s in platform.catalog_times_s],
        timeouts_s={
            RequestKind(route.prefix.strip("/")): route.timeout_ms / 1000
            for route in deployment.shape.routes
        },
    )
    bounds = StopBounds(deployment.shape.grace_s, catalog_delay_s=CATALOG_DELAY_S)
    return StopVerdict(history, bounds)


def _request(work: ServerWork) -> str:
    return work.request_id


def _request_and_arrival(work: ServerWork) -> tuple[str, float]:
    return work.request_id, work.received_at_s
