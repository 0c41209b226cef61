"""Check what the servers of drained zones, and cold servers, got."""

from collections.abc import Iterable, Sequence

from attrs import frozen

from boragespring.faults import Breach
from boragespring.platform.emulator import EmulatedPlatform
from boragespring.platform.emulator.catalog import COLD_RATE_PER_S
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import CallRecord
from boragespring.platform.soak.rate_verdict import (
    most_in_a_window,
    undisturbed_arrivals_s,
)

__all__ = ["ColdTime", "ZoneDrain", "check_cold_times", "check_drains"]

#: Time within which all gateways in touch apply a drain.
DRAIN_BOUND_S = 3.0
#: Time within which all gateways in touch know that a server is cold.
COLD_KNOWN_S = 1.5
#: What a cold server bears within one second, beside its rate.
COLD_EXCESS_FACTOR = 1.5
COLD_EXCESS_REQUESTS = 5
WINDOW_S = 1.0


@frozen
class ZoneDrain:
    """Time for which a zone with one server was drained.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    from_s, to_s : float
        Monotonic times in seconds between which the zone was drained.
    """

    server_id: str
    from_s: float
    to_s: float


@frozen
class ColdTime:
    """Time for which a server was cold.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    from_s, to_s : float
        Monotonic times in seconds between which it was cold.
    """

    server_id: str
    from_s: float
    to_s: float


def check_drains(
    records: Sequence[CallRecord],
    platform: EmulatedPlatform,
    drains: Iterable[ZoneDrain],
) -> list[Breach]:
    """Return a breach for each drain in which its server got requests."""
    return [
        Breach(SoakBreachKind.SENT_TO_DRAINED, "", f"{len(arrivals_s)} in {drain}")
        for drain in drains
        if (
            arrivals_s := undisturbed_arrivals_s(
                records,
                platform,
                drain.server_id,
                (drain.from_s + DRAIN_BOUND_S, drain.to_s),
            )
        )
    ]


def check_cold_times(
    records: Sequence[CallRecord],
    platform: EmulatedPlatform,
    cold_times: Iterable[ColdTime],
) -> list[Breach]:
    """Return a breach for each cold server that got more than it takes."""
    most_allowed = COLD_EXCESS_FACTOR * COLD_RATE_PER_S + COLD_EXCESS_REQUESTS
    counts = ((cold, _most_while_cold(records, platform, cold)) for cold in cold_times)
    return [
        Breach(SoakBreachKind.OVER_COLD_RATE, "", f"{most} in {WINDOW_S} s at {cold}")
        for cold, most in counts
        if most > most_allowed
    ]


def _most_while_cold(
    records: Sequence[CallRecord], platform: EmulatedPlatform, cold: ColdTime
) -> int:
    span_s = (cold.from_s + COLD_KNOWN_S, cold.to_s)
    arrivals_s = undisturbed_arrivals_s(records, platform, cold.server_id, span_s)
    return most_in_a_window(arrivals_s, WINDOW_S)
