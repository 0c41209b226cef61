"""Run one soak: deployment, callers, faults and verdict."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path

from boragespring.faults import Breach, RunReport
from boragespring.platform.soak.callers import Callers, CallRecord
from boragespring.platform.soak.deployment import SoakDeployment
from boragespring.platform.soak.injector import SoakInjector
from boragespring.platform.soak.kept_callers import KeptCallers
from boragespring.platform.soak.process_verdict import (
    check_processes,
    killed_count,
    stop_verdict,
)
from boragespring.platform.soak.rate_verdict import check_named_rates
from boragespring.platform.soak.schedule import (
    LONG_DURATIONS_S,
    PLANNED_KINDS,
    SoakFault,
    generate_faults,
)
from boragespring.platform.soak.shape import shape_of
from boragespring.platform.soak.stop_verdict import CutCause
from boragespring.platform.soak.verdict import SoakBreachKind, check_guarantees
from boragespring.platform.soak.zone_verdict import check_cold_times, check_drains

__all__ = ["NOBODY_UP", "run_soak"]

TRAFFIC_S = 6.0
#: Time within which every gateway has to be ready again after the last fault.
RECOVERY_S = 10.0
AFTER_FAULTS_S = 1.0
#: Ending of requests that found no gateway in rotation and no connection.
NOBODY_UP = "nobody_up"
#: Processes that were killed at the end of their grace period.
KILLED = "killed_after_grace"


async def run_soak(seed: int, directory: Path, network: int) -> RunReport:
    """Run the soak of a seed and check its guarantees.

    Parameters
    ----------
    seed : int
        Seed of the faults and the requests.
    directory : Path
        Directory for the settings and logs of the gateway processes.
    network : int
        Number of the loopback subnet to use.

    Returns
    -------
    RunReport
        Faults, outcomes of the requests and violated guarantees.
    """
    started_s = time.monotonic()
    faults = generate_faults(seed)
    shape = shape_of(seed)
    breaches: list[Breach] = []
    async with SoakDeployment(network, directory, shape) as deployment:
        callers = Callers(deployment, random.Random(seed), shape.requests_per_s)
        kept = KeptCallers(deployment, random.Random(f"kept {seed}"))
        injector = SoakInjector(deployment, faults)
        async with asyncio.TaskGroup() as group:
            group.create_task(kept.run(shape.kept_callers))
            traffic = group.create_task(callers.run(_traffic_s(faults)))
            injection = group.create_task(injector.run())
            await asyncio.wait([traffic, injection])
            kept.end()
        try:
            await deployment.wait_ready(RECOVERY_S)
        except TimeoutError:
            names = [
                gateway.name
                for gateway in deployment.gateways
                if not gateway.is_in_rotation
            ]
            breaches.append(Breach(SoakBreachKind.NOT_READY, "", str(names)))
        await callers.run(AFTER_FAULTS_S)
        await deployment.note_own_ends()
        breaches += check_processes(deployment)
        is_planned = all(fault.kind in PLANNED_KINDS for fault in faults)
        records = [*callers.records, *kept.records]
        causes: dict[str, CutCause] = {}
        if shape.has_stops and is_planned:
            verdict = stop_verdict(deployment)
            causes = verdict.causes(records)
            breaches += verdict.check(records)
        server_faults = injector.server_faults
        breaches += check_named_rates(
            records, deployment.platform, server_faults.named_rates
        )
        if not injector.delays_changes:
            platform = deployment.platform
            breaches += check_drains(records, platform, server_faults.drains)
            breaches += check_cold_times(records, platform, server_faults.cold_times)
        breaches += check_guarantees(
            records,
            deployment.platform,
            injector.removals,
            # The verdict on stops knows more than this one.
            is_planned and not shape.has_stops,
        )
    endings = Counter(_ending(record, causes) for record in records)
    endings.update({KILLED: killed} if (killed := killed_count(deployment)) else {})
    duration_s = time.monotonic() - started_s
    return RunReport(seed, faults, endings, tuple(breaches), duration_s)


def _ending(record: CallRecord, causes: Mapping[str, CutCause]) -> str:
    if record.met_no_gateway:
        return NOBODY_UP
    cause = causes.get(record.request_id)
    return f"status_{record.status}" + (f"_{cause}" if cause else "")


def _traffic_s(faults: Iterable[SoakFault]) -> float:
    """Return the time in seconds for which requests are sent beside the faults."""
    ends_s = (
        fault.start_s + LONG_DURATIONS_S[fault.kind]
        for fault in faults
        if fault.kind in LONG_DURATIONS_S
    )
    return max(TRAFFIC_S, *ends_s, 0.0)
