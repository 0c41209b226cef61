"""Check that servers got no more requests than the rates that they named."""

from collections.abc import Iterable, Sequence

from attrs import frozen

from boragespring.faults import Breach
from boragespring.platform import names
from boragespring.platform.emulator import EmulatedPlatform
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import CallRecord

__all__ = ["NamedRate", "check_named_rates"]

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
        if (most := _most_in_a_window(_counted_times_s(records, platform, named)))
        > EXCESS_FACTOR * named.rate_per_s * WINDOW_S + EXCESS_REQUESTS
    ]


def _counted_times_s(
    records: Sequence[CallRecord], platform: EmulatedPlatform, named: NamedRate
) -> list[float]:
    """Return the arrivals from gateways that nothing had disturbed, in order."""
    service = platform.services[named.server_id]
    gateways = {record.request_id: record.gateway for record in records}
    request_id = names.REQUEST_ID.lower()
    return [
        at_s
        for at_s, received in zip(service.received_at_s, service.received, strict=True)
        if named.from_s + CONTACT_S <= at_s < named.to_s
        and (gateway := gateways.get(received.headers.get(request_id, "")))
        and gateway.was_undisturbed(at_s - CONTACT_S, at_s)
    ]


def _most_in_a_window(times_s: Sequence[float]) -> int:
    counts = (
        sum(begin <= at_s < begin + WINDOW_S for at_s in times_s) for begin in times_s
    )
    return max(counts, default=0)
