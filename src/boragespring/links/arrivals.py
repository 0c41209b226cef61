"""Failure detection from the intervals between heartbeats of a link."""

import math
from collections import deque

from attrs import define, field

__all__ = ["HeartbeatArrivals"]

#: Number of recent intervals that are kept.
WINDOW_SIZE = 64
#: Minimum number of intervals for an estimate; with fewer, the suspicion timeout is the
#: configured deadline.
MIN_SAMPLES = 8
#: Standard deviations above the mean interval at which silence becomes suspicious.
SUSPICION_DEVIATIONS = 6.0
#: Lower limit of the suspicion timeout, in heartbeat intervals.
MIN_SUSPICION_INTERVALS = 2.0


@define(eq=False)
class HeartbeatArrivals:
    """Recent intervals between the heartbeats received on one link.

    Parameters
    ----------
    interval_s : float
        Interval in seconds at which the peer sends heartbeats.
    deadline_s : float
        Upper limit of both timeouts in seconds.

    Attributes
    ----------
    suspicion_timeout_s : float
        Seconds of silence after which the peer is suspected to have failed and gets
        no new work.
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
        """Record the arrival of a heartbeat."""
        if self._last_s is not None:
            # An interval beyond the deadline comes from a pause that has ended. Counted
            # in full, it would disable detection until it leaves the window.
            self._add(min(now_s - self._last_s, self.deadline_s))
        self._last_s = now_s

    def discard_last(self) -> None:
        """Exclude the current interval because this process itself was paused."""
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
        """Seconds of silence after which the link is replaced."""
        return min(2 * self.suspicion_timeout_s, self.deadline_s)
