"""Which connections are evicted when callers use too much together."""

import pytest
from attrs import define

from boragespring.http.caller_budget import (
    CallerBudget,
    CallerBudgetSettings,
    CallerState,
    EvictionReason,
    budget_settings,
)
from boragespring.settings import ProcessSettings

NOW_S = 100.0


@define(eq=False)
class Connection:
    name: str
    budget: CallerBudget
    evicted: list
    state: CallerState = CallerState.BODY
    waits_since_s: float = NOW_S

    def evict(self, reason):
        self.evicted.append((self.name, reason))
        self.budget.remove(self)


class Callers:
    """Connections whose evictions are listed."""

    def __init__(self, memory_max_bytes=1000, connections_max=1000):
        settings = CallerBudgetSettings(memory_max_bytes, connections_max)
        self.budget = CallerBudget(settings, lambda: NOW_S)
        self.evicted = []
        self.hooked = []
        self.budget.eviction_hooks.append(self.hooked.append)

    def add(self, name, held_bytes, waited_s=0.0, state=CallerState.BODY):
        added = Connection(name, self.budget, self.evicted, state, NOW_S - waited_s)
        self.budget.add(added)
        self.budget.update(added, held_bytes)
        return added

    @property
    def evicted_names(self):
        return [name for name, _ in self.evicted]


def test_nothing_is_evicted_within_the_budget():
    callers = Callers()
    for number in range(10):
        callers.add(str(number), 100, waited_s=1000)
    assert not callers.evicted
    assert callers.budget.held_bytes == 1000


def test_what_holds_most_for_longest_is_evicted_first():
    callers = Callers()
    callers.add("small and old", 10, waited_s=20)
    callers.add("large and old", 400, waited_s=20)
    callers.add("large and new", 400, waited_s=0)
    callers.add("ordinary", 300)
    assert callers.evicted_names == ["large and old"]
    assert callers.hooked[0].held_bytes == 400
    assert callers.hooked[0].waited_s == 20
    assert callers.hooked[0].reason is EvictionReason.MEMORY


def test_running_requests_are_never_evicted():
    callers = Callers()
    for number in range(4):
        callers.add(str(number), 300, 50, CallerState.RUNNING)
    assert not callers.evicted
    assert callers.budget.is_exhausted


def test_room_is_made_down_to_the_low_water_mark():
    callers = Callers()
    for number in range(101):
        callers.add(str(number), 10, waited_s=200 - number)
    # From 1,010 to 900 bytes.
    assert callers.evicted_names == [str(number) for number in range(11)]
    assert not callers.budget.is_exhausted


def test_longest_waiting_connection_is_evicted_for_a_new_one():
    callers = Callers(connections_max=3)
    callers.add("running", 1, 90, CallerState.RUNNING)
    callers.add("old", 1, 60, CallerState.IDLE)
    callers.add("older", 1, 70, CallerState.IDLE)
    callers.add("new", 1)
    assert callers.evicted == [("older", EvictionReason.CONNECTIONS)]
    assert callers.budget.connections == 3


def test_closed_connections_no_longer_count():
    callers = Callers()
    connection = callers.add("closed", 900)
    callers.budget.remove(connection)
    callers.budget.update(connection, 900)
    assert (callers.budget.held_bytes, callers.budget.connections) == (0, 0)


@pytest.mark.parametrize(
    ("memory_mb", "expected_bytes"),
    [(60, 0), (128, (128 * 10**6 - 64 * 2**20) // 2)],
)
def test_budget_follows_the_memory_of_the_process(memory_mb, expected_bytes):
    process = ProcessSettings(memory_mb * 10**6, 300)
    settings = budget_settings(process)
    assert settings.memory_max_bytes == expected_bytes
    assert settings.connections_max == 150


# Guards against limits on bodies of a configuration that the budget would never allow.
def test_one_largest_request_always_has_room():
    callers = Callers(memory_max_bytes=1000)
    callers.budget.allow_request(5000)
    callers.budget.allow_request(300)
    callers.add("largest", 5000, waited_s=60)
    assert not callers.evicted and not callers.budget.is_exhausted
    callers.add("further", 100)
    assert callers.evicted_names == ["largest"]
