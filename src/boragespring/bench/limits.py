"""Measure the limits: overshoot, usable share, and a holder's cost."""

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

__all__ = ["LimitFigures", "run"]

WINDOW_S = 10.0
STEADY_FROM_S, STEADY_UNTIL_S = 30.0, 90.0
ONE_PARTITION = LimitSettings(partitions=1)


@frozen
class LimitFigures:
    """Figures of one pattern of demand.

    Parameters
    ----------
    name : str
        Limit and pattern.
    overshoot : float
        Most that was used against what is allowed, less one.
    usable : float
        What was used in the steady part against the plan.
    """

    name: str
    overshoot: float
    usable: float


def measure_concurrency(entries: int, busy: int) -> LimitFigures:
    """Measure slots under callers that come back at once when refused."""
    plan = PlanLimits(concurrency=60, requests_per_s=1e5)

    async def main() -> LimitFigures:
        fleet = LimitFleet(entries, plan, ONE_PARTITION)
        used_slot_s = 0.0
        async with asyncio.TaskGroup() as group:
            for name in list(fleet.nodes)[:busy]:
                for _ in range(2 * plan.concurrency // busy):
                    group.create_task(_ask_again(fleet, name))
            step_s = 0.05
            while fleet.clock() < STEADY_UNTIL_S:
                if fleet.clock() >= STEADY_FROM_S:
                    used_slot_s += fleet.running * step_s
                await asyncio.sleep(step_s)
        await fleet.stop()
        whole = plan.concurrency * (STEADY_UNTIL_S - STEADY_FROM_S)
        return LimitFigures(
            f"concurrency, {busy} of {entries} entries busy",
            fleet.running_max / plan.concurrency - 1,
            used_slot_s / whole,
        )

    return run_in_virtual_time(main())


async def _ask_again(fleet: LimitFleet, name: str) -> None:
    while fleet.clock() < STEADY_UNTIL_S:
        if not await fleet.request(name, fleet.rng.uniform(0.5, 1.5)):
            await asyncio.sleep(fleet.rng.uniform(0.02, 0.08))


def measure_request_rate(entries: int, busy: int) -> LimitFigures:
    """Measure the request rate under four times the plan's rate."""
    plan = PlanLimits(concurrency=10_000, requests_per_s=100, request_burst=20)

    async def main() -> LimitFigures:
        fleet = LimitFleet(entries, plan, ONE_PARTITION)
        async with asyncio.TaskGroup() as group:
            for name in list(fleet.nodes)[:busy]:
                group.create_task(
                    _offer(fleet, group, name, 4 * plan.requests_per_s / busy)
                )
        await fleet.stop()
        allowed = plan.requests_per_s * WINDOW_S + plan.request_burst
        events = [(moment_s, 1) for moment_s in fleet.starts]
        return LimitFigures(
            f"requests, {busy} of {entries} entries busy",
            most_in_window(events) / allowed - 1,
            _steady(events) / plan.requests_per_s,
        )

    return run_in_virtual_time(main())


def measure_token_rate(
    entries: int, busy: int, mean_tokens: float = 100.0
) -> LimitFigures:
    """Measure the token rate with answers of very different lengths."""
    plan = PlanLimits(10_000, 1e5, 1000, tokens_per_s=5000, token_burst_s=2.0)

    async def main() -> LimitFigures:
        fleet = LimitFleet(entries, plan, ONE_PARTITION)
        async with asyncio.TaskGroup() as group:
            for name in list(fleet.nodes)[:busy]:
                group.create_task(
                    _offer(fleet, group, name, 20_000 / mean_tokens / busy, mean_tokens)
                )
        await fleet.stop()
        allowed = plan.tokens_per_s * (WINDOW_S + plan.token_burst_s)
        return LimitFigures(
            f"tokens, mean {mean_tokens:.0f}, {busy} of {entries} entries busy",
            most_in_window(fleet.charges) / allowed - 1,
            _steady(fleet.charges) / plan.tokens_per_s,
        )

    return run_in_virtual_time(main())


async def _offer(
    fleet: LimitFleet,
    group: asyncio.TaskGroup,
    name: str,
    per_s: float,
    mean_tokens: float = 0.0,
) -> None:
    while fleet.clock() < STEADY_UNTIL_S:
        tokens = int(fleet.rng.expovariate(1 / mean_tokens)) if mean_tokens else 0
        duration_s = max(tokens / 50, 0.1)
        group.create_task(fleet.request(name, duration_s, tokens))
        await asyncio.sleep(fleet.rng.expovariate(per_s))


def most_in_window(events: Sequence[tuple[float, int]]) -> int:
    """Return the most that falls into any window."""
    times = [moment_s for moment_s, _ in events]
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


def _steady(events: Sequence[tuple[float, int]]) -> float:
    used = sum(count for t, count in events if STEADY_FROM_S <= t < STEADY_UNTIL_S)
    return used / (STEADY_UNTIL_S - STEADY_FROM_S)


def measure_book(entries: int) -> float:
    """Return the processor time of one ask at a holder."""
    names = tuple(f"e{i}" for i in range(entries))
    present = frozenset(names)
    plan = Share(10 * entries, 100.0 * entries, 1e5 * entries)
    book = ShareAllocator("w", 5.0, time.monotonic)
    ask = ShareDemand(5, Share(6, 60.0, 6e4), Share(8, 80.0, 8e4))
    for name in names:
        book.allocate(name, ask, plan, names, present)
    rounds = max(4000 // entries, 1)
    started_s = time.process_time()
    for _ in range(rounds):
        for name in names:
            book.allocate(name, ask, plan, names, present)
    return (time.process_time() - started_s) / (rounds * entries)


def run() -> list[LimitFigures]:
    """Measure all patterns and print a table."""
    patterns = [(3, 1), (3, 3), (10, 1), (10, 10)]
    figures = [
        measure(*pattern)
        for measure in (measure_concurrency, measure_request_rate, measure_token_rate)
        for pattern in patterns
    ]
    figures += [measure_token_rate(3, 3, 1000.0)]
    print("limits, on virtual time: overshoot over any 10 s, usable from 30 s to 90 s")
    for each in figures:
        print(
            f"{each.name:42} overshoot={each.overshoot:+.3f} usable={each.usable:.3f}"
        )
    for entries in (3, 30, 200, 410):
        cost_s = measure_book(entries)
        print(
            f"holder: {entries} entries, {cost_s * 1e6:.1f} us for one workspace's ask"
        )
    return figures
