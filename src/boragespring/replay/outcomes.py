"""Stated outcomes: bounds that a replay has to keep."""

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
    """A file of stated outcomes cannot be used."""


class OutcomeMeasure(StrEnum):
    """Figure that is bounded."""

    OK_SHARE = "ok_share"
    PREEMPTIONS = "preemptions"
    STALL_S = "stall_s"
    QUEUE_P95_S = "queue_p95_s"
    INTERVAL_P99_S = "interval_p99_s"
    TOKEN_SHARE = "token_share"


@frozen
class ExpectedOutcome:
    """Bound of one figure of one group.

    Parameters
    ----------
    group : str
        ``all``, ``class:NAME`` or ``workspace:NAME``.
    measure : OutcomeMeasure
        Figure that is bounded.
    at_most, at_least : float or None
        Bounds.
    """

    group: str
    measure: OutcomeMeasure
    at_most: float | None = None
    at_least: float | None = None


def read_outcomes(path: Path) -> list[ExpectedOutcome]:
    """Read the outcomes, a list in JSON with comments."""
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
    """Return a line for each outcome that is not kept."""
    lines = (_check(outcome, groups) for outcome in outcomes)
    return [line for line in lines if line]


def _check(outcome: ExpectedOutcome, groups: dict[str, GroupMeasures]) -> str:
    name = f"{outcome.group} {outcome.measure}"
    group = groups.get(outcome.group)
    if group is None:
        return f"{name}: the replay has no such group"
    value = _value(outcome.measure, group)
    if outcome.at_most is not None and value > outcome.at_most:
        return f"{name}: {value:.4g} is above {outcome.at_most:g}"
    if outcome.at_least is not None and value < outcome.at_least:
        return f"{name}: {value:.4g} is below {outcome.at_least:g}"
    return ""


def _value(measure: OutcomeMeasure, group: GroupMeasures) -> float:
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
