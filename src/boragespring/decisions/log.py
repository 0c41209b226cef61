"""Decision log with a rate limit."""

import logging
import time
from collections.abc import Callable
from typing import Any

from attrs import frozen

__all__ = ["LOGGER_NAME", "DecisionLog", "LogSettings"]

LOGGER_NAME = "boragespring.decisions"

#: Fraction of the token bucket that is reserved for failures; lines about ordinary
#: outcomes are suppressed before they use it.
FAILURE_RESERVE = 0.5


@frozen
class LogSettings:
    """Limits of the decision log.

    Parameters
    ----------
    lines_per_s : float
        Sustained rate: the refill rate of the token bucket.
    burst_lines : int
        Maximum burst: the capacity of the token bucket.
    queue_lines : int
        Maximum number of lines that wait for a slow reader; further lines are
        dropped.
    """

    lines_per_s: float = 200.0
    burst_lines: int = 400
    queue_lines: int = 2000


class DecisionLog:
    """Write one line per decision; the rate limit gives priority to failures.

    A token bucket limits the rate. Lines about ordinary outcomes leave part of
    the bucket to failures and state changes. The next line that is written reports how
    many lines have been suppressed so far.

    The keyword arguments of the methods are the inputs of a decision; each of
    them becomes a field of the line.

    Parameters
    ----------
    settings : LogSettings
        Limits.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    logger : logging.Logger, optional
        Destination; by default the logger that `open_log_output` sets up.
    """

    def __init__(
        self,
        settings: LogSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
        logger: logging.Logger | None = None,
    ) -> None:
        self._settings = settings or LogSettings()
        self._clock = clock
        self._logger = logger or logging.getLogger(LOGGER_NAME)
        self._available_lines = float(self._settings.burst_lines)
        self._refilled_at_s = clock()
        self.suppressed_lines = 0
        self._reported_suppressed_lines = 0

    def request(self, event: str, request_id: str, **inputs: Any) -> None:
        """Log a decision in the normal course of a request."""
        self._write(event, "request", {"request_id": request_id, **inputs}, False)

    def failure(self, event: str, request_id: str, **inputs: Any) -> None:
        """Log a decision or error that keeps a request from its answer."""
        self._write(event, "request", {"request_id": request_id, **inputs}, True)

    def state_change(self, event: str, **inputs: Any) -> None:
        """Log a change in the state of the system as this process sees it."""
        self._write(event, "belief", inputs, True)

    def lifecycle(self, event: str, **inputs: Any) -> None:
        """Log a start, stop or reload, or a lost or regained dependency."""
        self._write(event, "lifecycle", inputs, True)

    def _write(
        self, event: str, category: str, inputs: dict[str, Any], is_urgent: bool
    ) -> None:
        if not self._acquire_line(is_urgent):
            self.suppressed_lines += 1
            return
        fields = {"about": category, "mono_s": round(self._clock(), 3), **inputs}
        if self.suppressed_lines > self._reported_suppressed_lines:
            fields["suppressed_lines"] = self.suppressed_lines
            self._reported_suppressed_lines = self.suppressed_lines
        self._logger.info(event, extra=fields)

    def _acquire_line(self, is_urgent: bool) -> bool:
        """Take one line from the token bucket; return whether there was one."""
        now_s = self._clock()
        burst_lines = self._settings.burst_lines
        refill_lines = (now_s - self._refilled_at_s) * self._settings.lines_per_s
        self._available_lines = min(burst_lines, self._available_lines + refill_lines)
        self._refilled_at_s = now_s
        needed_lines = 1.0 if is_urgent else 1.0 + FAILURE_RESERVE * burst_lines
        if self._available_lines < needed_lines:
            return False
        self._available_lines -= 1.0
        return True
