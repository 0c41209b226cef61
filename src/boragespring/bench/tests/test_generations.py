"""Tests of the placement policies under heavy load, in virtual time."""

from boragespring.bench.generations import (
    FleetSize,
    Policy,
    interval_p99_s,
    measure_policy,
)
from boragespring.forwarding.placement import PlacementSettings
from boragespring.replay.measures import AnswerRecord


def test_shared_load_serves_more_on_time_than_least_requests_at_full_load():
    least = measure_policy(Policy.LEAST_REQUESTS, 1.0, 1)
    shared = measure_policy(Policy.SHARED_LOAD, 1.0, 1)
    assert shared.on_time_fraction > 1.2 * least.on_time_fraction
    assert shared.preemptions < 0.2 * least.preemptions
    assert shared.stall_s < 0.5 * least.stall_s


def test_hardly_any_request_is_refused_below_full_load():
    shared = measure_policy(Policy.SHARED_LOAD, 0.7, 1)
    assert shared.refused <= 1
    assert shared.on_time_fraction > 0.95


def test_the_99th_percentile_does_not_depend_on_the_order_of_answers():
    slow, fast = (AnswerRecord("", "long answer", 0.0) for _ in range(2))
    slow.token_times_s = [float(second) for second in range(10)]
    fast.token_times_s = [0.01 * number for number in range(91)]
    for records in ([slow, fast], [fast, slow]):
        assert interval_p99_s(records) == 1.0


def test_many_gateways_with_old_loads_do_not_choose_the_same_engines():
    # Loads that come by way of two relays are this old.
    size = FleetSize(engines=26, gateways=12, load_delay_s=0.08, duration_s=10.0)
    sampled = measure_policy(Policy.SHARED_LOAD, 1.2, 1, size)
    exhaustive = PlacementSettings(compare_all_max=size.engines)
    compared = measure_policy(Policy.SHARED_LOAD, 1.2, 1, size, exhaustive)
    assert sampled.on_time_fraction > compared.on_time_fraction
    assert sampled.preemptions < compared.preemptions
    assert sampled.stall_s < compared.stall_s
