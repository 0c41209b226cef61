"""Check what became of requests that crash their servers."""

from collections.abc import Iterable, Sequence

from boragespring.faults import Breach
from boragespring.forwarding import RefusalReason
from boragespring.platform import names
from boragespring.platform.emulator import EmulatedPlatform
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import (
    CRASHING_PART,
    DEEP_PART,
    CallRecord,
    RequestKind,
)

__all__ = ["check_crashes"]

#: Time within which all gateways in touch act on the crash that is the limit.
CONTACT_S = 3.0
#: Number of crashes after which requests with one part, or the same request, must not
#: be sent on.
CRASHES_BY_PART_MAX = 5
CRASHES_BY_REQUEST_MAX = 3
SENT_ON_MAX = 3
WRONGLY_REFUSED_SHARE_MAX = 0.5


def check_crashes(
    records: Sequence[CallRecord], platform: EmulatedPlatform
) -> list[Breach]:
    """Return the guarantees about requests that crash servers that a run violated.

    Parameters
    ----------
    records : sequence of CallRecord
        What the callers received.
    platform : EmulatedPlatform
        Platform whose servers recorded their requests and crashes.
    """
    if not platform.crash_times_s:
        return []
    return [
        *_check_sent_on(
            records,
            _arrivals_with_part(records, platform),
            platform.part_crash_times_s,
            CRASHES_BY_PART_MAX,
        ),
        *_check_sent_on(
            records,
            platform.crashing.arrivals_s,
            platform.crashing.crash_times_s,
            CRASHES_BY_REQUEST_MAX,
        ),
        *_check_sound(records, min(platform.crash_times_s)),
    ]


def _has_crashing_part(record: CallRecord) -> bool:
    """Return whether a prompt has a part that crashes engines."""
    return not {CRASHING_PART, DEEP_PART}.isdisjoint(record.parts)


def _arrivals_with_part(
    records: Sequence[CallRecord], platform: EmulatedPlatform
) -> list[tuple[float, str]]:
    with_part = {record.request_id for record in records if _has_crashing_part(record)}
    return [
        (at_s, request_id)
        for engine in platform.engines.values()
        for at_s, headers in zip(
            engine.received_at_s, engine.received_headers, strict=True
        )
        if (request_id := headers[names.REQUEST_ID.lower()]) in with_part
    ]


def _check_sent_on(
    records: Sequence[CallRecord],
    arrivals_s: Iterable[tuple[float, str]],
    crash_times_s: Sequence[float],
    crashes_max: int,
) -> Iterable[Breach]:
    if len(crash_times_s) < crashes_max:
        return
    bound_s = sorted(crash_times_s)[crashes_max - 1] + CONTACT_S
    by_id = {record.request_id: record for record in records}
    in_touch = [
        by_id[request_id]
        for at_s, request_id in arrivals_s
        if at_s > bound_s
        and by_id[request_id].gateway.was_undisturbed(at_s - CONTACT_S, at_s)
    ]
    if len(in_touch) > SENT_ON_MAX:
        detail = f"{len(in_touch)} after {len(crash_times_s)} crashes"
        yield Breach(SoakBreachKind.SENT_ON, in_touch[0].request_id, detail)


def _check_sound(
    records: Sequence[CallRecord], first_crash_s: float
) -> Iterable[Breach]:
    sound = [
        record
        for record in records
        if not _has_crashing_part(record)
        and record.request_body is None
        and record.sent_at_s > first_crash_s
    ]
    reason = RefusalReason.QUARANTINED.value.encode()
    refused = [record for record in sound if record.body.startswith(reason)]
    calls = [record for record in refused if record.kind is not RequestKind.DRAFT]
    drafts = [record for record in sound if record.kind is RequestKind.DRAFT]
    # Prompts have parts in common; no other request is the same as another one.
    if calls or len(refused) > WRONGLY_REFUSED_SHARE_MAX * len(drafts):
        detail = f"{len(refused)} of {len(drafts)} streams, {len(calls)} calls"
        yield Breach(SoakBreachKind.WRONGLY_REFUSED, refused[0].request_id, detail)
