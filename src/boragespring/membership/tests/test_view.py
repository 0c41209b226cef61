"""Test how the view handles implausible instance lists."""

import pytest
from attrs import evolve

from boragespring.membership.view import InstanceView, ViewSettings
from boragespring.store.instances import Instance, InstanceRole, InstanceState

AGENT, ENTRY = InstanceRole.AGENT, InstanceRole.ENTRY


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


def agent(number, service="model-pool"):
    zone = ("jihlava", "trebic")[number % 2]
    return Instance(f"{service}-{number}", AGENT, service, "r", zone, "h", number, 0)


POOL = [agent(number) for number in range(8)]
DESK = [agent(number, "case-desk") for number in range(2)]


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def view(clock):
    created = InstanceView(ViewSettings(hold_s=60), clock)
    created.apply_instances(POOL + DESK)
    return created


def names(view):
    return {name for name in view.agents() if name.startswith("model")}


def test_single_vanished_agent_is_removed_at_once(view):
    view.apply_instances(POOL[1:] + DESK)
    assert names(view) == {instance.name for instance in POOL[1:]}
    assert view.counters.held_views == 0


def test_agents_are_held_for_a_limited_time_if_the_list_is_empty(view, clock):
    for clock.now_s in range(0, 60, 5):
        view.apply_instances([])
        assert names(view) == {instance.name for instance in POOL}
    assert view.counters.held_views == 2
    clock.now_s = 61
    view.apply_instances([])
    assert not names(view)
    assert view.counters.expired_holds == 2


def test_vanished_zone_is_held_until_listed_again(view, clock):
    rest = [instance for instance in POOL if instance.availability_zone == "trebic"]
    view.apply_instances(rest + DESK)
    assert len(names(view)) == 8 and len(view.held) == 4
    view.apply_instances(POOL + DESK)
    assert not view.held
    clock.now_s = 100
    view.apply_instances(POOL[1:] + DESK)
    assert len(names(view)) == 7


def test_vanished_leaving_agents_are_not_held(view):
    leaving = [evolve(instance, state=InstanceState.LEAVING) for instance in POOL[:4]]
    view.apply_instances(leaving + POOL[4:] + DESK)
    view.apply_instances(POOL[4:] + DESK)
    assert len(names(view)) == 4


def test_later_vanished_agents_do_not_prolong_a_hold(view, clock):
    view.apply_instances(POOL[:4] + DESK)
    clock.now_s = 50
    view.apply_instances(DESK)
    assert len(names(view)) == 8
    clock.now_s = 61
    view.apply_instances(DESK)
    assert not names(view)
