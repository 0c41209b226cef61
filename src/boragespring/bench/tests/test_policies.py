"""Tests that the default policies reduce preemptions and stalls."""

from boragespring.admission import (
    AdmissionSettings,
    BoundedOverflow,
    NoAdmission,
    overflow_probability,
)
from boragespring.bench.policies import CORE, UNBOUNDED, WEIGHTS
from boragespring.bench.policy_system import SystemSettings, replay_trace
from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.replay import Deployment, TraceSettings, generate_trace, measure
from boragespring.routing import LeastRequests, PredictedWait, RouterSettings

ENGINES = 2
DURATION_S = 90.0


def replay(deployment, policy, routing):
    trace = generate_trace(
        TraceSettings(
            deployment,
            duration_s=DURATION_S,
            demand=1.2,
            memory_tokens=ENGINES * CORE.memory_tokens,
            seed=7,
        )
    )
    settings = SystemSettings(
        core=CORE,
        engines=ENGINES,
        admission=AdmissionSettings(
            memory_tokens=CORE.memory_tokens,
            concurrency_max=UNBOUNDED,
            queue_max=UNBOUNDED,
            policy=policy,
        ),
        router=RouterSettings(policy=routing, shed_pressures=(float("inf"),)),
        seed=7,
    )
    records, system = run_in_virtual_time(replay_trace(settings, trace))
    assert {record.outcome for record in records} == {"ok"}
    expected_tokens = sum(
        record.output_tokens for record in trace if not record.service
    )
    assert sum(len(record.token_times_s) for record in records) == expected_tokens
    assert all(server.core.is_idle for server in system.servers.values())
    tokens_in_duration = sum(
        time_s <= DURATION_S for record in records for time_s in record.token_times_s
    )
    return measure(records, lambda _: "all", 0.1)["all"], tokens_in_duration


def compare(deployment):
    baseline, baseline_tokens = replay(deployment, NoAdmission(), LeastRequests())
    probability = overflow_probability(*WEIGHTS[deployment])
    default, default_tokens = replay(
        deployment, BoundedOverflow(probability), PredictedWait()
    )
    assert baseline.preemptions >= 20 and baseline.stall_s >= 20
    assert default_tokens >= 0.95 * baseline_tokens
    return baseline, default


def test_sierra_norte_weights_avoid_four_in_five_preemptions():
    baseline, default = compare(Deployment.SIERRA_NORTE)
    assert default.preemptions <= 0.2 * baseline.preemptions


def test_vysocina_weights_halve_the_stall_time():
    baseline, default = compare(Deployment.VYSOCINA)
    assert default.stall_s <= 0.5 * baseline.stall_s
