"""Benchmark the shared limits: overshoot, utilization and CPU time of a holder."""

import asyncio
import bisect
import time
from collections.abc import Sequence

from attrs import frozen

from boragespring.bench.limit_fleet import LimitFleet, PlanLimits
from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.limits import LimitSettings
from boragespring.limits.allocator import ShareAllocator, ShareDemand
from boragespring.limits.shares import Share

__all__ = ["LimitResult", "run"]

WINDOW_S = 10.0
STEADY_FROM_S, STEADY_UNTIL_S = 30.0, 90.0
ONE_PARTITION = LimitSettings(partitions=1)


@frozen
class LimitResult:
    """Overshoot and utilization of a limit under one pattern of demand.

    Parameters
    ----------
    name : str
        Limit and pattern of demand.
    overshoot : float
        Ratio of the maximum usage to the allowed usage, minus 1.
    utilization : float
        Ratio of the usage in the steady state to the limit of the plan.
    """

    name: str
    overshoot: float
    utilization: float


def measure_concurrency(entries: int, busy: int) -> LimitResult:
    """Measure the concurrency limit under callers that retry soon when refused.

    Parameters
    ----------
    entries : int
        Number of entries.
    busy : int
        Number of entries that receive requests.
    """
    plan = PlanLimits(concurrency=60, requests_per_s=1e5)

    async def main() -> LimitResult:
        fleet = LimitFleet(entries, plan, ONE_PARTITION)
        used_slot_s = 0.0
        async with asyncio.TaskGroup() as group:
            for name in list(fleet.nodes)[:busy]:
                for _ in range(2 * plan.concurrency // busy):
                    group.create_task(_send_in_closed_loop(fleet, name))
            step_s = 0.05
            while fleet.clock() < STEADY_UNTIL_S:
                if fleet.clock() >= STEADY_FROM_S:
                    used_slot_s += fleet.running * step_s
                await asyncio.sleep(step_s)
        await fleet.stop()
        available_slot_s = plan.concurrency * (STEADY_UNTIL_S - STEADY_FROM_S)
        return LimitResult(
            f"concurrency, {busy} of {entries} entries busy",
            fleet.running_max / plan.concurrency - 1,
            used_slot_s / available_slot_s,
        )

    return run_in_virtual_time(main())


async def _send_in_closed_loop(fleet: LimitFleet, name: str) -> None:
    while fleet.clock() < STEADY_UNTIL_S:
        if not await fleet.request(name, fleet.rng.uniform(0.5, 1.5)):
            await asyncio.sleep(fleet.rng.uniform(0.02, 0.08))


def measure_request_rate(entries: int, busy: int) -> LimitResult:
    """Measure the request rate limit at four times the rate of the plan.

    Parameters
    ----------
    entries : int
        Number of entries.
    busy : int
        Number of entries that receive requests.
    """
    plan = PlanLimits(concurrency=10_000, requests_per_s=100, request_burst=20)

    async def main() -> LimitResult:
        fleet = LimitFleet(entries, plan, ONE_PARTITION)
        async with asyncio.TaskGroup() as group:
            for name in list(fleet.nodes)[:busy]:
                group.create_task(
                    _send_in_open_loop(
                        fleet, group, name, 4 * plan.requests_per_s / busy
                    )
                )
        await fleet.stop()
        allowed = plan.requests_per_s * WINDOW_S + plan.request_burst
        events = [(time_s, 1) for time_s in fleet.starts]
        return LimitResult(
            f"requests, {busy} of {entries} entries busy",
            max_in_window(events) / allowed - 1,
            _steady_rate(events) / plan.requests_per_s,
        )

    return run_in_virtual_time(main())


def measure_token_rate(
    entries: int, busy: int, mean_tokens: float = 100.0
) -> LimitResult:
    """Measure the token rate limit with exponentially distributed answer lengths.

    Parameters
    ----------
    entries : int
        Number of entries.
    busy : int
        Number of entries that receive requests.
    mean_tokens : float
        Mean length of an answer in tokens.
    """
    plan = PlanLimits(10_000, 1e5, 1000, tokens_per_s=5000, token_burst_s=2.0)

    async def main() -> LimitResult:
        fleet = LimitFleet(entries, plan, ONE_PARTITION)
        async with asyncio.TaskGroup() as group:
            for name in list(fleet.nodes)[:busy]:
                group.create_task(
                    _send_in_open_loop(
                        fleet, group, name, 20_000 / mean_tokens / busy, mean_tokens
                    )
                )
        await fleet.stop()
        allowed = plan.tokens_per_s * (WINDOW_S + plan.token_burst_s)
        return LimitResult(
            f"tokens, mean {mean_tokens:.0f}, {busy} of {entries} entries busy",
            max_in_window(fleet.charges) / allowed - 1,
            _steady_rate(fleet.charges) / plan.tokens_per_s,
        )

    return run_in_virtual_time(main())


async def _send_in_open_loop(
    fleet: LimitFleet,
    group: asyncio.TaskGroup,
    name: str,
    rate_per_s: float,
    mean_tokens: float = 0.0,
) -> None:
    while fleet.clock() < STEADY_UNTIL_S:
        tokens = int(fleet.rng.expovariate(1 / mean_tokens)) if mean_tokens else 0
        duration_s = max(tokens / 50, 0.1)
        group.create_task(fleet.request(name, duration_s, tokens))
        await asyncio.sleep(fleet.rng.expovariate(rate_per_s))


def max_in_window(events: Sequence[tuple[float, int]]) -> int:
    """Return the largest sum of counts in any window of `WINDOW_S`.

    Parameters
    ----------
    events : sequence of (float, int)
        Time in seconds and count of each event, ordered by time.
    """
    times = [time_s for time_s, _ in events]
    sums = [0]
    for _, count in events:
        sums.append(sums[-1] + count)
    return max(
        (
            sums[bisect.bisect_left(times, start_s + WINDOW_S)] - sums[index]
            for index, start_s in enumerate(times)
        ),
        default=0,
    )


def _steady_rate(events: Sequence[tuple[float, int]]) -> float:
    used = sum(
        count for time_s, count in events if STEADY_FROM_S <= time_s < STEADY_UNTIL_S
    )
    return used / (STEADY_UNTIL_S - STEADY_FROM_S)


def measure_allocator(entries: int) -> float:
    """Return the CPU time, in seconds, that a holder needs for one demand."""
    names = tuple(f"e{i}" for i in range(entries))
    active_entries = frozenset(names)
    plan = Share(10 * entries, 100.0 * entries, 1e5 * entries)
    allocator = ShareAllocator("w", 5.0, time.monotonic)
    demand = ShareDemand(5, Share(6, 60.0, 6e4), Share(8, 80.0, 8e4))
    for name in names:
        allocator.allocate(name, demand, plan, names, active_entries)
    rounds = max(4000 // entries, 1)
    started_s = time.process_time()
    for _ in range(rounds):
        for name in names:
            allocator.allocate(name, demand, plan, names, active_entries)
    return (time.process_time() - started_s) / (rounds * entries)


def run() -> list[LimitResult]:
    """Measure all limits and patterns of demand and print the results."""
    patterns = [(3, 1), (3, 3), (10, 1), (10, 10)]
    results = [
        measure(*pattern)
        for measure in (measure_concurrency, measure_request_rate, measure_token_rate)
        for pattern in patterns
    ]
    results += [measure_token_rate(3, 3, 1000.0)]
    print("limits, in virtual time: overshoot in 10 s, utilization from 30 to 90 s")
    for result in results:
        print(
            f"{result.name:42} overshoot={result.overshoot:+.3f} "
            f"utilization={result.utilization:.3f}"
        )
    for entries in (3, 30, 200, 410):
        cost_s = measure_allocator(entries)
        print(f"holder: {entries} entries, {cost_s * 1e6:.1f} us per workspace demand")
    return results
