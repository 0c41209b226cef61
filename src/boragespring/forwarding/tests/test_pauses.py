"""Servers that asked for a pause, and when callers shall return."""

import random

import pytest

from boragespring.forwarding.pauses import (
    RETURN_SPREAD,
    first_return_s,
    spread_return_s,
)
from boragespring.forwarding.placement import ServiceCall
from boragespring.forwarding.tests.test_placement import NOW_S, choose, server


def paused(name, for_s):
    target = server(name)
    target.paused_until_s = NOW_S + for_s
    return target


def test_paused_server_is_not_chosen_even_if_it_is_the_only_one():
    assert choose(ServiceCall(), [paused("one", 2.0)]) is None
    assert choose(ServiceCall(), [paused("one", 2.0), server("two")]).server_id == "two"
    assert choose(ServiceCall(), [paused("one", -0.1)]).server_id == "one"


@pytest.mark.parametrize(
    ("servers", "expected_s"),
    [
        ([], None),
        ([server("one"), paused("two", 5.0)], None),
        ([paused("one", 7.0), paused("two", 5.0)], 5.0),
    ],
)
def test_first_return_is_that_of_the_first_paused_server(servers, expected_s):
    assert first_return_s(servers, NOW_S) == expected_s


def test_returns_are_spread_and_never_early():
    rng = random.Random(1)
    delays_s = [spread_return_s(2.0, rng) for _ in range(200)]
    assert 2.0 <= min(delays_s) < max(delays_s) <= 2.0 * (1.0 + RETURN_SPREAD)
    assert max(delays_s) - min(delays_s) > 1.8 * RETURN_SPREAD


def test_the_last_server_that_accepts_requests_is_found_among_many():
    servers = [paused(f"paused-{number}", 5.0) for number in range(60)]
    servers += [server("free")]
    for _ in range(20):
        assert choose(ServiceCall(), servers).server_id == "free"
