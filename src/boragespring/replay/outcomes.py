"""Expected outcomes: bounds that the measures of a replay must meet."""

from enum import StrEnum
from pathlib import Path

import pyjson5
from attrs import frozen
from cattrs import BaseValidationError, Converter, transform_error

from boragespring.replay.errors import ReplayError
from boragespring.replay.measures import GroupMeasures

__all__ = [
    "ExpectedOutcome",
    "OutcomeError",
    "OutcomeMeasure",
    "check_outcomes",
    "read_outcomes",
]

_converter = Converter(forbid_extra_keys=True)


class OutcomeError(ReplayError):
    """A file of expected outcomes is unreadable or invalid."""


class OutcomeMeasure(StrEnum):
    """Measure of a group that a bound applies to."""

    OK_SHARE = "ok_share"
    PREEMPTIONS = "preemptions"
    STALL_S = "stall_s"
    QUEUE_P95_S = "queue_p95_s"
    INTERVAL_P99_S = "interval_p99_s"
    TOKEN_SHARE = "token_share"


@frozen
class ExpectedOutcome:
    """Bounds on one measure of one group.

    Parameters
    ----------
    group : str
        Name of the group: ``all``, ``class:NAME`` or ``workspace:NAME``.
    measure : OutcomeMeasure
        Measure that the bounds apply to.
    at_most, at_least : float or None
        Upper and lower bound; None for no bound.
    """

    group: str
    measure: OutcomeMeasure
    at_most: float | None = None
    at_least: float | None = None


def read_outcomes(path: Path) -> list[ExpectedOutcome]:
    """Read a list of expected outcomes from a JSON file with comments.

    Raises
    ------
    OutcomeError
        When the file cannot be read or its content is invalid.
    """
    try:
        document = pyjson5.decode(path.read_text(encoding="utf-8"))
        return _converter.structure(document, list[ExpectedOutcome])
    except (OSError, pyjson5.Json5Exception) as error:
        raise OutcomeError(f"{path}: {error}") from error
    except BaseValidationError as error:
        raise OutcomeError(f"{path}: {'; '.join(transform_error(error))}") from error


def check_outcomes(
    outcomes: list[ExpectedOutcome], groups: dict[str, GroupMeasures]
) -> list[str]:
    """Return a line of text for each expected outcome that is not met."""
    lines = (_describe_violation(outcome, groups) for outcome in outcomes)
    return [line for line in lines if line]


def _describe_violation(
    outcome: ExpectedOutcome, groups: dict[str, GroupMeasures]
) -> str:
    name = f"{outcome.group} {outcome.measure}"
    group = groups.get(outcome.group)
    if group is None:
        return f"{name}: the replay contains no requests of this group"
    value = _measured_value(outcome.measure, group)
    if outcome.at_most is not None and value > outcome.at_most:
        return f"{name}: {value:.4g} is above {outcome.at_most:g}"
    if outcome.at_least is not None and value < outcome.at_least:
        return f"{name}: {value:.4g} is below {outcome.at_least:g}"
    return ""


def _measured_value(measure: OutcomeMeasure, group: GroupMeasures) -> float:
    match measure:
        case OutcomeMeasure.OK_SHARE:
            return group.ok / max(1, group.requests)
        case OutcomeMeasure.PREEMPTIONS:
            return group.preemptions
        case OutcomeMeasure.STALL_S:
            return group.stall_s
        case OutcomeMeasure.QUEUE_P95_S:
            return group.queue_time_s.p95
        case OutcomeMeasure.INTERVAL_P99_S:
            return group.token_interval_s.p99
        case OutcomeMeasure.TOKEN_SHARE:
            return group.token_share
