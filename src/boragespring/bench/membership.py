"""Benchmark control traffic: cost of each peer, instance and server for a node."""

import asyncio
import json
import random
import secrets
import tempfile
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import cattrs
import msgpack
from attrs import asdict, evolve, frozen

from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.child_processes import ProcessSet
from boragespring.links.codec import encode
from boragespring.lists import ListsDocument
from boragespring.lists.changes import new_change_id
from boragespring.lists.codec import encode_changes
from boragespring.lists.editor import Edit, ListsEditor
from boragespring.lists.messages import ListsAnnounce, ListsPull, ListsUpdate
from boragespring.lists.model import (
    Allowance,
    AllowanceList,
    ModelEntry,
    PlanList,
    ServiceEntry,
    WorkspaceEntry,
)
from boragespring.lists.state import EMPTY_STATE, difference
from boragespring.membership import DutyManager, InstanceView
from boragespring.orders import PlanSettings, ServerState, plan_orders
from boragespring.routing import Placement, SubsetSettings, select_subset
from boragespring.store import Keyspace, MemoryStore
from boragespring.store.instances import Instance, InstanceRole
from boragespring.store.instances_http import (
    instances_from_json,
    instances_to_json,
)

__all__ = [
    "SIZES",
    "LinearFit",
    "Slopes",
    "load_slopes",
    "measure",
    "run",
    "write_slopes",
]

SIZES = (10, 50, 200)
SLOPES_PATH = Path("docs/capacity_slopes.json")
NODE_MODULE = "boragespring.bench.membership_node"
REPEATS = 5
POLL_INTERVAL_S = 0.05
NODE_TIMEOUT_S = 60.0
DUTY_WINDOW_S = 1000.0
REFERENCE_LOOPS = 20_000
ZONES = ("jihlava", "trebic", "pelhrimov")


@frozen
class LinearFit:
    """Straight line fitted to the values measured at several sizes.

    Parameters
    ----------
    base, slope : float
        Value at size 0 and increase per unit of size.
    points : dict of str to float
        Measured values by size.
    """

    base: float
    slope: float
    points: dict[str, float]

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


@frozen
class Slopes:
    """All fitted lines, and the cost of a reference loop on the same machine.

    Parameters
    ----------
    reference_s : float
        CPU time, in seconds, to pack and unpack one small msgpack array. CPU
        times divided by it are comparable between machines.
    lines : dict of str to LinearFit
        Fitted lines by name.
    announce_bytes : int
        Size of the announcement of a version of the lists.
    """

    reference_s: float
    lines: dict[str, LinearFit]
    announce_bytes: int


def fit(points: dict[int, float]) -> LinearFit:
    """Fit a line to the values at several sizes by least squares."""
    count = len(points)
    mean_x = sum(points) / count
    mean_y = sum(points.values()) / count
    sum_xx = sum((x - mean_x) ** 2 for x in points)
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points.items())
    slope = sum_xy / sum_xx
    return LinearFit(
        mean_y - slope * mean_x, slope, {str(x): y for x, y in points.items()}
    )


async def measure() -> Slopes:
    """Measure and fit all lines, which takes about two minutes."""
    reference_s = _reference_s()
    lines = {
        "list_read_s": fit({size: _list_read_s(size) for size in SIZES}),
        "list_bytes": fit({size: float(_list_bytes(size)) for size in SIZES}),
        "list_compressed_bytes": fit(
            {size: float(_list_compressed_bytes(size)) for size in SIZES}
        ),
        "lists_change_bytes": fit(
            {size: float(await _change_bytes(size)) for size in SIZES}
        ),
        "subset_s_by_pair": fit({size * size: _subset_s(size) for size in SIZES}),
        "plan_s_by_server": fit({size: _plan_s(size) for size in SIZES}),
    }
    for role in ("entry", "agent"):
        results = {size: await _measure_node(role, size) for size in SIZES}
        for name in results[SIZES[0]]:
            points = {size: results[size][name] for size in SIZES}
            lines[f"{role}_{name}"] = fit(points)
    return Slopes(reference_s, lines, _announce_bytes())


def measure_duty_calls() -> dict[str, float]:
    """Return the rates, per second, of store calls of holders and candidates.

    The calls are counted in virtual time, so that the rates do not depend on the
    machine.
    """
    duty_calls = {
        f"duties_{size}": run_in_virtual_time(_duty_calls_per_s(size, 1))
        for size in SIZES
    }
    duty_calls["three_candidates"] = run_in_virtual_time(_duty_calls_per_s(10, 3))
    return duty_calls


async def _duty_calls_per_s(duties: int, processes: int) -> float:
    random.seed(1)
    clock = asyncio.get_running_loop().time
    keyspace = Keyspace(clock)
    stores = [MemoryStore(keyspace) for _ in range(processes)]
    duty_managers = [
        DutyManager(store, f"entry-{number}", clock=clock)
        for number, store in enumerate(stores)
    ]
    for duty_manager in duty_managers:
        for number in range(duties):
            duty_manager.register(f"orders/{number}")
    tasks = [asyncio.create_task(duty_manager.run()) for duty_manager in duty_managers]
    await asyncio.sleep(DUTY_WINDOW_S)
    total = sum(store.calls.total() for store in stores)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return total / DUTY_WINDOW_S


async def _measure_node(role: str, size: int) -> dict[str, float]:
    """Measure a node whose peers run in another process."""
    with tempfile.TemporaryDirectory() as directory:
        async with ProcessSet(Path(directory)) as processes:
            first, second = ("peers", "node") if role == "entry" else ("node", "peers")
            await processes.start(first, NODE_MODULE, role, first, str(size))
            ports = await _read_json_line(processes, first, 0)
            arguments = [role, second, str(size), *map(str, ports)]
            await processes.start(second, NODE_MODULE, *arguments)
            line = 0 if role == "entry" else 1
            results: dict[str, float] = await _read_json_line(processes, "node", line)
            return results


async def _read_json_line(processes: ProcessSet, name: str, number: int) -> Any:
    async with asyncio.timeout(NODE_TIMEOUT_S):
        while True:
            lines = processes.log(name).splitlines()
            json_lines = [line for line in lines if line.startswith(("[", "{"))]
            if len(json_lines) > number:
                return json.loads(json_lines[number])
            await asyncio.sleep(POLL_INTERVAL_S)


def _min_cpu_time_s(function: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        function()
        times.append(time.process_time() - started_s)
    return min(times)


def _reference_s() -> float:
    message = (2, 0, 123_456, "agent", 0.25)

    def loop() -> None:
        for _ in range(REFERENCE_LOOPS):
            msgpack.unpackb(msgpack.packb(message))

    return _min_cpu_time_s(loop) / REFERENCE_LOOPS


def _instances(count: int, role: InstanceRole) -> tuple[Instance, ...]:
    return tuple(
        Instance(
            f"{role}-{number:05}",
            role,
            "model-pool",
            "vysocina",
            ZONES[number % len(ZONES)],
            "10.0.0.1",
            7000,
            8000,
        )
        for number in range(count)
    )


def _list_bytes(count: int) -> int:
    agents = _instances(count, InstanceRole.AGENT)
    return len(json.dumps(instances_to_json(agents)).encode())


def _list_compressed_bytes(count: int) -> int:
    # Random names and addresses compress worse than numbered ones, as real ones do.
    rng = random.Random(count)
    agents = [
        evolve(instance, name=f"{rng.getrandbits(48):012x}", host=_random_address(rng))
        for instance in _instances(count, InstanceRole.AGENT)
    ]
    return len(zlib.compress(json.dumps(instances_to_json(tuple(agents))).encode()))


def _random_address(rng: random.Random) -> str:
    return f"10.{rng.randrange(256)}.{rng.randrange(256)}.{rng.randrange(256)}"


async def _change_bytes(workspaces: int) -> int:
    """Return the size of a pull request for one changed workspace and its reply."""
    names = [f"workspace-{number:04}" for number in range(workspaces)]
    entries = {name: WorkspaceEntry("all") for name in names}
    plans = {"all": Allowance(services=[])}
    document = ListsDocument(
        plan_list=PlanList(entries), allowance_list=AllowanceList(plans)
    )
    editor = ListsEditor(MemoryStore(Keyspace()))
    first = await editor.submit(Edit(difference(EMPTY_STATE, document), "bench", "all"))
    key_hash = secrets.token_hex(32)
    entries[names[0]] = WorkspaceEntry("all", key_hashes=[key_hash])
    changed = evolve(document, plan_list=PlanList(entries))
    state = await editor.submit(Edit(difference(first, changed), "bench", "key"))
    payload = encode_changes(state.history[-1:])
    update = ListsUpdate(state.number, False, state.digest, payload)
    pull = ListsPull(first.number, first.change_id)
    return len(encode(update)) + len(encode(pull))


def _announce_bytes() -> int:
    return len(encode(ListsAnnounce(100_000, new_change_id(), 0.25)))


def _list_read_s(count: int) -> float:
    text = json.dumps(instances_to_json(_instances(count, InstanceRole.AGENT)))
    view = InstanceView()
    return _min_cpu_time_s(
        lambda: view.apply_instances(instances_from_json(json.loads(text)))
    )


def _subset_s(count: int) -> float:
    entries = [
        Placement(instance.name, instance.availability_zone)
        for instance in _instances(count, InstanceRole.ENTRY)
    ]
    agents = [
        Placement(instance.name, instance.availability_zone)
        for instance in _instances(count, InstanceRole.AGENT)
    ]
    settings = SubsetSettings(8, 4)
    return _min_cpu_time_s(lambda: select_subset(entries[0], entries, agents, settings))


def _plan_s(count: int) -> float:
    models = {f"model-{n}": ModelEntry("2", servers_min=count // 2) for n in range(2)}
    desired = ServiceEntry("engine", models)
    servers = [
        ServerState(f"agent-{number}", {"model-0": "1", "model-1": "2"}, {})
        for number in range(count)
    ]
    settings = PlanSettings()
    return _min_cpu_time_s(lambda: plan_orders(desired, servers, settings))


def write_slopes(slopes: Slopes, duty_calls: dict[str, float], path: Path) -> None:
    """Write the slopes and the rates of store calls to a JSON file."""
    document = {"slopes": asdict(slopes), "duty_calls_per_s": duty_calls}
    path.write_text(json.dumps(document, indent=2) + "\n", encoding="utf-8")


def load_slopes(path: Path) -> tuple[Slopes, dict[str, float]]:
    """Read the slopes and the rates of store calls from a JSON file."""
    document = json.loads(path.read_text(encoding="utf-8"))
    slopes = cattrs.structure(document["slopes"], Slopes)
    return slopes, document["duty_calls_per_s"]


def run() -> None:
    """Measure and print the slopes, and write them if the docs directory exists."""
    slopes = asyncio.run(measure())
    duty_calls = measure_duty_calls()
    for name, line in slopes.lines.items():
        print(f"{name}: base={line.base:.4g} slope={line.slope:.4g} {line.points}")
    print(f"reference_s: {slopes.reference_s:.3g}")
    print(f"duty_calls_per_s: {duty_calls}")
    if SLOPES_PATH.parent.is_dir():
        write_slopes(slopes, duty_calls, SLOPES_PATH)


if __name__ == "__main__":
    run()
