"""Run seeded faults, each run on a deployment of its own."""

import asyncio
import contextlib
import itertools
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from typing import Any

import aiohttp
from attrs import frozen

from boragespring.faults.callers import CallerRecord, run_call
from boragespring.faults.deployment import FaultDeployment
from boragespring.faults.hosting import DaemonKilledError
from boragespring.faults.injector import FaultInjector
from boragespring.faults.schedule import (
    PLANNED_KINDS,
    Fault,
    SeededFault,
    generate_faults,
)
from boragespring.faults.verdict import (
    Breach,
    BreachKind,
    check_guarantees,
    read_ledgers,
)
from boragespring.faults.workload import generate_plans
from boragespring.standins.engine_core import RunState

__all__ = ["RunReport", "run_many", "run_one"]

IDLE_TIMEOUT_S = 15.0
IDLE_POLL_INTERVAL_S = 0.02


@frozen
class RunReport:
    """Outcome of a run.

    Parameters
    ----------
    seed : int
        Seed of the run.
    faults : tuple of SeededFault
        Injected faults.
    endings : Counter of str
        Number of requests by error code or, without one, by ending.
    breaches : tuple of Breach
        Violated guarantees.
    duration_s : float
        Duration of the run in seconds.
    """

    seed: int
    faults: tuple[SeededFault[Any], ...]
    endings: Counter[str]
    breaches: tuple[Breach, ...]
    duration_s: float

    def describe(self) -> str:
        """Return a one-line summary of the run."""
        kinds = "+".join(fault.kind.value for fault in self.faults)
        endings = " ".join(f"{key}={n}" for key, n in sorted(self.endings.items()))
        return f"seed={self.seed} faults={kinds} {endings}"


async def run_one(seed: int) -> RunReport:
    """Run the faults of a seed and check the guarantees."""
    started_s = time.monotonic()
    faults = generate_faults(seed)
    async with FaultDeployment() as deployment:
        await deployment.wait_ready()
        records, failures = await _run_requests(deployment, seed, faults)
        unfinished = [*failures, *await _wait_until_idle(deployment)]
        ledgers = read_ledgers(deployment.engines, deployment.services)
    is_planned_only = all(fault.kind in PLANNED_KINDS for fault in faults)
    breaches = (*check_guarantees(records, ledgers, is_planned_only), *unfinished)
    duration_s = time.monotonic() - started_s
    return RunReport(seed, faults, _count_endings(records), breaches, duration_s)


async def run_many(seeds: Iterable[int], concurrency: int) -> AsyncIterator[RunReport]:
    """Run several seeds concurrently and yield each report when its run ends.

    Parameters
    ----------
    seeds : iterable of int
        Seeds to run.
    concurrency : int
        Maximum number of concurrent runs.
    """
    pending = iter(seeds)
    running = {
        asyncio.create_task(run_one(seed))
        for seed in itertools.islice(pending, concurrency)
    }
    while running:
        done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        running |= {
            asyncio.create_task(run_one(seed))
            for seed in itertools.islice(pending, len(done))
        }
        for task in done:
            yield task.result()


async def _run_requests(
    deployment: FaultDeployment, seed: int, faults: tuple[Fault, ...]
) -> tuple[list[CallerRecord], list[Breach]]:
    injector = FaultInjector(deployment)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        asyncio.TaskGroup() as group,
    ):
        injections = [group.create_task(_inject(injector, fault)) for fault in faults]
        calls = [
            group.create_task(run_call(session, plan, deployment.entry_url))
            for plan in generate_plans(seed, faults)
        ]
        records = [await call for call in calls]
        failures = [await injection for injection in injections]
    chain = itertools.chain.from_iterable
    return list(chain(records)), list(chain(failures))


async def _inject(injector: FaultInjector, fault: Fault) -> list[Breach]:
    # The second fault of a pair may kill the daemon that the first one drains.
    with contextlib.suppress(DaemonKilledError):
        try:
            await injector.run(fault)
        except TimeoutError:
            return [Breach(BreachKind.LEFT_RUNNING, "", f"{fault.kind} timed out")]
    return []


async def _wait_until_idle(deployment: FaultDeployment) -> list[Breach]:
    """Wait until nothing is running; report all that still runs after the timeout."""
    deadline_s = time.monotonic() + IDLE_TIMEOUT_S
    while unfinished := _describe_unfinished(deployment):
        if time.monotonic() > deadline_s:
            return [Breach(BreachKind.LEFT_RUNNING, "", text) for text in unfinished]
        await asyncio.sleep(IDLE_POLL_INTERVAL_S)
    return []


def _describe_unfinished(deployment: FaultDeployment) -> list[str]:
    runs = sum(
        run.state is RunState.RUNNING
        for engine in deployment.engines
        for run in engine.ledger
    )
    buffered = sum(agent.running for agent in deployment.live_agents)
    relayed = sum(entry.running for entry in deployment.live_entries)
    counts = {
        "generations": runs,
        "buffered answers": buffered,
        "relayed answers": relayed,
    }
    return [f"{number} {name}" for name, number in counts.items() if number]


def _count_endings(records: Iterable[CallerRecord]) -> Counter[str]:
    return Counter(
        record.attempts[-1].code or record.ending.value
        for record in records
        if record.attempts
    )
