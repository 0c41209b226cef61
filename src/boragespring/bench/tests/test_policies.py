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
    expected = sum(r.output_tokens for r in trace if not r.service)
    assert sum(len(record.token_times_s) for record in records) == expected
    assert all(server.core.is_idle for server in system.servers.values())
    in_time = sum(t <= DURATION_S for r in records for t in r.token_times_s)
    return measure(records, lambda _: "all", 0.1)["all"], in_time


def compare(deployment):
    base, base_tokens = replay(deployment, NoAdmission(), LeastRequests())
    chance = overflow_probability(*WEIGHTS[deployment])
    own, own_tokens = replay(deployment, BoundedOverflow(chance), PredictedWait())
    assert base.preemptions >= 20 and base.stall_s >= 20
    assert own_tokens >= 0.95 * base_tokens
    return base, own


def test_weights_of_sierra_norte_save_four_in_five_preemptions():
    base, own = compare(Deployment.SIERRA_NORTE)
    assert own.preemptions <= 0.2 * base.preemptions


def test_weights_of_vysocina_save_half_of_the_stall_time():
    base, own = compare(Deployment.VYSOCINA)
    assert own.stall_s <= 0.5 * base.stall_s
