"""Measure the lists: time until in force, bytes, store calls, processor time."""

import asyncio
import itertools
import time
from collections import Counter

from attrs import frozen

from boragespring.bench.limits import run as run_limits
from boragespring.bench.lists_fleet import ListsFleet, large_document
from boragespring.lists.changes import Change
from boragespring.lists.codec import decode_state, encode_changes, encode_state
from boragespring.lists.editor import LISTS_KEY
from boragespring.lists.model import ListKind
from boragespring.lists.planning import entry_edit
from boragespring.lists.replica import ListsReplica
from boragespring.lists.state import EMPTY_STATE, ListsState, difference

__all__ = ["ListsFigures", "run"]

SIZES = ((3, 1), (30, 3), (200, 13))
WORKSPACES = 420
CHANGES = 20
REST_S = 8.0


@frozen
class ListsFigures:
    """Figures of one size of the fleet.

    Parameters
    ----------
    processes, zones : int
        Size of the fleet.
    p50_s, p99_s, max_s : float
        Time from the start of a submit until in force, over all processes.
    delta_bytes, full_bytes : float
        Mean payload of one update for one process.
    calls_per_change : float
        Calls to the store for one change, those of the editor included.
    rest_calls_per_s : float
        Calls to the store with nothing changing.
    open_watches : int
        Watches that the fleet has opened.
    """

    processes: int
    zones: int
    p50_s: float
    p99_s: float
    max_s: float
    delta_bytes: float
    full_bytes: float
    calls_per_change: float
    rest_calls_per_s: float
    open_watches: int


async def measure_fleet(processes: int, zones: int) -> ListsFigures:
    """Measure a fleet of one size."""
    async with ListsFleet(processes, zones, WORKSPACES) as fleet:
        await asyncio.sleep(2.0)
        before, started_s = Counter(fleet.store.calls), time.monotonic()
        await asyncio.sleep(REST_S)
        at_rest = (fleet.store.calls - before).total()
        rest_calls_per_s = at_rest / (time.monotonic() - started_s)
        before = Counter(fleet.store.calls)
        runs = [await fleet.change() for _ in range(CHANGES)]
        calls = (fleet.store.calls - before).total()
        times_s = sorted(itertools.chain.from_iterable(runs))
        parts = [entry.distribution.counters for entry in fleet.entries]
        parts += [agent.distribution.counters for agent in fleet.agents]
        deltas = sum(part.deltas_received for part in parts)
        fulls = sum(part.snapshots_received for part in parts)
        return ListsFigures(
            processes=processes,
            zones=zones,
            p50_s=times_s[len(times_s) // 2],
            p99_s=times_s[int(len(times_s) * 0.99)],
            max_s=times_s[-1],
            delta_bytes=sum(p.delta_bytes for p in parts) / max(deltas, 1),
            full_bytes=sum(p.snapshot_bytes for p in parts) / max(fulls, 1),
            calls_per_change=calls / CHANGES,
            rest_calls_per_s=rest_calls_per_s,
            open_watches=sum(
                entry.watcher.counters.watches_opened for entry in fleet.entries
            ),
        )


@frozen
class ChangeCosts:
    """Cost of one change in one process, with a full history.

    Parameters
    ----------
    stored_bytes, delta_bytes : int
        Value in the store, and update over a link.
    apply_delta_s, apply_full_s : float
        Processor time to bring an update into force.
    """

    stored_bytes: int
    delta_bytes: int
    apply_delta_s: float
    apply_full_s: float


def measure_costs(workspaces: int) -> ChangeCosts:
    """Measure the costs of one change at a size of the document."""
    state = EMPTY_STATE.with_change(
        Change(
            1,
            "start",
            "b",
            "",
            0.0,
            difference(EMPTY_STATE, large_document(workspaces)),
        )
    )
    for number in range(2, 70):
        state = state.with_change(_next_change(state, number, workspaces))
    change = _next_change(state, 70, workspaces)
    following = state.with_change(change)
    value, update = encode_state(following), encode_changes([change])
    delta_replica, full_replica = ListsReplica(), ListsReplica()
    delta_replica.offer(state)
    full_replica.offer(state)
    started_s = time.process_time()
    delta_replica.offer_changes((change,), following.digest)
    _ = delta_replica.view
    delta_s = time.process_time() - started_s
    started_s = time.process_time()
    full_replica.offer(decode_state(value))
    _ = full_replica.view
    full_s = time.process_time() - started_s
    return ChangeCosts(len(value), len(update), delta_s, full_s)


def _next_change(state: ListsState, number: int, workspaces: int) -> Change:
    name = f"workspace-{number % workspaces:03}"
    fields = {"note": f"changed by version {number}"}
    entries = entry_edit(state, ListKind.WORKSPACE, name, fields)
    return Change(number, f"{number:032x}", "bench", "measure", 0.0, entries)


def run() -> list[ListsFigures]:
    """Measure all sizes and print a table."""
    print(
        f"lists: {WORKSPACES} workspaces, {CHANGES} changes for each size, "
        f"all processes in one, key {LISTS_KEY}"
    )
    figures = [asyncio.run(measure_fleet(*size)) for size in SIZES]
    print(
        "processes zones  p50_ms  p99_ms  max_ms  delta_B  full_B  "
        "calls/change  calls/s_at_rest  watches"
    )
    for each in figures:
        print(
            f"{each.processes:9} {each.zones:5} {each.p50_s * 1000:7.1f} "
            f"{each.p99_s * 1000:7.1f} {each.max_s * 1000:7.1f} "
            f"{each.delta_bytes:8.0f} {each.full_bytes:7.0f} "
            f"{each.calls_per_change:13.2f} {each.rest_calls_per_s:16.2f} "
            f"{each.open_watches:8}"
        )
    small, large = figures[0], figures[-1]
    slope_s = (large.p99_s - small.p99_s) / (large.processes - small.processes)
    print(f"slope of p99: {slope_s * 1e6:.0f} us for each process more")
    for workspaces in (10, 100, WORKSPACES):
        costs = measure_costs(workspaces)
        print(
            f"workspaces={workspaces} stored_bytes={costs.stored_bytes} "
            f"delta_bytes={costs.delta_bytes} "
            f"apply_delta_ms={costs.apply_delta_s * 1000:.2f} "
            f"apply_full_ms={costs.apply_full_s * 1000:.2f}"
        )
    run_limits()
    return figures
