"""Check that servers got no more requests than the rates that they named."""

from collections.abc import Iterable, Sequence

from attrs import frozen

from boragespring.faults import Breach
from boragespring.platform import names
from boragespring.platform.emulator import EmulatedPlatform
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import CallRecord

__all__ = [
    "NamedRate",
    "check_named_rates",
    "most_in_a_window",
    "undisturbed_arrivals_s",
]

#: Time within which all gateways in touch keep a rate.
CONTACT_S = 3.0
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


@frozen
class NamedRate:
    """Rate that a server named in its replies for some time.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    rate_per_s : float
        Requests per second that it took from all gateways together.
    from_s, to_s : float
        Monotonic times in seconds between which it named the rate.
    """

    server_id: str
    rate_per_s: float
    from_s: float
    to_s: float


def check_named_rates(
    records: Sequence[CallRecord],
    platform: EmulatedPlatform,
    named_rates: Iterable[NamedRate],
) -> list[Breach]:
    """Return a breach for each rate that was exceeded.

    Parameters
    ----------
    records : sequence of CallRecord
        What the callers received.
    platform : EmulatedPlatform
        Platform whose services recorded their requests.
    named_rates : iterable of NamedRate
        Rates that servers named during the run.
    """
    return [
        Breach(SoakBreachKind.OVER_RATE, "", f"{most} in {WINDOW_S} s at {named}")
        for named in named_rates
        if (most := most_in_a_window(_arrivals_s(records, platform, named), WINDOW_S))
        > EXCESS_FACTOR * named.rate_per_s * WINDOW_S + EXCESS_REQUESTS
    ]


def _arrivals_s(
    records: Sequence[CallRecord], platform: EmulatedPlatform, named: NamedRate
) -> list[float]:
    from_s = named.from_s + CONTACT_S
    return undisturbed_arrivals_s(
        records, platform, named.server_id, (from_s, named.to_s)
    )


def undisturbed_arrivals_s(
    records: Sequence[CallRecord],
    platform: EmulatedPlatform,
    server_id: str,
    span_s: tuple[float, float],
) -> list[float]:
    """Return when a server got requests from gateways that nothing had disturbed.

    Parameters
    ----------
    records : sequence of CallRecord
        What the callers received.
    platform : EmulatedPlatform
        Platform whose services recorded their requests.
    server_id : str
        Identifier of the server.
    span_s : tuple of float
        Monotonic times in seconds between which requests count.
    """
    service = platform.services[server_id]
    gateways = {record.request_id: record.gateway for record in records}
    request_id = names.REQUEST_ID.lower()
    from_s, to_s = span_s
    return [
        at_s
        for at_s, received in zip(service.received_at_s, service.received, strict=True)
        if from_s <= at_s < to_s
        and (gateway := gateways.get(received.headers.get(request_id, "")))
        and gateway.was_undisturbed(at_s - CONTACT_S, at_s)
    ]


def most_in_a_window(times_s: Sequence[float], window_s: float) -> int:
    """Return the largest number of times that lie within a window in seconds."""
    counts = (
        sum(begin <= at_s < begin + window_s for at_s in times_s) for begin in times_s
    )
    return max(counts, default=0)
