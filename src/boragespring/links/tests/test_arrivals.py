"""Tests of failure detection from recent heartbeats.

The suspicion timeout must follow the regularity of the heartbeats. It must neither stay
long after a single pause nor be so short that random pauses cause false suspicions.
"""

import random

import pytest

from boragespring.links.arrivals import HeartbeatArrivals

INTERVAL_S, DEADLINE_S = 0.5, 3.0


def arrivals_after(intervals_s):
    arrivals = HeartbeatArrivals(INTERVAL_S, DEADLINE_S)
    now_s = 0.0
    arrivals.record(now_s)
    for interval_s in intervals_s:
        now_s += interval_s
        arrivals.record(now_s)
    return arrivals


def test_suspicion_timeout_grows_with_irregular_heartbeats():
    rng = random.Random(1)
    regular = arrivals_after([INTERVAL_S] * 30)
    irregular = arrivals_after([rng.uniform(0.2, 1.2) for _ in range(30)])
    assert regular.suspicion_timeout_s == 2 * INTERVAL_S
    assert regular.failure_timeout_s == 4 * INTERVAL_S
    assert regular.suspicion_timeout_s < irregular.suspicion_timeout_s <= DEADLINE_S
    assert arrivals_after([INTERVAL_S] * 3).suspicion_timeout_s == DEADLINE_S


def test_one_long_pause_does_not_inflate_the_timeout_for_long():
    arrivals = arrivals_after([INTERVAL_S] * 30 + [600.0])
    assert arrivals.suspicion_timeout_s <= DEADLINE_S
    recovered = arrivals_after([600.0] + [INTERVAL_S] * 70)
    assert recovered.suspicion_timeout_s == 2 * INTERVAL_S


@pytest.mark.parametrize("seed", range(5))
def test_few_false_suspicions_under_random_pauses(seed):
    rng = random.Random(seed)
    arrivals = arrivals_after([INTERVAL_S] * 16)
    now_s, false_suspicions = 8.0, 0
    for _ in range(2000):
        pause_s = rng.expovariate(1 / 0.1) if rng.random() < 0.2 else 0.0
        interval_s = INTERVAL_S + pause_s
        false_suspicions += interval_s > arrivals.suspicion_timeout_s
        now_s += interval_s
        arrivals.record(now_s)
    assert false_suspicions < 10
