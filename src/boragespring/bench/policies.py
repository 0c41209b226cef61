"""Benchmark routing and admission policies on the same traces.

The traces are replayed in virtual time, so that the results do not depend on
the machine. Only the cost of a decision is measured in real time.
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
FLOODING_WORKSPACE = f"workspace-{WORKSPACES - 1:02d}"
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
    """Policies and load of one replay."""

    BASELINE_FULL = "least requests, demand 1.1"
    DEFAULT_FULL = "default policies, demand 1.1"
    BASELINE_HALF = "least requests, demand 0.5"
    DEFAULT_HALF = "default policies, demand 0.5"
    DEFAULT_FLOOD = "default policies, demand 1.1, one workspace at 10 times its rate"
    DEFAULT_LOSSY = "default policies, demand 1.1, cache events lost and late"


@frozen
class ReplayResult:
    """Results of one replay.

    Parameters
    ----------
    preemptions : int
        Number of preemptions in the engines.
    stall_s : float
        Total time, in seconds, by which tokens exceeded `INTERVAL_MAX_S`.
    interval_p99_s : float
        99th percentile of the time, in seconds, between tokens.
    throughput : float
        Tokens per second in the period during which requests arrive.
    queue_p95_s, interactive_queue_p95_s, others_queue_p95_s : float
        95th percentile of the queue time, in seconds, of all requests, of the
        interactive ones, and of those of all workspaces except the one that
        floods in `Case.DEFAULT_FLOOD`.
    others_tokens : int
        Tokens of all workspaces except the flooding one, counted as for
        `throughput`.
    cache_hit_ratio : float
        Fraction of the prompt tokens that were found in the prefix caches.
    failed : int
        Number of requests that failed.
    """

    preemptions: int
    stall_s: float
    interval_p99_s: float
    throughput: float
    queue_p95_s: float
    interactive_queue_p95_s: float
    others_queue_p95_s: float
    others_tokens: int
    cache_hit_ratio: float
    failed: int


@frozen
class _Target:
    """Limit for the ratio of a metric in one case to that in a baseline case.

    Parameters
    ----------
    description : str
        Name of the target in the output.
    deployments : tuple of Deployment
        Deployments to which the target applies.
    case, baseline : Case
        Cases that are compared.
    metric : callable
        Returns the metric from a result.
    limit : float
        Limit for the median of the ratio over the seeds.
    is_upper_limit : bool
        Whether the ratio must not exceed the limit, rather than reach it.
    """

    description: str
    deployments: tuple[Deployment, ...]
    case: Case
    baseline: Case
    metric: Callable[[ReplayResult], float]
    limit: float
    is_upper_limit: bool = True


_ALL_DEPLOYMENTS = tuple(Deployment)
_TARGETS = (
    _Target(
        "preemptions",
        (Deployment.SIERRA_NORTE,),
        Case.DEFAULT_FULL,
        Case.BASELINE_FULL,
        lambda r: r.preemptions,
        0.2,
    ),
    _Target(
        "stall time",
        (Deployment.VYSOCINA,),
        Case.DEFAULT_FULL,
        Case.BASELINE_FULL,
        lambda r: r.stall_s,
        0.5,
    ),
    _Target(
        "inter-token interval p99",
        _ALL_DEPLOYMENTS,
        Case.DEFAULT_FULL,
        Case.BASELINE_FULL,
        lambda r: r.interval_p99_s,
        1.0,
    ),
    _Target(
        "throughput",
        _ALL_DEPLOYMENTS,
        Case.DEFAULT_FULL,
        Case.BASELINE_FULL,
        lambda r: r.throughput,
        0.95,
        is_upper_limit=False,
    ),
    _Target(
        "queue time p95 of other workspaces in a flood",
        _ALL_DEPLOYMENTS,
        Case.DEFAULT_FLOOD,
        Case.DEFAULT_FULL,
        lambda r: r.others_queue_p95_s,
        1.2,
    ),
    _Target(
        "tokens of other workspaces in a flood",
        _ALL_DEPLOYMENTS,
        Case.DEFAULT_FLOOD,
        Case.DEFAULT_FULL,
        lambda r: r.others_tokens,
        0.95,
        is_upper_limit=False,
    ),
    _Target(
        "cache hit ratio, 30 % of events lost, the rest 2 s late",
        _ALL_DEPLOYMENTS,
        Case.DEFAULT_LOSSY,
        Case.DEFAULT_FULL,
        lambda r: r.cache_hit_ratio,
        0.9,
        is_upper_limit=False,
    ),
    _Target(
        "stall time at half load",
        _ALL_DEPLOYMENTS,
        Case.DEFAULT_HALF,
        Case.BASELINE_HALF,
        lambda r: r.stall_s,
        1.0,
    ),
    _Target(
        "inter-token interval p99 at half load",
        _ALL_DEPLOYMENTS,
        Case.DEFAULT_HALF,
        Case.BASELINE_HALF,
        lambda r: r.interval_p99_s,
        1.0,
    ),
    _Target(
        "queue time p95 at half load",
        _ALL_DEPLOYMENTS,
        Case.DEFAULT_HALF,
        Case.BASELINE_HALF,
        lambda r: r.queue_p95_s,
        1.0,
    ),
)

_ReplayJob = tuple[Deployment, Case, int]


def run() -> None:
    """Replay all cases, print the results and compare them with the targets."""
    jobs: list[_ReplayJob] = list(product(Deployment, Case, SEEDS))
    workers = min(WORKERS_MAX, os.cpu_count() or 1)
    with ProcessPoolExecutor(workers) as pool:
        results_by_job = dict(zip(jobs, pool.map(_replay, jobs), strict=True))
    for deployment, case in product(Deployment, Case):
        results = [results_by_job[deployment, case, seed] for seed in SEEDS]
        typer.echo(f"{deployment}: {case}")
        typer.echo(f"  {_describe(results)}")
    typer.echo("targets: median ratio (minimum to maximum over the seeds)")
    for target in _TARGETS:
        for deployment in target.deployments:
            typer.echo(_describe_target(target, deployment, results_by_job))
    typer.echo(routing_cost())
    typer.echo(admission_costs())


def _replay(job: _ReplayJob) -> ReplayResult:
    deployment, case, seed = job
    trace = generate_trace(
        TraceSettings(
            deployment=deployment,
            duration_s=DURATION_S,
            demand=0.5 if case in (Case.BASELINE_HALF, Case.DEFAULT_HALF) else 1.1,
            memory_tokens=ENGINES * CORE.memory_tokens,
            workspaces=WORKSPACES,
            flood_factor=10.0 if case is Case.DEFAULT_FLOOD else 1.0,
            seed=seed,
        )
    )
    settings = _settings(deployment, case, seed)
    records, system = run_in_virtual_time(replay_trace(settings, trace))
    cores = [server.core for server in system.servers.values()]
    queried = sum(core.cache_queried_tokens for core in cores)
    hit = sum(core.cache_hit_tokens for core in cores)
    return _summarize(records, hit / max(1, queried))


def _settings(deployment: Deployment, case: Case, seed: int) -> SystemSettings:
    is_baseline = case in (Case.BASELINE_FULL, Case.BASELINE_HALF)
    if is_baseline:
        admission = AdmissionSettings(
            memory_tokens=CORE.memory_tokens,
            concurrency_max=UNBOUNDED,
            queue_max=UNBOUNDED,
            prefill_max_tokens=UNBOUNDED,
            policy=NoAdmission(),
        )
        never_shed = (float("inf"),)
        router = RouterSettings(policy=LeastRequests(), shed_pressures=never_shed)
    else:
        probability = overflow_probability(*WEIGHTS[deployment])
        admission = AdmissionSettings(
            memory_tokens=CORE.memory_tokens,
            concurrency_max=CORE.max_running,
            policy=BoundedOverflow(probability),
        )
        router = RouterSettings(policy=PredictedWait())
    is_lossy = case is Case.DEFAULT_LOSSY
    return SystemSettings(
        core=CORE,
        engines=ENGINES,
        admission=admission,
        router=router,
        cache_event_lag_s=2.0 if is_lossy else 0.0,
        cache_event_loss_probability=0.3 if is_lossy else 0.0,
        weights=plan_weights(WORKSPACES),
        seed=seed,
    )


def _summarize(records: list[AnswerRecord], cache_hit_ratio: float) -> ReplayResult:
    total = measure(records, lambda _: "all", INTERVAL_MAX_S)["all"]
    by_class = measure(records, lambda record: record.traffic_class, INTERVAL_MAX_S)
    others = [record for record in records if record.workspace != FLOODING_WORKSPACE]
    return ReplayResult(
        preemptions=total.preemptions,
        stall_s=total.stall_s,
        interval_p99_s=total.token_interval_s.p99,
        throughput=_count_tokens_in_duration(records) / DURATION_S,
        queue_p95_s=total.queue_time_s.p95,
        interactive_queue_p95_s=by_class["interactive"].queue_time_s.p95,
        others_queue_p95_s=percentile(
            sorted(record.queue_time_s for record in others), 0.95
        ),
        others_tokens=_count_tokens_in_duration(others),
        cache_hit_ratio=cache_hit_ratio,
        failed=total.requests - total.ok,
    )


def _count_tokens_in_duration(records: Iterable[AnswerRecord]) -> int:
    return sum(
        time_s <= DURATION_S for record in records for time_s in record.token_times_s
    )


def _describe(results: list[ReplayResult]) -> str:
    def spread(metric: Callable[[ReplayResult], float], digits: int) -> str:
        values = sorted(metric(result) for result in results)
        low, middle, high = (
            f"{value:.{digits}f}" for value in (values[0], values[1], values[-1])
        )
        return f"{middle} ({low} to {high})"

    return ", ".join(
        (
            f"preemptions {spread(lambda r: r.preemptions, 0)}",
            f"stall {spread(lambda r: r.stall_s, 1)} s",
            "inter-token interval p99 "
            f"{spread(lambda r: r.interval_p99_s * 1e3, 0)} ms",
            f"{spread(lambda r: r.throughput, 0)} tokens/s",
            f"queue p95 {spread(lambda r: r.queue_p95_s, 2)} s",
            f"interactive {spread(lambda r: r.interactive_queue_p95_s, 2)} s",
            f"cache hits {spread(lambda r: r.cache_hit_ratio, 2)}",
            f"failed {spread(lambda r: r.failed, 0)}",
        )
    )


def _describe_target(
    target: _Target,
    deployment: Deployment,
    results_by_job: dict[_ReplayJob, ReplayResult],
) -> str:
    ratios = sorted(
        _ratio(
            target.metric(results_by_job[deployment, target.case, seed]),
            target.metric(results_by_job[deployment, target.baseline, seed]),
        )
        for seed in SEEDS
    )
    median_value = median(ratios)
    # Results of the same trace can differ in their last digits due to rounding.
    is_met = (
        median_value <= target.limit + 1e-9
        if target.is_upper_limit
        else median_value >= target.limit
    )
    sign = "<=" if target.is_upper_limit else ">="
    return (
        f"  {'met   ' if is_met else 'MISSED'} {deployment}: {target.description} "
        f"{median_value:.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f}), "
        f"target {sign} {target.limit}"
    )


def _ratio(value: float, baseline: float) -> float:
    if baseline:
        return value / baseline
    return 1.0 if not value else float("inf")
