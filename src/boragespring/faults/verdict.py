"""Check the guarantees of a fault run from caller records and server ledgers."""

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum

from attrs import frozen

from boragespring.faults.callers import Attempt, CallerRecord, Ending, RequestKind
from boragespring.standins import EngineStandIn, ServiceStandIn

__all__ = ["Breach", "BreachKind", "Ledgers", "check_guarantees", "read_ledgers"]

GENERATION_KINDS = (RequestKind.STREAM, RequestKind.BUFFERED)


class BreachKind(StrEnum):
    """Kind of violated guarantee."""

    NO_ANSWER = "no_answer"
    INCOMPLETE = "incomplete"
    TOKENS_WRONG = "tokens_wrong"
    TWO_GENERATIONS = "two_generations"
    RAN_TWICE = "ran_twice"
    RAN_THOUGH_REFUSED = "ran_though_refused"
    ANSWERED_UNRUN = "answered_unrun"
    PLANNED_STOP_CUT_OFF = "planned_stop_cut_off"
    LEFT_RUNNING = "left_running"


@frozen
class Breach:
    """Violated guarantee.

    Parameters
    ----------
    kind : StrEnum
        Kind of violated guarantee.
    marker : str
        Marker or ID of the affected request; empty for the whole deployment.
    detail : str
        Observed behavior.
    """

    kind: StrEnum
    marker: str
    detail: str


@frozen
class Ledgers:
    """Generations and calls that the backend servers ran.

    Parameters
    ----------
    prompts : tuple of str
        Prompts of all generations.
    calls_by_marker : Counter of str
        Number of calls by the marker of their request.
    request_ids : frozenset of str
        Request IDs of all calls; each is the marker of an attempt.
    """

    prompts: tuple[str, ...]
    calls_by_marker: Counter[str]
    request_ids: frozenset[str]

    def contains(self, attempt: Attempt) -> bool:
        """Return whether an attempt ran on any server."""
        return attempt.marker in self.request_ids or any(
            attempt.marker in prompt for prompt in self.prompts
        )


def read_ledgers(
    engines: Iterable[EngineStandIn], services: Iterable[ServiceStandIn]
) -> Ledgers:
    """Return the ledgers of all backend servers."""
    calls = [call for service in services for call in service.ledger]
    return Ledgers(
        tuple(run.prompt for engine in engines for run in engine.ledger),
        Counter(call.body for call in calls),
        frozenset(call.request_id for call in calls),
    )


def check_guarantees(
    records: Sequence[CallerRecord], ledgers: Ledgers, is_planned_only: bool
) -> list[Breach]:
    """Return all guarantees that a run violated.

    Parameters
    ----------
    records : sequence of CallerRecord
        What the callers received.
    ledgers : Ledgers
        What the backend servers ran.
    is_planned_only : bool
        Whether all faults of the run were planned stops.
    """
    breaches: list[Breach] = []
    for record in records:
        breaches.extend(_check_ending(record, is_planned_only))
        breaches.extend(_check_tokens(record))
        breaches.extend(_check_refusals(record, ledgers))
    breaches.extend(_check_runs(records, ledgers))
    return breaches


def _check_ending(record: CallerRecord, is_planned_only: bool) -> Iterable[Breach]:
    marker = record.plan.marker
    was_cut = record.ending is Ending.CUT and record.plan.retries
    if record.ending is Ending.SILENT or was_cut:
        yield Breach(BreachKind.NO_ANSWER, marker, _describe(record))
    if not is_planned_only:
        return
    for attempt in record.attempts:
        was_cut = attempt.ending is Ending.CUT
        if was_cut or (attempt.ending is Ending.ERROR and not attempt.not_run):
            yield Breach(BreachKind.PLANNED_STOP_CUT_OFF, marker, _describe(record))


def _check_tokens(record: CallerRecord) -> Iterable[Breach]:
    plan = record.plan
    if plan.kind not in GENERATION_KINDS:
        return
    if len({generation for generation, _ in record.tokens}) > 1:
        yield Breach(BreachKind.TWO_GENERATIONS, plan.marker, _describe(record))
    indexes = [index for _, index in record.tokens]
    if indexes != list(range(len(indexes))):
        yield Breach(BreachKind.TOKENS_WRONG, plan.marker, f"{indexes}")
    if record.ending is not Ending.COMPLETE:
        return
    if not len(indexes) == plan.tokens == record.reported_tokens:
        detail = f"{len(indexes)} of {plan.tokens}, reported {record.reported_tokens}"
        yield Breach(BreachKind.INCOMPLETE, plan.marker, detail)


def _check_refusals(record: CallerRecord, ledgers: Ledgers) -> Iterable[Breach]:
    for attempt in record.attempts:
        if attempt.not_run and ledgers.contains(attempt):
            yield Breach(
                BreachKind.RAN_THOUGH_REFUSED, attempt.marker, _describe(record)
            )


def _check_runs(records: Sequence[CallerRecord], ledgers: Ledgers) -> Iterable[Breach]:
    for record in records:
        plan = record.plan
        if plan.kind in GENERATION_KINDS:
            continue
        runs = ledgers.calls_by_marker[plan.marker]
        if runs > 1:
            yield Breach(BreachKind.RAN_TWICE, plan.marker, f"{runs} runs")
        if runs == 0 and record.ending is Ending.COMPLETE:
            yield Breach(BreachKind.ANSWERED_UNRUN, plan.marker, _describe(record))


def _describe(record: CallerRecord) -> str:
    attempts = [
        f"{attempt.ending}/{attempt.status}/{attempt.code}/{attempt.not_run}"
        for attempt in record.attempts
    ]
    last = record.attempts[-1].text if record.ending is Ending.ERROR else ""
    return f"{record.plan.kind} {' '.join(attempts)} {last}".rstrip()
