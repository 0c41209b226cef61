"""Times of a link's heartbeats, and how much silence is suspicious."""

import math
from collections import deque

from attrs import define, field

__all__ = ["HeartbeatArrivals"]

WINDOW_SIZE = 64
#: Intervals that must be seen before they tell more than the settings.
MIN_SAMPLES = 8
SUSPICION_DEVIATIONS = 6.0
#: Least silence that is suspicious, in heartbeat intervals.
MIN_SUSPICION_INTERVALS = 2.0


@define(eq=False)
class HeartbeatArrivals:
    """Recent intervals between the heartbeats of one link.

    Parameters
    ----------
    interval_s : float
        Interval at which the other end sends.
    deadline_s : float
        Silence that is always too long.

    Attributes
    ----------
    suspicion_timeout_s : float
        Silence after which the other end gets no new work.
    """

    interval_s: float
    deadline_s: float
    suspicion_timeout_s: float = field(init=False)
    _intervals_s: deque[float] = field(init=False, factory=deque)
    _sum_s: float = field(init=False, default=0.0)
    _sum_of_squares: float = field(init=False, default=0.0)
    _last_s: float | None = field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self.suspicion_timeout_s = self.deadline_s

    def record(self, now_s: float) -> None:
        """Take in the arrival of a heartbeat."""
        if self._last_s is not None:
            # Longer ones come from a pause that ended; taken whole, one of them
            # would blind the link for the length of the window.
            self._add(min(now_s - self._last_s, self.deadline_s))
        self._last_s = now_s

    def discard_last(self) -> None:
        """Leave out the running interval, as this process itself was paused."""
        self._last_s = None

    def _add(self, interval_s: float) -> None:
        self._intervals_s.append(interval_s)
        self._sum_s += interval_s
        self._sum_of_squares += interval_s**2
        if len(self._intervals_s) > WINDOW_SIZE:
            oldest_s = self._intervals_s.popleft()
            self._sum_s -= oldest_s
            self._sum_of_squares -= oldest_s**2
        if len(self._intervals_s) >= MIN_SAMPLES:
            self.suspicion_timeout_s = self._estimate_suspicion_timeout_s()

    def _estimate_suspicion_timeout_s(self) -> float:
        count = len(self._intervals_s)
        mean_s = self._sum_s / count
        variance = max(0.0, self._sum_of_squares / count - mean_s**2)
        expected_s = mean_s + SUSPICION_DEVIATIONS * math.sqrt(variance)
        minimum_s = MIN_SUSPICION_INTERVALS * self.interval_s
        return min(max(expected_s, minimum_s), self.deadline_s)

    @property
    def failure_timeout_s(self) -> float:
        """Silence after which the link is replaced."""
        return min(2 * self.suspicion_timeout_s, self.deadline_s)
