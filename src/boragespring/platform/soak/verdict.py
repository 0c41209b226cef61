"""Check the guarantees of a soak run from caller and server records."""

from collections import Counter
from collections.abc import Iterable, Sequence

from attrs import frozen

from boragespring.faults import Breach
from boragespring.platform import names
from boragespring.platform.emulator import EmulatedPlatform, EmulatedService
from boragespring.platform.emulator.unsound_replies import UNSOUND_FIELD
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import CallRecord, RequestKind
from boragespring.platform.soak.crash_verdict import check_crashes
from boragespring.platform.soak.pause_verdict import check_pauses

__all__ = ["KeyRemoval", "SoakBreachKind", "check_guarantees"]

OK, UNAUTHORIZED = 200, 401
#: Statuses that guarantee that a request has not run and will not run.
NOT_RUN = frozenset((408, 421, 429, 503))
IDEMPOTENT_RUNS_MAX = 2
#: Time after which a gateway sends nothing to a server that stated its leaving.
DRAIN_DELAY_S = 2.0
#: Time in seconds after a request was sent in which its connection may close unread.
#: The rule on planned stops counts such a request only if it reaches a server.
CROSSING_S = 0.2


@frozen
class KeyRemoval:
    """Removal of an API key and the time by which all gateways apply it.

    Parameters
    ----------
    key : str
        API key.
    removed_at_s : float
        Monotonic time of the removal.
    effective_at_s : float
        Monotonic time from which no request with the key is allowed to run.
        Infinite if a fault of the run may delay the removal.
    """

    key: str
    removed_at_s: float
    effective_at_s: float


def check_guarantees(
    records: Sequence[CallRecord],
    platform: EmulatedPlatform,
    removals: Sequence[KeyRemoval],
    is_planned: bool,
) -> list[Breach]:
    """Return all guarantees that a run violated.

    Parameters
    ----------
    records : sequence of CallRecord
        What the callers received.
    platform : EmulatedPlatform
        Platform whose servers recorded the requests that they ran.
    removals : sequence of KeyRemoval
        API keys that were removed during the run.
    is_planned : bool
        Whether the run had planned operations only.
    """
    runs = Counter(
        [
            *(run for service in platform.services.values() for run in service.runs),
            *(
                run
                for engine in platform.engines.values()
                for run in engine.started_run_ids
            ),
        ]
    )
    bodies = {service.body for service in platform.services.values()}
    sent_to_leaving = [
        Breach(SoakBreachKind.SENT_TO_LEAVING, record.request_id, _describe(record))
        for service in platform.services.values()
        if service.states_leaving
        for record in _records_sent_to_leaving(records, service)
    ]
    crashes = check_crashes(records, platform)
    pauses = check_pauses(records, platform)
    return (
        sent_to_leaving
        + crashes
        + pauses
        + [
            Breach(kind, record.request_id, f"{detail}; {_describe(record)}")
            for record in records
            for kind, detail in (
                *_check_runs(record, runs[record.request_id]),
                *_check_reply(record, bodies),
                *_check_key(record, removals, runs[record.request_id]),
                *_check_end(record, is_planned, runs[record.request_id]),
            )
        ]
    )


Finding = tuple[SoakBreachKind, str]


def _check_runs(record: CallRecord, runs: int) -> Iterable[Finding]:
    runs_max = IDEMPOTENT_RUNS_MAX if record.kind is RequestKind.LOOK else 1
    if runs > runs_max:
        yield SoakBreachKind.RAN_TOO_OFTEN, f"{runs} runs"
    if record.status in NOT_RUN and runs:
        yield SoakBreachKind.RAN_THOUGH_REFUSED, f"{runs} runs"


def _check_reply(record: CallRecord, bodies: set[bytes]) -> Iterable[Finding]:
    if UNSOUND_FIELD in record.headers:
        yield SoakBreachKind.UNSOUND_ANSWER, f"reply {record.headers[UNSOUND_FIELD]}"
    if record.status != OK:
        return
    if record.reply_request_id != record.request_id:
        yield SoakBreachKind.WRONG_ANSWER, f"answer to {record.reply_request_id!r}"
    if record.kind is not RequestKind.DRAFT:
        if record.is_complete and record.body not in bodies:
            yield SoakBreachKind.WRONG_ANSWER, f"{record.body[:60]!r}"
        return
    numbers = [
        int(line[4:])
        for line in record.body.split(b"\n")[:-1]
        if line.startswith(b"id: ")
    ]
    if numbers != list(range(1, len(numbers) + 1)):
        yield SoakBreachKind.WRONG_EVENTS, f"{numbers[:20]}"
    if record.is_complete and len(numbers) != record.expected_events:
        yield SoakBreachKind.WRONG_EVENTS, f"{len(numbers)} of {record.expected_events}"


def _check_key(
    record: CallRecord, removals: Sequence[KeyRemoval], runs: int
) -> Iterable[Finding]:
    removed = [removal for removal in removals if removal.key == record.key]
    if any(record.sent_at_s > removal.effective_at_s for removal in removed) and runs:
        yield SoakBreachKind.SERVED_REMOVED_KEY, f"{runs} runs"
    if record.status == UNAUTHORIZED and not any(
        record.ended_at_s > removal.removed_at_s for removal in removed
    ):
        yield SoakBreachKind.DENIED, "its API key was valid"


def _records_sent_to_leaving(
    records: Sequence[CallRecord], service: EmulatedService
) -> Iterable[CallRecord]:
    """Return requests that a gateway sent though it knew that the server leaves.

    A gateway knows from the first reply of the server that it passed on; a restart of
    the gateway excuses it.
    """
    known_at_s: dict[tuple[str, int], float] = {}
    for record in records:
        if names.SERVER_LEAVING in record.headers and record.body == service.body:
            process = (record.gateway.name, record.gateway_start_count)
            known = known_at_s.get(process, float("inf"))
            known_at_s[process] = min(known, record.ended_at_s)
    runs = set(service.runs)
    for record in records:
        process = (record.gateway.name, record.gateway_start_count)
        bound_s = known_at_s.get(process, float("inf")) + DRAIN_DELAY_S
        if record.request_id in runs and record.sent_at_s > bound_s:
            yield record


def _check_end(record: CallRecord, is_planned: bool, runs: int) -> Iterable[Finding]:
    if not record.is_ended:
        yield SoakBreachKind.NO_END, "no end before the timeout"
    took_s = record.ended_at_s - record.sent_at_s
    if not runs and record.status == 0 and took_s <= CROSSING_S:
        return
    if (
        is_planned
        and not record.disconnects_early
        and record.is_ended
        and not record.is_complete
        and not record.met_no_gateway
    ):
        what = "connection refused" if record.is_connection_refused else "broken off"
        yield SoakBreachKind.CUT_BY_PLANNED_WORK, f"{what}, status {record.status}"


def _describe(record: CallRecord) -> str:
    took_s = record.ended_at_s - record.sent_at_s
    return (
        f"{record.kind} {record.gateway.name} start {record.gateway_start_count} "
        f"status {record.status} "
        f"disconnects early {record.disconnects_early} "
        f"took {took_s:.2f} s, {len(record.body)} bytes"
    )
