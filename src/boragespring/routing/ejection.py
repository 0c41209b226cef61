"""Temporary ejection of failing agents (outlier detection)."""

from collections.abc import Collection

from attrs import define, field, frozen

from boragespring.routing.candidates import Candidate

__all__ = ["Ejection", "EjectionSettings"]


@frozen
class EjectionSettings:
    """Settings of outlier ejection.

    Parameters
    ----------
    failure_threshold : int
        Number of consecutive failures after which an agent is ejected.
    base_duration_s : float
        Duration of the first ejection in seconds. Each further ejection without
        a success in between lasts twice as long as the previous one.
    duration_max_s : float
        Maximum duration of an ejection in seconds.
    ejected_share_max : float
        Maximum fraction of the agents that may be ejected at the same time.
    """

    failure_threshold: int = 5
    base_duration_s: float = 2.0
    duration_max_s: float = 60.0
    ejected_share_max: float = 0.34


@define
class Ejection:
    """Outlier ejection for the agents of one service.

    Parameters
    ----------
    settings : EjectionSettings
        Threshold, durations and maximum fraction.

    Attributes
    ----------
    ejected_total : int
        Number of ejections so far.
    suppressed_total : int
        Number of ejections suppressed because too many agents were ejected.
    """

    settings: EjectionSettings
    ejected_total: int = field(init=False, default=0)
    suppressed_total: int = field(init=False, default=0)

    def record_success(self, candidate: Candidate) -> None:
        """Record a success and reset the agent's failure and ejection counts."""
        candidate.consecutive_failures = 0
        candidate.ejections = 0

    def record_failure(
        self, candidate: Candidate, candidates: Collection[Candidate], now_s: float
    ) -> None:
        """Record a failure and eject the agent once the threshold is reached.

        Parameters
        ----------
        candidate : Candidate
            Agent that failed.
        candidates : collection of Candidate
            All agents of the service, to limit the ejected fraction.
        now_s : float
            Monotonic time in seconds.
        """
        candidate.consecutive_failures += 1
        if candidate.consecutive_failures < self.settings.failure_threshold:
            return
        ejected_count = sum(other.ejected_until_s > now_s for other in candidates)
        if ejected_count + 1 > self.settings.ejected_share_max * len(candidates):
            self.suppressed_total += 1
            return
        self.ejected_total += 1
        duration_s = self.settings.base_duration_s * 2**candidate.ejections
        candidate.ejected_until_s = now_s + min(
            duration_s, self.settings.duration_max_s
        )
        candidate.ejections += 1
        candidate.consecutive_failures = 0
