"""Reasons for which a drain ends before all work has ended."""

from enum import StrEnum

__all__ = ["DrainEnd"]


class DrainEnd(StrEnum):
    """Reason for which a drain ended before all work had ended."""

    STOP_TIMEOUT = "stop_timeout"
    SECOND_SIGNAL = "second_signal"
    FAILED = "failed"
