"""Refusing at the load at which engines' memory is full."""

import random

from boragespring.catalog import EngineProfile, RequestKind, Route, ServiceShare
from boragespring.forwarding.overload import (
    OverloadSettings,
    expected_wait_s,
    refusal_retry_after_s,
)
from boragespring.forwarding.tests.test_placement import give, server

ENGINE = EngineProfile(slots=24, memory_tokens=22_000)
SETTINGS = OverloadSettings()
ROUTE = Route(
    "r", "h", "/", RequestKind.STREAMING, (ServiceShare("m", 1.0),), 39.0, 1.8
)


def wait_s(runs, urgency=1, produced=4):
    engine = server("engine")
    give(engine, runs, 3000, 700, produced)
    return expected_wait_s(engine, ENGINE, urgency, SETTINGS)


def is_refused(*args, **more):
    seconds = wait_s(*args, **more)
    return refusal_retry_after_s(seconds, ROUTE, SETTINGS, random.Random(1)) is not None


def test_nothing_is_refused_while_memory_is_free():
    assert not any(is_refused(runs) for runs in range(5))
    assert wait_s(0) < 0.3


def test_a_full_engine_refuses_and_says_when_to_come_back():
    assert is_refused(7)
    pauses = {
        refusal_retry_after_s(wait_s(7), ROUTE, SETTINGS, random.Random(seed))
        for seed in range(20)
    }
    assert len(pauses) > 10
    assert all(SETTINGS.retry_min_s <= one <= SETTINGS.retry_max_s for one in pauses)


def test_urgent_requests_are_taken_longer():
    assert is_refused(7, urgency=1)
    assert not is_refused(7, urgency=0)


def test_prompts_that_wait_to_be_read_count():
    assert is_refused(7, urgency=0, produced=0)
    assert not is_refused(7, urgency=0, produced=4)


def test_a_route_without_an_objective_refuses_nothing():
    free = Route("r", "h", "/", ROUTE.kind, ROUTE.shares, 39.0, 0.0)
    assert refusal_retry_after_s(99.0, free, SETTINGS, random.Random(1)) is None
