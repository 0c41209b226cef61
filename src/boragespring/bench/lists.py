"""Benchmark the lists: time to activate a change, payload, store calls, CPU time."""

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

__all__ = ["ListsResult", "run"]

SIZES = ((3, 1), (30, 3), (200, 13))
WORKSPACES = 420
CHANGES = 20
IDLE_S = 8.0


@frozen
class ListsResult:
    """Results for one size of the fleet.

    Parameters
    ----------
    processes, zones : int
        Size of the fleet.
    p50_s, p99_s, max_s : float
        Percentiles and maximum, over all processes, of the time in seconds from
        the submission of a change until it is active.
    delta_bytes, snapshot_bytes : float
        Mean payload of an update, sent as a delta and as a snapshot.
    calls_per_change : float
        Store calls for one change, including those of the editor.
    idle_calls_per_s : float
        Rate of store calls while nothing changes.
    open_watches : int
        Number of watches that the entries have opened.
    """

    processes: int
    zones: int
    p50_s: float
    p99_s: float
    max_s: float
    delta_bytes: float
    snapshot_bytes: float
    calls_per_change: float
    idle_calls_per_s: float
    open_watches: int


async def measure_fleet(processes: int, zones: int) -> ListsResult:
    """Measure a fleet with the given numbers of processes and zones."""
    async with ListsFleet(processes, zones, WORKSPACES) as fleet:
        await asyncio.sleep(2.0)
        calls_before, started_s = Counter(fleet.store.calls), time.monotonic()
        await asyncio.sleep(IDLE_S)
        idle_calls = (fleet.store.calls - calls_before).total()
        idle_calls_per_s = idle_calls / (time.monotonic() - started_s)
        calls_before = Counter(fleet.store.calls)
        times_by_change = [await fleet.change() for _ in range(CHANGES)]
        calls = (fleet.store.calls - calls_before).total()
        times_s = sorted(itertools.chain.from_iterable(times_by_change))
        counters_by_process = [entry.distribution.counters for entry in fleet.entries]
        counters_by_process += [agent.distribution.counters for agent in fleet.agents]
        received_deltas = sum(
            counters.deltas_received for counters in counters_by_process
        )
        received_snapshots = sum(
            counters.snapshots_received for counters in counters_by_process
        )
        return ListsResult(
            processes=processes,
            zones=zones,
            p50_s=times_s[len(times_s) // 2],
            p99_s=times_s[int(len(times_s) * 0.99)],
            max_s=times_s[-1],
            delta_bytes=sum(counters.delta_bytes for counters in counters_by_process)
            / max(received_deltas, 1),
            snapshot_bytes=sum(
                counters.snapshot_bytes for counters in counters_by_process
            )
            / max(received_snapshots, 1),
            calls_per_change=calls / CHANGES,
            idle_calls_per_s=idle_calls_per_s,
            open_watches=sum(
                entry.watcher.counters.watches_opened for entry in fleet.entries
            ),
        )


@frozen
class ChangeCosts:
    """Cost of one change for one process when the history is full.

    Parameters
    ----------
    stored_bytes, delta_bytes : int
        Size of the value in the store and of the update sent over a link.
    apply_delta_s, apply_snapshot_s : float
        CPU time, in seconds, to apply the update as a delta and as a snapshot.
    """

    stored_bytes: int
    delta_bytes: int
    apply_delta_s: float
    apply_snapshot_s: float


def measure_change_costs(workspaces: int) -> ChangeCosts:
    """Measure the cost of one change to a document with that many workspaces."""
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
    next_state = state.with_change(change)
    stored, update = encode_state(next_state), encode_changes([change])
    delta_replica, snapshot_replica = ListsReplica(), ListsReplica()
    delta_replica.offer(state)
    snapshot_replica.offer(state)
    started_s = time.process_time()
    delta_replica.offer_changes((change,), next_state.digest)
    _ = delta_replica.view
    delta_s = time.process_time() - started_s
    started_s = time.process_time()
    snapshot_replica.offer(decode_state(stored))
    _ = snapshot_replica.view
    snapshot_s = time.process_time() - started_s
    return ChangeCosts(len(stored), len(update), delta_s, snapshot_s)


def _next_change(state: ListsState, number: int, workspaces: int) -> Change:
    name = f"workspace-{number % workspaces:03}"
    fields = {"note": f"changed by version {number}"}
    entries = entry_edit(state, ListKind.WORKSPACE, name, fields)
    return Change(number, f"{number:032x}", "bench", "measure", 0.0, entries)


def run() -> list[ListsResult]:
    """Measure all fleet sizes, the cost of a change and the limits; print them."""
    print(
        f"lists: {WORKSPACES} workspaces, {CHANGES} changes per size, "
        f"the whole fleet in one process, key {LISTS_KEY}"
    )
    results = [asyncio.run(measure_fleet(*size)) for size in SIZES]
    print(
        "processes zones  p50_ms  p99_ms  max_ms  delta_B  snap_B  "
        "calls/change     idle_calls/s  watches"
    )
    for result in results:
        print(
            f"{result.processes:9} {result.zones:5} {result.p50_s * 1000:7.1f} "
            f"{result.p99_s * 1000:7.1f} {result.max_s * 1000:7.1f} "
            f"{result.delta_bytes:8.0f} {result.snapshot_bytes:7.0f} "
            f"{result.calls_per_change:13.2f} {result.idle_calls_per_s:16.2f} "
            f"{result.open_watches:8}"
        )
    small, large = results[0], results[-1]
    slope_s = (large.p99_s - small.p99_s) / (large.processes - small.processes)
    print(f"slope of p99: {slope_s * 1e6:.0f} us per additional process")
    for workspaces in (10, 100, WORKSPACES):
        costs = measure_change_costs(workspaces)
        print(
            f"workspaces={workspaces} stored_bytes={costs.stored_bytes} "
            f"delta_bytes={costs.delta_bytes} "
            f"apply_delta_ms={costs.apply_delta_s * 1000:.2f} "
            f"apply_snapshot_ms={costs.apply_snapshot_s * 1000:.2f}"
        )
    run_limits()
    return results
