"""Measure the time that it takes to choose a server among many."""

import statistics
import time
from collections.abc import Iterable, Iterator

from boragespring.catalog import EngineProfile
from boragespring.decisions import DecisionLog, LogSettings
from boragespring.fleet import (
    BackendServer,
    Fleet,
    FleetSettings,
    Registration,
    ServerAddress,
)
from boragespring.fleet.model import PeerLoad, RunLoad
from boragespring.forwarding.messages import PromptShape
from boragespring.forwarding.placement import (
    GenerationCall,
    PlacementSettings,
    PlacementView,
    choose_server,
)

__all__ = ["CANDIDATES", "ZONES", "create_servers", "measure_placement_us"]

ZONES = ("zone-a", "zone-b", "zone-c")
CANDIDATES = 128
COST_REPEATS = 2000


def create_servers(names: Iterable[str], slots: int) -> Iterator[BackendServer]:
    """Yield idle servers that are spread over the availability zones."""
    address = ServerAddress("127.0.0.1", 1)
    for number, name in enumerate(names):
        zone = ZONES[number % len(ZONES)]
        yield BackendServer(Registration(name, "svc", address, zone, slots), 0.0)


def measure_placement_us(engine: EngineProfile) -> float:
    """Return the median time, in microseconds, of a choice among many servers."""
    fleet = Fleet(FleetSettings(), DecisionLog(LogSettings(lines_per_s=0.0)))
    names = (f"engine-{number}" for number in range(CANDIDATES))
    for server in create_servers(names, engine.slots):
        fleet.register(server.registration)
    for server in fleet.servers:
        # Two runs, each with prompt length, expected output length, send time and
        # produced tokens, and four peers, each with run count, memory tokens, prefill
        # tokens and time of receipt.
        server.runs = {str(n): RunLoad(3000, 900.0, 0.0, 4) for n in range(2)}
        server.peer_loads = {str(n): PeerLoad(2, 8e3, 0.0) for n in range(4)}
    call, settings = (
        GenerationCall(PromptShape(3000, 900), engine),
        PlacementSettings(),
    )
    times_s = []
    for _ in range(COST_REPEATS):
        started_s = time.perf_counter()
        view = PlacementView(fleet.candidates("svc"), ZONES[0], 1.0)
        choose_server(call, view, settings)
        times_s.append(time.perf_counter() - started_s)
    return 1e6 * statistics.median(times_s)
