"""Check what servers got that had asked gateways for a pause."""

from collections.abc import Iterable, Mapping, Sequence

from boragespring.faults import Breach
from boragespring.platform import names
from boragespring.platform.emulator import EmulatedPlatform, EmulatedService
from boragespring.platform.emulator.service import PauseRequest
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import CallRecord

__all__ = ["check_pauses"]

#: Time from the reply on in which further requests may be on their way.
ON_THEIR_WAY_S = 0.5
IN_PAUSE_MAX = 2


def check_pauses(
    records: Sequence[CallRecord], platform: EmulatedPlatform
) -> list[Breach]:
    """Return the pauses of servers that gateways did not keep to.

    Parameters
    ----------
    records : sequence of CallRecord
        What the callers received.
    platform : EmulatedPlatform
        Platform whose servers recorded their requests and the pauses they asked for.
    """
    by_id = {record.request_id: record for record in records}
    counted = [
        (pause.request_id, len(list(_sent_in_pause(service, pause, by_id))))
        for service in platform.services.values()
        for pause in service.pauses
    ]
    return [
        Breach(SoakBreachKind.SENT_IN_PAUSE, request_id, f"{count} requests")
        for request_id, count in counted
        if count > IN_PAUSE_MAX
    ]


def _sent_in_pause(
    service: EmulatedService, pause: PauseRequest, by_id: Mapping[str, CallRecord]
) -> Iterable[CallRecord]:
    """Yield what a gateway sent in a pause, unless it was disturbed since."""
    gateway = by_id[pause.request_id].gateway
    for at_s, request in zip(service.received_at_s, service.received, strict=True):
        record = by_id[request.headers[names.REQUEST_ID.lower()]]
        if (
            record.gateway is gateway
            and pause.at_s + ON_THEIR_WAY_S < at_s < pause.at_s + pause.pause_s
            and gateway.was_undisturbed(pause.at_s, at_s)
        ):
            yield record
