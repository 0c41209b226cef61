"""Log of decisions with a bound on lines a second."""

import logging
import time
from collections.abc import Callable
from typing import Any

from attrs import frozen

__all__ = ["LOGGER_NAME", "DecisionLog", "LogSettings"]

LOGGER_NAME = "boragespring.decisions"

#: Share of the bucket that lines of ordinary outcomes leave to failures.
FAILURE_RESERVE = 0.5


@frozen
class LogSettings:
    """Bounds of the decision log.

    Parameters
    ----------
    lines_per_s : float
        Lines that a process writes a second over a longer time.
    burst_lines : int
        Lines that may be written at once.
    queue_lines : int
        Lines that wait for a slow reader before further ones are dropped.
    """

    lines_per_s: float = 200.0
    burst_lines: int = 400
    queue_lines: int = 2000


class DecisionLog:
    """Write one line for each decision, failures before ordinary outcomes.

    Parameters
    ----------
    settings : LogSettings
        Bounds.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    logger : logging.Logger, optional
        Where lines go; the logger of `open_log_output` by default.
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
        self._allowance_lines = float(self._settings.burst_lines)
        self._refilled_at_s = clock()
        self.suppressed_lines = 0
        self._suppressed_told = 0

    def request(self, event: str, request_id: str, **inputs: Any) -> None:
        """Tell a decision on a request that goes its ordinary way."""
        self._write(event, "request", {"request_id": request_id, **inputs}, False)

    def failure(self, event: str, request_id: str, **inputs: Any) -> None:
        """Tell a decision that keeps a request from its answer."""
        self._write(event, "request", {"request_id": request_id, **inputs}, True)

    def state_change(self, event: str, **inputs: Any) -> None:
        """Tell a change of what this process believes."""
        self._write(event, "belief", inputs, True)

    def lifecycle(self, event: str, **inputs: Any) -> None:
        """Tell a start, stop, reload, lost or regained dependency."""
        self._write(event, "lifecycle", inputs, True)

    def _write(
        self, event: str, about: str, inputs: dict[str, Any], is_urgent: bool
    ) -> None:
        if not self._take_turn(is_urgent):
            self.suppressed_lines += 1
            return
        fields = {"about": about, "mono_s": round(self._clock(), 3), **inputs}
        if self.suppressed_lines > self._suppressed_told:
            fields["suppressed_lines"] = self.suppressed_lines
            self._suppressed_told = self.suppressed_lines
        self._logger.info(event, extra=fields)

    def _take_turn(self, is_urgent: bool) -> bool:
        now_s = self._clock()
        burst_lines = self._settings.burst_lines
        refill_lines = (now_s - self._refilled_at_s) * self._settings.lines_per_s
        self._allowance_lines = min(burst_lines, self._allowance_lines + refill_lines)
        self._refilled_at_s = now_s
        needed_lines = 1.0 if is_urgent else 1.0 + FAILURE_RESERVE * burst_lines
        if self._allowance_lines < needed_lines:
            return False
        self._allowance_lines -= 1.0
        return True
