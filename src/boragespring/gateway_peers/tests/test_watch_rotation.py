"""Bounds on the age of snapshots and on the rate of calls to the store."""

import pytest

from boragespring.gateway_peers import GatewayLocation, WatchRotation


def make_rotations(count, zones=3):
    locations = [
        GatewayLocation(f"gateway-{number:03}", f"zone-{number % zones}")
        for number in range(count)
    ]
    return [WatchRotation(location, lambda: locations) for location in locations]


def watchers(rotations):
    return [rotation for rotation in rotations if rotation.is_watcher()]


def timeout_times_s(rotation, until_s):
    """Return the times at which one gateway's watches end after a change."""
    time_s, times_s = rotation.next_timeout_s(True), []
    while time_s < until_s:
        times_s.append(time_s)
        time_s += rotation.next_timeout_s(False)
    return times_s


@pytest.mark.parametrize("count", [1, 2, 5, 28, 400])
def test_snapshot_age_stays_below_limit_after_change(count):
    rotations = watchers(make_rotations(count))
    until_s = 3 * rotations[0].next_timeout_s(False)
    times_s = sorted(
        t for rotation in rotations for t in timeout_times_s(rotation, until_s)
    )
    gaps_s = [b - a for a, b in zip([0.0, *times_s], times_s, strict=False)]
    limit_s = rotations[0].snapshot_age_limit_s()
    assert max(gaps_s) < limit_s
    # The loss of one gateway must not look like an outage of the store.
    others_s = sorted(
        t
        for rotation in rotations[1:]
        for t in timeout_times_s(rotation, until_s)
        if count > 2
    )
    gaps_s = [b - a for a, b in zip([0.0, *others_s], others_s, strict=False)]
    assert max(gaps_s, default=0.0) < limit_s


def test_outage_is_detected_soon_by_several_gateways():
    assert all(
        make_rotations(count)[0].snapshot_age_limit_s() < 1.6
        for count in (4, 5, 28, 400)
    )


def test_call_rate_is_bounded_for_many_gateways():
    def calls_per_s(count):
        rotations = watchers(make_rotations(count))
        return len(rotations) / rotations[0].next_timeout_s(False)

    assert calls_per_s(5) <= 2.5
    assert calls_per_s(400) <= 3.0


def test_few_gateways_of_every_zone_watch():
    assert len(watchers(make_rotations(5))) == 5
    assert len(watchers(make_rotations(28))) == 6
    assert len(watchers(make_rotations(68, zones=5))) == 6
    assert len(watchers(make_rotations(400, zones=13))) == 13
    # A zone that is partitioned from the others has watchers of its own.
    isolated = [GatewayLocation(f"g{number}", "zone-0") for number in range(9)]
    rotations = [WatchRotation(location, lambda: isolated) for location in isolated]
    assert len(watchers(rotations)) == 2
