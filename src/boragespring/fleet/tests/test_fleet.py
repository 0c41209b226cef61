"""Joining, leaving, lapses and suspicion of servers."""

import random

import pytest
from attrs import evolve

from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet, FleetSettings, Registration, ServerAddress
from boragespring.fleet.model import RunLoad


class Clock:
    now_s = 10.0

    def __call__(self):
        return self.now_s


def entry(name, **more):
    return Registration(name, "svc", ServerAddress("10.0.0.1", 80), "a", 4, **more)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def fleet(clock):
    return Fleet(FleetSettings(), DecisionLog(clock=clock), clock)


def names(fleet):
    return {server.server_id for server in fleet.candidates("svc")}


def test_leaving_servers_take_nothing_and_are_told_once(fleet):
    left = []
    fleet.leave_hooks.append(lambda server: left.append(server.server_id))
    fleet.register(entry("one"))
    fleet.register(entry("two"))
    fleet.register(entry("one", is_leaving=True))
    fleet.register(entry("one", is_leaving=True))
    fleet.unregister("one", "removed")
    assert names(fleet) == {"two"}
    assert left == ["one"]


def test_a_removed_server_is_kept_while_it_has_runs(fleet):
    fleet.register(entry("one"))
    server = fleet.find("one")
    server.runs["r"] = RunLoad(1, 1.0, 0.0)
    fleet.unregister("one", "removed")
    assert fleet.find("one") is server
    fleet.remove_run(server, "r")
    assert fleet.find("one") is None


def test_entries_that_lapsed_with_the_store_have_two_seconds(fleet, clock):
    for name in ("one", "two", "three"):
        fleet.register(entry(name))
    fleet.replace_all([entry("one")], is_after_outage=True)
    assert names(fleet) == {"one", "two", "three"}
    clock.now_s += 1.0
    fleet.register(entry("two"))
    clock.now_s += 1.0
    fleet.expire_lapsed()
    assert names(fleet) == {"one", "two"}


def test_entries_that_are_missing_without_an_outage_are_gone(fleet):
    fleet.register(entry("one"))
    fleet.replace_all([entry("two")], is_after_outage=False)
    assert names(fleet) == {"two"}


def test_another_start_under_the_same_identity_knows_nothing(fleet):
    fleet.register(entry("one", started_at_ms=1))
    before = fleet.find("one")
    before.runs["r"] = RunLoad(1, 1.0, 0.0)
    fleet.register(entry("one", started_at_ms=2))
    after = fleet.find("one")
    assert after is not before
    assert not after.runs
    fleet.remove_run(before, "r")
    assert fleet.find("one") is after


def test_suspicion_grows_with_failures_and_ends_with_an_answer(fleet, clock):
    fleet.register(entry("one"))
    server = fleet.find("one")
    fleet.record_failure(server, "reset")
    assert not server.is_suspected(clock.now_s)
    fleet.record_failure(server, "reset")
    assert server.is_suspected(clock.now_s)
    clock.now_s += 1.1
    assert not server.is_suspected(clock.now_s)
    fleet.record_failure(server, "refused", is_certain=True)
    clock.now_s += 1.1
    assert server.is_suspected(clock.now_s)
    fleet.record_success(server)
    assert not server.is_suspected(clock.now_s)


def test_a_server_comes_back_when_its_entry_says_so(fleet):
    fleet.register(entry("one"))
    fleet.mark_leaving(fleet.find("one"), "its port was closed")
    assert not names(fleet)
    fleet.register(evolve(entry("one"), slots=5))
    assert names(fleet) == {"one"}


@pytest.mark.parametrize("seed", range(5))
def test_candidates_follow_every_change(fleet, seed):
    chance = random.Random(seed)
    for _ in range(200):
        name = f"s{chance.randrange(4)}"
        service = chance.choice(("svc", "other"))
        server = fleet.find(name)
        match chance.randrange(4):
            case 0 | 1:
                is_leaving = chance.random() < 0.3
                fleet.register(
                    evolve(entry(name, is_leaving=is_leaving), service=service)
                )
            case 2:
                fleet.unregister(name, "test")
            case 3 if server is not None:
                fleet.mark_leaving(server, "test")
        for service in ("svc", "other"):
            expected = [
                one
                for one in fleet.servers
                if one.registration.service == service and not one.is_leaving
            ]
            assert list(fleet.candidates(service)) == expected
