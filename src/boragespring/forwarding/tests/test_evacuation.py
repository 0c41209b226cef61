"""Tests of the order in which gateways move runs off a leaving server."""

import itertools

from attrs import evolve

from boragespring.forwarding.evacuation import Evacuation, LeavingRun
from boragespring.forwarding.refused_targets import RefusedTargets

COPY_S = 1e-4


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def run(name, memory_tokens=2000, value=10_000.0, ends_in_s=20.0):
    return LeavingRun(name, memory_tokens, value, ends_in_s)


def evacuation(clock, left_s=1.6):
    return Evacuation(
        ends_at_s=clock() + left_s,
        head_slack_s=0.3,
        copy_s_per_token=COPY_S,
        clock=clock,
    )


def drain(order, clock):
    """Return the names of the runs in the order in which they are moved."""
    names = []
    while (head := order.head()) is not None:
        names.append(head.run_id)
        clock.now_s += head.memory_tokens * COPY_S
        order.remove(head.run_id)
    return names


def test_order_is_independent_of_arrival():
    runs = [run("a", 3000), run("b", 1000), run("c", 2000), run("d", 2000, 30_000.0)]
    orders = set()
    for arrival in itertools.permutations(runs):
        clock = Clock()
        order = evacuation(clock)
        order.add(arrival)
        orders.add(tuple(drain(order, clock)))
    assert orders == {("d", "b", "c", "a")}


def test_runs_whose_copy_does_not_fit_the_notice_come_last():
    clock = Clock()
    order = evacuation(clock, left_s=0.5)
    # The large run has the highest value per token but its copy takes 0.7 s.
    order.add([run("large", 7000, 90_000.0), run("small", 2000), run("mid", 2500)])
    assert drain(order, clock) == ["small", "mid", "large"]


def test_runs_that_complete_in_time_come_last():
    clock = Clock()
    order = evacuation(clock)
    order.add([run("short", 500, ends_in_s=0.4), run("long", 4000)])
    assert drain(order, clock) == ["long", "short"]


def test_head_is_kept_when_a_more_valuable_run_is_announced():
    clock = Clock()
    order = evacuation(clock)
    order.add([run("first")])
    assert order.head().run_id == "first"
    order.add([run("better", 100)])
    assert order.head().run_id == "first"


def test_head_of_a_failed_gateway_is_skipped_after_a_timeout():
    clock = Clock()
    order = evacuation(clock)
    order.add([run("dead", 1000), run("local", 2000)])
    assert order.head().run_id == "dead"
    clock.now_s += 1000 * COPY_S + 0.31
    assert order.head().run_id == "local"


def test_late_announcement_does_not_restore_a_removed_run():
    clock = Clock()
    order = evacuation(clock)
    order.remove("moved")
    order.add([run("moved")])
    assert order.head() is None


def test_failed_attempt_moves_a_run_behind_the_others():
    clock = Clock()
    order = evacuation(clock)
    order.add([run("best", value=90_000.0), run("other")])
    assert order.head().run_id == "best"
    requeued = evolve(run("best", value=90_000.0), failed_attempts=1)
    order.add([requeued])
    assert order.head().run_id == "other"
    order.add([run("best", value=90_000.0)])
    assert drain(order, clock) == ["other", "best"]
    order.add([requeued])
    assert order.head() is None
    order.add([evolve(requeued, failed_attempts=2)])
    assert order.head().run_id == "best"
    # The notification that the run has ended can arrive twice.
    order.remove("best")
    order.remove("best")
    order.add([requeued])
    assert order.head() is None


def test_refusal_applies_to_runs_of_at_least_the_size_until_it_expires():
    clock = Clock()
    refused = RefusedTargets(0.3, 5.0, clock)
    refused.record("full", 3000)
    assert refused.has_refused("full", 3000)
    assert refused.has_refused("full", 5000)
    assert not refused.has_refused("full", 2900)
    assert not refused.has_refused("other", 3000)
    refused.record("full", 4000)
    assert refused.has_refused("full", 3000)
    clock.now_s += 0.61
    assert not refused.has_refused("full", 5000)


def test_consecutive_refusals_are_remembered_for_longer():
    clock = Clock()
    refused = RefusedTargets(0.3, 1.0, clock)
    times_s = []
    for _ in range(4):
        refused.record("unreachable", 100)
        recorded_at_s = clock.now_s
        while refused.has_refused("unreachable", 100):
            clock.now_s += 0.05
        times_s.append(round(clock.now_s - recorded_at_s, 1))
    assert times_s == [0.3, 0.6, 1.0, 1.0]
    refused.discard("unreachable")
    refused.record("unreachable", 100)
    clock.now_s += 0.31
    assert not refused.has_refused("unreachable", 100)


def test_time_is_short_if_copies_of_all_runs_do_not_fit():
    clock = Clock()
    order = evacuation(clock, left_s=1.0)
    order.add([run("a", 3000), run("b", 3000)])
    assert not order.is_time_short(COPY_S)
    assert order.is_time_short(2 * COPY_S)
    order.remove("a")
    assert not order.is_time_short(2 * COPY_S)
