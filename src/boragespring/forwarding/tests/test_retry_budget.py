"""Tests that retries stay within the budget shared by all gateways."""

import random

from boragespring.forwarding.retry_budget import RetryBudget, RetryBudgetSettings

SETTINGS = RetryBudgetSettings(ratio=0.2, slack=50.0, window_s=10.0)


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


def test_all_gateways_combined_stay_within_every_window():
    clock, rng = Clock(), random.Random(7)
    budgets = [RetryBudget(SETTINGS, lambda: 5, clock) for _ in range(5)]
    requests, retries = [], []
    for step in range(6000):
        clock.now_s = step * 0.01
        budget = rng.choice(budgets)
        if step % 2 == 0:
            budget.record_request("svc")
            requests.append(clock.now_s)
        # Retry storm: every request fails and is retried more than once.
        if budget.try_acquire("svc"):
            retries.append(clock.now_s)
    for end_s in range(10, 60):
        requested = sum(end_s - 10 < at_s <= end_s for at_s in requests)
        retried = sum(end_s - 10 < at_s <= end_s for at_s in retries)
        assert retried <= 0.2 * requested + 50.0
    assert len(retries) > 0.5 * 0.2 * len(requests)


def test_each_service_has_its_own_budget():
    budget = RetryBudget(SETTINGS, lambda: 1, Clock())
    while budget.try_acquire("one"):
        pass
    assert budget.try_acquire("two")


def test_requests_of_an_old_window_add_no_budget():
    clock = Clock()
    budget = RetryBudget(SETTINGS, lambda: 5, clock)
    for _ in range(100):
        budget.record_request("svc")
    clock.now_s = 10.1
    granted = 0
    while budget.try_acquire("svc"):
        granted += 1
    assert granted <= 50 / 5
