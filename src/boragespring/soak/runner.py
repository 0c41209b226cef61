"""One soak: a deployment, its callers, its faults, and the verdict."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

from attrs import frozen

from boragespring.soak.callers import Callers
from boragespring.soak.deployment import SoakDeployment
from boragespring.soak.injector import SoakInjector
from boragespring.soak.schedule import PLANNED_KINDS, SoakFault, draw_faults
from boragespring.soak.verdict import SoakBreach, SoakBreachKind, judge

__all__ = ["SoakReport", "run_soak"]

TRAFFIC_S = 6.0
#: Time in which every gateway has to be ready again after the last fault.
RECOVERY_S = 10.0
AFTER_FAULTS_S = 1.0


@frozen
class SoakReport:
    """Outcome of one soak.

    Parameters
    ----------
    seed : int
        Its seed.
    faults : tuple of SoakFault
        What went wrong.
    statuses : Counter
        Requests by status; 0 for those without one.
    breaches : tuple of SoakBreach
        Promises that were broken.
    duration_s : float
        Time of the run.
    """

    seed: int
    faults: tuple[SoakFault, ...]
    statuses: Counter[int]
    breaches: tuple[SoakBreach, ...]
    duration_s: float

    def describe(self) -> str:
        """Return one line on the run."""
        kinds = "+".join(
            fault.kind.value for fault in sorted(self.faults, key=lambda one: one.at_s)
        )
        statuses = " ".join(f"{key}={n}" for key, n in sorted(self.statuses.items()))
        return f"seed={self.seed} faults={kinds} {statuses}"


async def run_soak(seed: int, directory: Path, network: int) -> SoakReport:
    """Run one seed; logs and settings of its processes go to a directory."""
    begun_s = time.monotonic()
    faults = draw_faults(seed)
    breaches: list[SoakBreach] = []
    async with SoakDeployment(network, directory) as deployment:
        callers = Callers(deployment, random.Random(seed))
        injector = SoakInjector(deployment, faults)
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run(TRAFFIC_S))
            group.create_task(injector.run())
        try:
            await deployment.wait_ready(RECOVERY_S)
        except TimeoutError:
            names = [one.name for one in deployment.gateways if not one.is_in_rotation]
            breaches.append(SoakBreach(SoakBreachKind.NOT_READY, "", str(names)))
        await callers.run(AFTER_FAULTS_S)
        breaches += [
            SoakBreach(SoakBreachKind.EXIT_CODE, "", f"{gateway.name}: {code}")
            for gateway in deployment.gateways
            for code in gateway.exit_codes
            if code
        ]
        is_planned = all(fault.kind in PLANNED_KINDS for fault in faults)
        received = callers.received
        breaches += judge(received, deployment.platform, injector.removals, is_planned)
    statuses = Counter(one.status for one in received)
    duration_s = time.monotonic() - begun_s
    return SoakReport(seed, faults, statuses, tuple(breaches), duration_s)
