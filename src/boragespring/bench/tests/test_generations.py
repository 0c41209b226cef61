"""Tests of the placement policies under heavy load, in virtual time."""

from boragespring.bench.generations import Policy, measure_policy


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
