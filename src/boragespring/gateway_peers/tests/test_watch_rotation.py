"""Watches of several gateways: how old a copy gets, and how often they ask."""

import pytest

from boragespring.gateway_peers import GatewayLocation, WatchRotation


def fleet(count, zones=3):
    places = [
        GatewayLocation(f"gateway-{number:03}", f"zone-{number % zones}")
        for number in range(count)
    ]
    return [WatchRotation(place, lambda: places) for place in places]


def watching(gateways):
    return [one for one in gateways if one.is_watcher()]


def answers_s(turns, until_s):
    """Return the times at which one gateway's watches end after a change."""
    time_s, times_s = turns.next_timeout_s(True), []
    while time_s < until_s:
        times_s.append(time_s)
        time_s += turns.next_timeout_s(False)
    return times_s


@pytest.mark.parametrize("count", [1, 2, 5, 28, 400])
def test_copies_stay_younger_than_the_limit_after_a_change(count):
    gateways = watching(fleet(count))
    until_s = 3 * gateways[0].next_timeout_s(False)
    times_s = sorted(t for one in gateways for t in answers_s(one, until_s))
    gaps_s = [b - a for a, b in zip([0.0, *times_s], times_s, strict=False)]
    limit_s = gateways[0].snapshot_age_limit_s()
    assert max(gaps_s) < limit_s
    # With one gateway gone the others are not misled either.
    others_s = sorted(
        t for one in gateways[1:] for t in answers_s(one, until_s) if count > 2
    )
    gaps_s = [b - a for a, b in zip([0.0, *others_s], others_s, strict=False)]
    assert max(gaps_s, default=0.0) < limit_s


def test_several_gateways_notice_an_outage_within_a_short_notice():
    assert all(
        fleet(count)[0].snapshot_age_limit_s() < 1.6 for count in (4, 5, 28, 400)
    )


def test_the_store_is_asked_no_more_often_by_many():
    def calls_per_s(count):
        gateways = watching(fleet(count))
        return len(gateways) / gateways[0].next_timeout_s(False)

    assert calls_per_s(5) <= 2.5
    assert calls_per_s(400) <= 3.0


def test_few_gateways_of_each_zone_watch_and_the_same_for_all():
    assert len(watching(fleet(5))) == 5
    assert len(watching(fleet(28))) == 6
    assert len(watching(fleet(400, zones=13))) == 26
    # A zone that is parted from the others has watchers of its own.
    alone = [GatewayLocation(f"g{number}", "zone-0") for number in range(9)]
    parted = [WatchRotation(place, lambda: alone) for place in alone]
    assert len(watching(parted)) == 2
