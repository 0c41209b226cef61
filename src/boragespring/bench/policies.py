"""Compare policies of routing and admission on the same traces.

Everything runs on virtual time, so that the figures do not depend on the
machine; only the costs at the end are in real time.
"""

import os
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from enum import StrEnum
from itertools import product
from statistics import median

import typer
from attrs import frozen

from boragespring.admission import (
    AdmissionSettings,
    BoundedOverflow,
    NoAdmission,
    overflow_probability,
)
from boragespring.bench.policy_costs import admission_costs, routing_cost
from boragespring.bench.policy_system import SystemSettings, replay_trace
from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.replay.generate import (
    Deployment,
    TraceSettings,
    generate_trace,
    plan_weights,
)
from boragespring.replay.measures import AnswerRecord, measure, percentile
from boragespring.routing import LeastRequests, PredictedWait, RouterSettings
from boragespring.standins import EngineCoreSettings

__all__ = ["run"]

SEEDS = (1, 2, 3)
WORKERS_MAX = 4
ENGINES = 4
DURATION_S = 120.0
WORKSPACES = 10
FLOODING = f"workspace-{WORKSPACES - 1:02d}"
#: Interval between tokens beyond which an answer stalls.
INTERVAL_MAX_S = 0.1
UNBOUNDED = 10**9
CORE = EngineCoreSettings(
    memory_tokens=16_000,
    token_interval_s=0.025,
    token_interval_per_run_s=0.0003,
    prefill_tokens_per_s=20_000.0,
    prefill_tokens_per_step=512,
    cache_tokens=16_000,
)
WEIGHTS = {
    Deployment.SIERRA_NORTE: (0.6, 0.2, 0.2),
    Deployment.VYSOCINA: (0.2, 0.6, 0.2),
}


class Case(StrEnum):
    """What is replayed."""

    LEAST_FULL = "least requests, demand 1.1"
    OWN_FULL = "own policy, demand 1.1"
    LEAST_HALF = "least requests, demand 0.5"
    OWN_HALF = "own policy, demand 0.5"
    OWN_FLOOD = "own policy, demand 1.1, one workspace at 10 times"
    OWN_LOSSY = "own policy, demand 1.1, cache events lost and late"


@frozen
class Figures:
    """What one replay gave.

    ``throughput`` counts the tokens while requests arrive, and ``others`` are
    the workspaces but the one that floods in `Case.OWN_FLOOD`.
    """

    preemptions: int
    stall_s: float
    interval_p99_s: float
    throughput: float
    queue_p95_s: float
    interactive_queue_p95_s: float
    others_queue_p95_s: float
    others_tokens: int
    cache_hit_share: float
    failed: int


@frozen
class _Target:
    """One target: a figure of a case against that of another one."""

    text: str
    deployments: tuple[Deployment, ...]
    case: Case
    against: Case
    figure: Callable[[Figures], float]
    limit: float
    is_upper: bool = True


_BOTH = tuple(Deployment)
_TARGETS = (
    _Target(
        "preemptions",
        (Deployment.SIERRA_NORTE,),
        Case.OWN_FULL,
        Case.LEAST_FULL,
        lambda f: f.preemptions,
        0.2,
    ),
    _Target(
        "stall time",
        (Deployment.VYSOCINA,),
        Case.OWN_FULL,
        Case.LEAST_FULL,
        lambda f: f.stall_s,
        0.5,
    ),
    _Target(
        "p99 between tokens",
        _BOTH,
        Case.OWN_FULL,
        Case.LEAST_FULL,
        lambda f: f.interval_p99_s,
        1.0,
    ),
    _Target(
        "throughput",
        _BOTH,
        Case.OWN_FULL,
        Case.LEAST_FULL,
        lambda f: f.throughput,
        0.95,
        is_upper=False,
    ),
    _Target(
        "others' p95 queue time in a flood",
        _BOTH,
        Case.OWN_FLOOD,
        Case.OWN_FULL,
        lambda f: f.others_queue_p95_s,
        1.2,
    ),
    _Target(
        "others' tokens in a flood",
        _BOTH,
        Case.OWN_FLOOD,
        Case.OWN_FULL,
        lambda f: f.others_tokens,
        0.95,
        is_upper=False,
    ),
    _Target(
        "cache hit share, 30 % of events lost, the rest 2 s late",
        _BOTH,
        Case.OWN_LOSSY,
        Case.OWN_FULL,
        lambda f: f.cache_hit_share,
        0.9,
        is_upper=False,
    ),
    _Target(
        "stall time at half load",
        _BOTH,
        Case.OWN_HALF,
        Case.LEAST_HALF,
        lambda f: f.stall_s,
        1.0,
    ),
    _Target(
        "p99 between tokens at half load",
        _BOTH,
        Case.OWN_HALF,
        Case.LEAST_HALF,
        lambda f: f.interval_p99_s,
        1.0,
    ),
    _Target(
        "p95 queue time at half load",
        _BOTH,
        Case.OWN_HALF,
        Case.LEAST_HALF,
        lambda f: f.queue_p95_s,
        1.0,
    ),
)

_Job = tuple[Deployment, Case, int]


def run() -> None:
    """Replay all cases and print the figures against the targets."""
    jobs: list[_Job] = list(product(Deployment, Case, SEEDS))
    workers = min(WORKERS_MAX, os.cpu_count() or 1)
    with ProcessPoolExecutor(workers) as pool:
        figures = dict(zip(jobs, pool.map(_replay, jobs), strict=True))
    for deployment, case in product(Deployment, Case):
        group = [figures[deployment, case, seed] for seed in SEEDS]
        typer.echo(f"{deployment}: {case}")
        typer.echo(f"  {_describe(group)}")
    typer.echo("targets: median (lowest to highest of the seeds) of the ratio")
    for target in _TARGETS:
        for deployment in target.deployments:
            typer.echo(_verdict(target, deployment, figures))
    typer.echo(routing_cost())
    typer.echo(admission_costs())


def _replay(job: _Job) -> Figures:
    deployment, case, seed = job
    trace = generate_trace(
        TraceSettings(
            deployment=deployment,
            duration_s=DURATION_S,
            demand=0.5 if case in (Case.LEAST_HALF, Case.OWN_HALF) else 1.1,
            memory_tokens=ENGINES * CORE.memory_tokens,
            workspaces=WORKSPACES,
            flood_factor=10.0 if case is Case.OWN_FLOOD else 1.0,
            seed=seed,
        )
    )
    settings = _settings(deployment, case, seed)
    records, system = run_in_virtual_time(replay_trace(settings, trace))
    cores = [server.core for server in system.servers.values()]
    queried = sum(core.cache_queried_tokens for core in cores)
    hit = sum(core.cache_hit_tokens for core in cores)
    return _figures(records, hit / max(1, queried))


def _settings(deployment: Deployment, case: Case, seed: int) -> SystemSettings:
    is_baseline = case in (Case.LEAST_FULL, Case.LEAST_HALF)
    if is_baseline:
        admission = AdmissionSettings(
            memory_tokens=CORE.memory_tokens,
            concurrency_max=UNBOUNDED,
            queue_max=UNBOUNDED,
            prefill_max_tokens=UNBOUNDED,
            policy=NoAdmission(),
        )
        never = (float("inf"),)
        router = RouterSettings(policy=LeastRequests(), shed_pressures=never)
    else:
        chance = overflow_probability(*WEIGHTS[deployment])
        admission = AdmissionSettings(
            memory_tokens=CORE.memory_tokens,
            concurrency_max=CORE.max_running,
            policy=BoundedOverflow(chance),
        )
        router = RouterSettings(policy=PredictedWait())
    is_lossy = case is Case.OWN_LOSSY
    return SystemSettings(
        core=CORE,
        engines=ENGINES,
        admission=admission,
        router=router,
        cache_event_lag_s=2.0 if is_lossy else 0.0,
        cache_event_loss_share=0.3 if is_lossy else 0.0,
        weights=plan_weights(WORKSPACES),
        seed=seed,
    )


def _figures(records: list[AnswerRecord], cache_hit_share: float) -> Figures:
    whole = measure(records, lambda _: "all", INTERVAL_MAX_S)["all"]
    by_class = measure(records, lambda record: record.traffic_class, INTERVAL_MAX_S)
    others = [record for record in records if record.workspace != FLOODING]
    return Figures(
        preemptions=whole.preemptions,
        stall_s=whole.stall_s,
        interval_p99_s=whole.token_interval_s.p99,
        throughput=_tokens_in_time(records) / DURATION_S,
        queue_p95_s=whole.queue_time_s.p95,
        interactive_queue_p95_s=by_class["interactive"].queue_time_s.p95,
        others_queue_p95_s=percentile(
            sorted(record.queue_time_s for record in others), 0.95
        ),
        others_tokens=_tokens_in_time(others),
        cache_hit_share=cache_hit_share,
        failed=whole.requests - whole.ok,
    )


def _tokens_in_time(records: Iterable[AnswerRecord]) -> int:
    return sum(
        time_s <= DURATION_S for record in records for time_s in record.token_times_s
    )


def _describe(group: list[Figures]) -> str:
    def spread(figure: Callable[[Figures], float], digits: int) -> str:
        values = sorted(figure(figures) for figures in group)
        low, middle, high = (
            f"{v:.{digits}f}" for v in (values[0], values[1], values[-1])
        )
        return f"{middle} ({low} to {high})"

    return ", ".join(
        (
            f"preemptions {spread(lambda f: f.preemptions, 0)}",
            f"stall {spread(lambda f: f.stall_s, 1)} s",
            f"p99 between tokens {spread(lambda f: f.interval_p99_s * 1e3, 0)} ms",
            f"{spread(lambda f: f.throughput, 0)} tokens/s",
            f"queue p95 {spread(lambda f: f.queue_p95_s, 2)} s",
            f"interactive {spread(lambda f: f.interactive_queue_p95_s, 2)} s",
            f"cache hits {spread(lambda f: f.cache_hit_share, 2)}",
            f"failed {spread(lambda f: f.failed, 0)}",
        )
    )


def _verdict(
    target: _Target, deployment: Deployment, figures: dict[_Job, Figures]
) -> str:
    ratios = sorted(
        _ratio(
            target.figure(figures[deployment, target.case, seed]),
            target.figure(figures[deployment, target.against, seed]),
        )
        for seed in SEEDS
    )
    middle = median(ratios)
    # Figures of the same trace differ in their last digits by rounding alone.
    is_met = (
        middle <= target.limit + 1e-9 if target.is_upper else middle >= target.limit
    )
    sign = "<=" if target.is_upper else ">="
    return (
        f"  {'met   ' if is_met else 'MISSED'} {deployment}: {target.text} "
        f"{middle:.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f}), "
        f"target {sign} {target.limit}"
    )


def _ratio(value: float, base: float) -> float:
    if base:
        return value / base
    return 1.0 if not value else float("inf")
