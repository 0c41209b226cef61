"""Tests of refusing generations when the memory of the engines is full."""

import random

from boragespring.catalog import EngineProfile, RequestKind, Route, ServiceShare
from boragespring.forwarding.overload import (
    OverloadSettings,
    expected_wait_s,
    refusal_retry_after_s,
)
from boragespring.forwarding.tests.test_placement import add_runs, server

ENGINE = EngineProfile(slots=24, memory_tokens=22_000)
SETTINGS = OverloadSettings()
ROUTE = Route(
    "r", "h", "/", RequestKind.STREAMING, (ServiceShare("m", 1.0),), 39.0, 1.8
)


def wait_s(runs, urgency=1, produced=4):
    engine = server("engine")
    add_runs(engine, runs, 3000, 700, produced)
    return expected_wait_s(engine, ENGINE, urgency, SETTINGS)


def is_refused(*args, **options):
    expected_s = wait_s(*args, **options)
    return (
        refusal_retry_after_s(expected_s, ROUTE, SETTINGS, random.Random(1)) is not None
    )


def test_generations_are_accepted_while_memory_is_free():
    assert not any(is_refused(runs) for runs in range(5))
    assert wait_s(0) < 0.3


def test_refusal_of_a_full_engine_has_a_random_retry_delay():
    assert is_refused(7)
    delays_s = {
        refusal_retry_after_s(wait_s(7), ROUTE, SETTINGS, random.Random(seed))
        for seed in range(20)
    }
    assert len(delays_s) > 10
    assert all(
        SETTINGS.retry_min_s <= delay_s <= SETTINGS.retry_max_s for delay_s in delays_s
    )


def test_urgent_requests_are_accepted_at_a_higher_load():
    assert is_refused(7, urgency=1)
    assert not is_refused(7, urgency=0)


def test_pending_prefill_counts_towards_the_wait():
    assert is_refused(7, urgency=0, produced=0)
    assert not is_refused(7, urgency=0, produced=4)


def test_route_without_an_objective_never_refuses():
    free = Route("r", "h", "/", ROUTE.kind, ROUTE.shares, 39.0, 0.0)
    assert refusal_retry_after_s(99.0, free, SETTINGS, random.Random(1)) is None
