"""Types of settings fields, annotated with their allowed ranges."""

from collections.abc import Callable
from typing import Annotated, Any, Literal

from attrs import frozen

__all__ = [
    "Bytes",
    "Check",
    "Count",
    "Fraction",
    "Name",
    "OptionalCount",
    "PerSecond",
    "Port",
    "Range",
    "Seconds",
    "Text",
    "Vendor",
]


@frozen
class Range:
    """Inclusive range of a number or of the length of a string."""

    low: float
    high: float

    def describe(self) -> str:
        """Return the range as shown in error messages."""
        return f"{self.low:g} to {self.high:g}"


@frozen
class Check:
    """Check of a value that another program wrote.

    Parameters
    ----------
    apply : callable
        Returns the value; raises `UnusableValueError` if it cannot be used.
    """

    apply: Callable[[Any], Any]


Port = Annotated[int, Range(0, 65535)]
Seconds = Annotated[float, Range(0.001, 7 * 86400)]
PerSecond = Annotated[float, Range(0.001, 10_000_000.0)]
Count = Annotated[int, Range(1, 10_000_000)]
OptionalCount = Annotated[int, Range(0, 10_000_000)]
Bytes = Annotated[int, Range(1024, 64 * 2**30)]
Fraction = Annotated[float, Range(0.0, 1.0)]
Name = Annotated[str, Range(1, 100)]
Text = Annotated[str, Range(0, 2000)]
Vendor = Literal["vllm", "sglang", "tgi", "orca", "plain"]
