"""The instance list when it lies."""

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
    started = InstanceView(ViewSettings(hold_s=60), clock)
    started.apply_instances(POOL + DESK)
    return started


def names(view):
    return {name for name in view.agents() if name.startswith("model")}


def test_single_leavers_are_believed_at_once(view):
    view.apply_instances(POOL[1:] + DESK)
    assert names(view) == {each.name for each in POOL[1:]}
    assert view.counters.held_views == 0


def test_empty_list_keeps_the_last_good_view_for_a_bounded_time(view, clock):
    for clock.now_s in range(0, 60, 5):
        view.apply_instances([])
        assert names(view) == {each.name for each in POOL}
    assert view.counters.held_views == 2
    clock.now_s = 61
    view.apply_instances([])
    assert not names(view)
    assert view.counters.expired_holds == 2


def test_lost_zone_is_held_until_it_is_listed_again(view, clock):
    rest = [each for each in POOL if each.availability_zone == "trebic"]
    view.apply_instances(rest + DESK)
    assert len(names(view)) == 8 and len(view.held) == 4
    view.apply_instances(POOL + DESK)
    assert not view.held
    clock.now_s = 100
    view.apply_instances(POOL[1:] + DESK)
    assert len(names(view)) == 7


def test_agents_that_were_leaving_are_not_held(view):
    leaving = [evolve(each, state=InstanceState.LEAVING) for each in POOL[:4]]
    view.apply_instances(leaving + POOL[4:] + DESK)
    view.apply_instances(POOL[4:] + DESK)
    assert len(names(view)) == 4


def test_more_may_vanish_during_a_hold_without_prolonging_it(view, clock):
    view.apply_instances(POOL[:4] + DESK)
    clock.now_s = 50
    view.apply_instances(DESK)
    assert len(names(view)) == 8
    clock.now_s = 61
    view.apply_instances(DESK)
    assert not names(view)
