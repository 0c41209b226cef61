"""Validation of sampling parameters before they are sent to an engine."""

import math
from collections.abc import Callable, Mapping
from typing import Any

from attrs import frozen

from boragespring.entry.problems import Problem

__all__ = ["check_unicode", "invalid_field", "sampling_parameters"]

#: Largest integer that all engines accept.
INTEGER_MAX = 2**63 - 1
STOP_SEQUENCES_MAX = 16


def invalid_field(field: str, message: str) -> Problem:
    """Return the error for an invalid field of a request body."""
    return Problem(400, "invalid_field", f"{field}: {message}", field=field)


def check_unicode(field: str, value: str) -> str:
    """Return a text; raise `Problem` if it cannot be encoded as UTF-8."""
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise invalid_field(field, "must not contain an unpaired surrogate") from error
    return value


@frozen
class _Rule:
    """Check for the value of one parameter and a description of valid values."""

    accepts: Callable[[Any], bool]
    allowed: str


def _number_rule(low: float, high: float) -> _Rule:
    def accepts(value: Any) -> bool:
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            return False
        return math.isfinite(value) and low <= value <= high

    return _Rule(accepts, f"a number from {low:g} to {high:g}")


def _integer_rule(low: int, high: int) -> _Rule:
    def accepts(value: Any) -> bool:
        return type(value) is int and low <= value <= high

    return _Rule(accepts, f"an integer from {low} to {high}")


def _is_stop_value(value: Any) -> bool:
    if isinstance(value, str):
        return True
    if not isinstance(value, list) or len(value) > STOP_SEQUENCES_MAX:
        return False
    return all(isinstance(text, str) for text in value)


_RULES = {
    "temperature": _number_rule(0, 2),
    "top_p": _number_rule(0, 1),
    "stop": _Rule(
        _is_stop_value, f"a string or a list of at most {STOP_SEQUENCES_MAX} strings"
    ),
    "seed": _integer_rule(-INTEGER_MAX, INTEGER_MAX),
    "presence_penalty": _number_rule(-2, 2),
    "frequency_penalty": _number_rule(-2, 2),
    "standin_output_tokens": _integer_rule(1, 10_000_000),
}


def sampling_parameters(body: Mapping[str, Any]) -> dict[str, object]:
    """Return the validated sampling parameters for the engine.

    Raises
    ------
    Problem
        If a parameter has a value that engines do not accept.
    """
    parameters = {name: body[name] for name in _RULES if body.get(name) is not None}
    for name, value in parameters.items():
        rule = _RULES[name]
        if not rule.accepts(value):
            raise invalid_field(name, f"must be {rule.allowed}")
        for text in value if isinstance(value, list) else (value,):
            if isinstance(text, str):
                check_unicode(name, text)
    return parameters
