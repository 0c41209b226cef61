"""What callers get under heavy load, on virtual time."""

from boragespring.bench.generations import Policy, measure_policy


def test_full_engines_serve_more_callers_on_time_than_by_least_requests():
    least = measure_policy(Policy.LEAST, 1.0, 1)
    shared = measure_policy(Policy.SHARED, 1.0, 1)
    assert shared.on_time_share > 1.2 * least.on_time_share
    assert shared.preemptions < 0.2 * least.preemptions
    assert shared.stall_s < 0.5 * least.stall_s


def test_hardly_anything_is_refused_while_engines_have_room():
    shared = measure_policy(Policy.SHARED, 0.7, 1)
    assert shared.refused <= 1
    assert shared.on_time_share > 0.95
