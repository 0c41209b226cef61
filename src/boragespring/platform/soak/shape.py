"""Size and speed of a soak run, by its seed."""

import random

from attrs import evolve, frozen

from boragespring.platform.emulator import EngineSpec, RouteSpec
from boragespring.platform.emulator.catalog import STANDARD_ROUTES

__all__ = ["LARGE_SEEDS", "STOP_SEED_MIN", "RunShape", "shape_of"]

#: Lowest seed of the runs with planned stops and kept connections.
STOP_SEED_MIN = 500_000
#: Seeds of such runs that have many gateways.
LARGE_SEEDS = range(550_000, 600_000)
STREAM_TIMEOUT_MS, CALL_TIMEOUT_MS = 40_000, 12_000
#: Route timeout in seconds of each kind of request in runs with planned stops.
SLOW_ROUTES = tuple(
    evolve(
        route,
        timeout_ms=STREAM_TIMEOUT_MS if route.kind == "streaming" else CALL_TIMEOUT_MS,
    )
    for route in STANDARD_ROUTES
)


@frozen
class RunShape:
    """Size and speed of a run.

    Parameters
    ----------
    gateways, engines, services : int
        Numbers of processes and servers.
    grace_s : float
        Time in seconds between SIGTERM and SIGKILL.
    is_killed_after_grace : bool
        Whether a process that does not end in that time is killed.
    kept_callers : int
        Number of callers of each gateway that keep their connection.
    requests_per_s : float
        Mean rate of the other requests.
    engine_spec : EngineSpec
        Speed and size of the engines.
    execution_s : float
        Execution time of a request at a plain service, in seconds.
    routes : tuple of RouteSpec
        Routes of the catalog.
    """

    gateways: int = 3
    engines: int = 3
    services: int = 2
    grace_s: float = 4.0
    is_killed_after_grace: bool = False
    kept_callers: int = 0
    requests_per_s: float = 40.0
    engine_spec: EngineSpec = EngineSpec(
        event_interval_s=0.01, copy_s_per_token=0.00002
    )
    execution_s: float = 0.0
    routes: tuple[RouteSpec, ...] = STANDARD_ROUTES

    @property
    def has_stops(self) -> bool:
        """Whether the run is one of planned stops with kept connections."""
        return self.kept_callers > 0


def shape_of(seed: int) -> RunShape:
    """Return the size and speed of the run of a seed."""
    if seed < STOP_SEED_MIN:
        return RunShape()
    rng = random.Random(f"shape {seed}")
    is_large = seed in LARGE_SEEDS
    engine_spec = EngineSpec(
        slots=rng.choice((6, 12, 24)),
        # With little memory, runs are preempted in the middle of their streams.
        memory_tokens=rng.choice((8_000, 30_000, 80_000)),
        prefill_tokens_per_s=1000.0,
        event_interval_s=0.05 if is_large else rng.choice((0.02, 0.03, 0.05)),
        copy_s_per_token=0.00002,
        waiting_max=rng.choice((0, 4, 8)),
    )
    return RunShape(
        gateways=rng.randint(20, 30) if is_large else rng.randint(3, 6),
        engines=9 if is_large else rng.randint(3, 4),
        services=6 if is_large else 3,
        grace_s=8.0,
        is_killed_after_grace=True,
        kept_callers=3 if is_large else 10,
        requests_per_s=12.0,
        engine_spec=engine_spec,
        execution_s=rng.choice((0.02, 0.2, 0.5)),
        routes=SLOW_ROUTES,
    )
