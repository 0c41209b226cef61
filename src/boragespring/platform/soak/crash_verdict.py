"""Check what became of requests with a part that crashes engines."""

from collections.abc import Iterable, Sequence

from boragespring.faults import Breach
from boragespring.forwarding import RefusalReason
from boragespring.platform import names
from boragespring.platform.emulator import EmulatedPlatform
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import CRASHING_PART, CallRecord, RequestKind

__all__ = ["check_crashing_prompts"]

#: Time within which all gateways in touch act on the crash that is the limit.
CONTACT_S = 3.0
CRASHES_MAX = 5
SENT_ON_MAX = 3
WRONGLY_REFUSED_SHARE_MAX = 0.5


def check_crashing_prompts(
    records: Sequence[CallRecord], platform: EmulatedPlatform
) -> list[Breach]:
    """Return the guarantees about prompts that crash engines that a run violated.

    Parameters
    ----------
    records : sequence of CallRecord
        What the callers received.
    platform : EmulatedPlatform
        Platform whose engines recorded their requests and crashes.
    """
    crash_times_s = sorted(platform.crash_times_s)
    if not crash_times_s:
        return []
    return [
        *_check_sent_on(records, platform, crash_times_s),
        *_check_sound(records, crash_times_s[0]),
    ]


def _check_sent_on(
    records: Sequence[CallRecord],
    platform: EmulatedPlatform,
    crash_times_s: Sequence[float],
) -> Iterable[Breach]:
    if len(crash_times_s) < CRASHES_MAX:
        return
    bound_s = crash_times_s[CRASHES_MAX - 1] + CONTACT_S
    crashing = {
        record.request_id: record for record in records if CRASHING_PART in record.parts
    }
    sent_on = [
        (at_s, crashing[request_id])
        for engine in platform.engines.values()
        for at_s, headers in zip(
            engine.received_at_s, engine.received_headers, strict=True
        )
        if (request_id := headers[names.REQUEST_ID.lower()]) in crashing
        and at_s > bound_s
    ]
    in_touch = [
        record
        for at_s, record in sent_on
        if record.gateway.was_undisturbed(at_s - CONTACT_S, at_s)
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
        if record.kind is RequestKind.DRAFT
        and CRASHING_PART not in record.parts
        and record.sent_at_s > first_crash_s
    ]
    reason = RefusalReason.QUARANTINED.value.encode()
    refused = [record for record in sound if record.body.startswith(reason)]
    if len(refused) > WRONGLY_REFUSED_SHARE_MAX * len(sound):
        detail = f"{len(refused)} of {len(sound)}"
        yield Breach(SoakBreachKind.WRONGLY_REFUSED, refused[0].request_id, detail)
