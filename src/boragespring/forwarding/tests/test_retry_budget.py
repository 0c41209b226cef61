"""Repeats stay inside the budget that all gateways share."""

import random

from boragespring.forwarding.retry_budget import RetryBudget, RetryBudgetSettings

BOUND = RetryBudgetSettings(ratio=0.2, slack=50.0, window_s=10.0)


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


def test_all_gateways_together_stay_inside_every_window():
    clock, rng = Clock(), random.Random(7)
    budgets = [RetryBudget(BOUND, lambda: 5, clock) for _ in range(5)]
    requests, repeats = [], []
    for step in range(6000):
        clock.now_s = step * 0.01
        budget = rng.choice(budgets)
        if step % 2 == 0:
            budget.record_request("svc")
            requests.append(clock.now_s)
        # Every request fails, and more besides: a storm.
        if budget.try_acquire("svc"):
            repeats.append(clock.now_s)
    for end_s in range(10, 60):
        sent = sum(end_s - 10 < at_s <= end_s for at_s in requests)
        again = sum(end_s - 10 < at_s <= end_s for at_s in repeats)
        assert again <= 0.2 * sent + 50.0
    assert len(repeats) > 0.5 * 0.2 * len(requests)


def test_services_do_not_share_a_budget():
    budget = RetryBudget(BOUND, lambda: 1, Clock())
    while budget.try_acquire("one"):
        pass
    assert budget.try_acquire("two")


def test_unused_budget_of_an_old_window_is_gone():
    clock = Clock()
    budget = RetryBudget(BOUND, lambda: 5, clock)
    for _ in range(100):
        budget.record_request("svc")
    clock.now_s = 10.1
    taken = 0
    while budget.try_acquire("svc"):
        taken += 1
    assert taken <= 50 / 5
