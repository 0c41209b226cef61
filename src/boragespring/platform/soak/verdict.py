"""Verdict over a soak, from what callers received and servers ran."""

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum

from attrs import frozen

from boragespring.faults import Breach
from boragespring.platform.emulator import EmulatedPlatform
from boragespring.platform.soak.callers import Received, RequestKind

__all__ = ["KeyRemoval", "SoakBreachKind", "judge"]

OK, UNAUTHORIZED = 200, 401
#: Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
IDEMPOTENT_RUNS_MAX = 2


class SoakBreachKind(StrEnum):
    """Promise that was broken."""

    NO_END = "no_end"
    WRONG_ANSWER = "wrong_answer"
    WRONG_EVENTS = "wrong_events"
    RAN_TOO_OFTEN = "ran_too_often"
    RAN_THOUGH_REFUSED = "ran_though_refused"
    SERVED_REMOVED_KEY = "served_removed_key"
    DENIED = "denied"
    CUT_BY_PLANNED_WORK = "cut_by_planned_work"
    NOT_READY = "not_ready_after_faults"
    EXIT_CODE = "exit_code"


@frozen
class KeyRemoval:
    """A key that was taken away, and when all gateways had to know.

    Parameters
    ----------
    key : str
        The key.
    removed_at_s : float
        Monotonic time of the change.
    known_at_s : float
        From then on no request with the key may run; infinite where the store
        could not be heard.
    """

    key: str
    removed_at_s: float
    known_at_s: float


def judge(
    received: Sequence[Received],
    platform: EmulatedPlatform,
    removals: Sequence[KeyRemoval],
    is_planned: bool,
) -> list[Breach]:
    """Return every promise that a run broke."""
    runs = Counter(
        [
            *(run for one in platform.services.values() for run in one.runs),
            *(run for one in platform.engines.values() for run in one.started_run_ids),
        ]
    )
    bodies = {one.body for one in platform.services.values()}
    return [
        Breach(kind, one.request_id, f"{detail}; {_describe(one)}")
        for one in received
        for kind, detail in (
            *_judge_runs(one, runs[one.request_id]),
            *_judge_answer(one, bodies),
            *_judge_key(one, removals, runs[one.request_id]),
            *_judge_end(one, is_planned),
        )
    ]


Finding = tuple[SoakBreachKind, str]


def _judge_runs(one: Received, runs: int) -> Iterable[Finding]:
    most = IDEMPOTENT_RUNS_MAX if one.kind is RequestKind.LOOK else 1
    if runs > most:
        yield SoakBreachKind.RAN_TOO_OFTEN, f"{runs} runs"
    if one.status in NOT_RUN and runs:
        yield SoakBreachKind.RAN_THOUGH_REFUSED, f"{runs} runs"


def _judge_answer(one: Received, bodies: set[bytes]) -> Iterable[Finding]:
    if one.status != OK:
        return
    if one.answered_id != one.request_id:
        yield SoakBreachKind.WRONG_ANSWER, f"answer to {one.answered_id!r}"
    if one.kind is not RequestKind.DRAFT:
        if one.is_complete and one.body not in bodies:
            yield SoakBreachKind.WRONG_ANSWER, f"{one.body[:60]!r}"
        return
    numbers = [
        int(line[4:]) for line in one.body.split(b"\n")[:-1] if line.startswith(b"id: ")
    ]
    if numbers != list(range(1, len(numbers) + 1)):
        yield SoakBreachKind.WRONG_EVENTS, f"{numbers[:20]}"
    if one.is_complete and len(numbers) != one.events_due:
        yield SoakBreachKind.WRONG_EVENTS, f"{len(numbers)} of {one.events_due}"


def _judge_key(
    one: Received, removals: Sequence[KeyRemoval], runs: int
) -> Iterable[Finding]:
    removed = [removal for removal in removals if removal.key == one.key]
    if any(one.sent_at_s > removal.known_at_s for removal in removed) and runs:
        yield SoakBreachKind.SERVED_REMOVED_KEY, f"{runs} runs"
    if one.status == UNAUTHORIZED and not any(
        one.ended_at_s > removal.removed_at_s for removal in removed
    ):
        yield SoakBreachKind.DENIED, "its key was in force"


def _judge_end(one: Received, is_planned: bool) -> Iterable[Finding]:
    if not one.is_ended:
        yield SoakBreachKind.NO_END, "nothing in its time"
    if is_planned and not one.left and one.is_ended and not one.is_complete:
        yield SoakBreachKind.CUT_BY_PLANNED_WORK, f"status {one.status}"


def _describe(one: Received) -> str:
    took_s = one.ended_at_s - one.sent_at_s
    return (
        f"{one.kind} {one.gateway.name} start {one.start} status {one.status} "
        f"left {one.left} took {took_s:.2f} s, {len(one.body)} bytes"
    )
