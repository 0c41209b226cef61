"""Pace of one server: how long its work takes, against others of its service.

Answers the load at which servers differ in speed for good, while other work on their
machines slows them down for moments. The first shows in the times of their answers, the
second is what they state.
"""

from collections.abc import Iterable

from attrs import define, frozen

__all__ = ["PaceEstimate", "WorkSample", "relative_pace", "total_work"]

#: Time in seconds after which work that was seen counts half as much.
WORK_HALF_LIFE_S = 10.0
#: Time in seconds after which a stated slowdown counts half as much.
SLOWDOWN_HALF_LIFE_S = 0.4
#: Bounds on a stated slowdown: what a server states decides less than what it shows.
SLOWDOWN_MIN, SLOWDOWN_MAX = 0.5, 4.0
#: Bounds on the pace of a server relative to its service.
PACE_MIN, PACE_MAX = 0.33, 3.0
#: Fraction of the work of a service that is assumed at the mean pace of each server, so
#: that little work decides little.
ASSUMED_SHARE = 0.1


@frozen
class WorkSample:
    """Work that a server has done.

    Parameters
    ----------
    units : float
        Amount: calls of a plain service, or prompt tokens of an engine.
    seconds : float
        Time that it took, without stated slowdowns.
    """

    units: float = 0.0
    seconds: float = 0.0

    @property
    def seconds_per_unit(self) -> float:
        """Time in seconds for a unit; 0 if there was no work."""
        return self.seconds / self.units if self.units else 0.0


@define
class PaceEstimate:
    """What is known of the pace of one server process."""

    _units: float = 0.0
    _seconds: float = 0.0
    _work_at_s: float = 0.0
    _slowdown: float = 1.0
    _stated_at_s: float = float("-inf")

    def add_work(self, now_s: float, units: float, seconds: float) -> None:
        """Add work that was seen here or at another gateway."""
        current = self.work(now_s)
        self._units = current.units + units
        self._seconds = current.seconds + seconds
        self._work_at_s = now_s

    def work(self, now_s: float) -> WorkSample:
        """Return the work that counts at a monotonic time in seconds."""
        weight = 0.5 ** (max(0.0, now_s - self._work_at_s) / WORK_HALF_LIFE_S)
        return WorkSample(self._units * weight, self._seconds * weight)

    def state_slowdown(self, slowdown: float, at_s: float) -> None:
        """Record a slowdown that the server stated at a time, unless it is older."""
        if at_s >= self._stated_at_s:
            self._slowdown = min(SLOWDOWN_MAX, max(SLOWDOWN_MIN, slowdown))
            self._stated_at_s = at_s

    @property
    def states_slowdown(self) -> bool:
        """Whether the server has stated a slowdown."""
        return self._stated_at_s > float("-inf")

    @property
    def stated_at_s(self) -> float:
        """Monotonic time in seconds of the latest stated slowdown."""
        return self._stated_at_s

    @property
    def stated_slowdown(self) -> float:
        """Latest stated slowdown."""
        return self._slowdown

    def slowdown(self, now_s: float) -> float:
        """Return the expected slowdown; a statement says little after a while."""
        age_s = max(0.0, now_s - self._stated_at_s)
        return float(
            1.0 + (self._slowdown - 1.0) * 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)
        )


def total_work(samples: Iterable[WorkSample]) -> WorkSample:
    """Return the work of several servers together."""
    units = seconds = 0.0
    for sample in samples:
        units += sample.units
        seconds += sample.seconds
    return WorkSample(units, seconds)


def relative_pace(own: WorkSample, of_service: WorkSample) -> float:
    """Return how long a unit of work takes at a server, as a multiple of the mean.

    Parameters
    ----------
    own : WorkSample
        Work of the server.
    of_service : WorkSample
        Work of all servers of its service.
    """
    mean_s = of_service.seconds_per_unit
    if mean_s <= 0:
        return 1.0
    assumed_units = ASSUMED_SHARE * of_service.units
    own_s = (own.seconds + assumed_units * mean_s) / (own.units + assumed_units)
    return min(PACE_MAX, max(PACE_MIN, own_s / mean_s))
