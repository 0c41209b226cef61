"""Ejection of agents that fail, with a bound on how many."""

from collections.abc import Collection

from attrs import define, field, frozen

from boragespring.routing.candidates import Candidate

__all__ = ["Ejection", "EjectionSettings"]


@frozen
class EjectionSettings:
    """When agents get no requests for a while.

    Parameters
    ----------
    failure_threshold : int
        Failures in a row that eject an agent.
    base_duration_s : float
        Time of the first ejection; each further one is twice as long.
    duration_max_s : float
        Longest time.
    ejected_share_max : float
        Largest share of the agents that is ejected at once.
    """

    failure_threshold: int = 5
    base_duration_s: float = 2.0
    duration_max_s: float = 60.0
    ejected_share_max: float = 0.34


@define
class Ejection:
    """Ejections of the agents of one service."""

    settings: EjectionSettings
    ejected_total: int = field(init=False, default=0)
    suppressed_total: int = field(init=False, default=0)

    def record_success(self, candidate: Candidate) -> None:
        """Record an answer of an agent."""
        candidate.consecutive_failures = 0
        candidate.ejections = 0

    def record_failure(
        self, candidate: Candidate, candidates: Collection[Candidate], now_s: float
    ) -> None:
        """Record a failure; eject the agent when it is one too many."""
        candidate.consecutive_failures += 1
        if candidate.consecutive_failures < self.settings.failure_threshold:
            return
        ejected = sum(other.ejected_until_s > now_s for other in candidates)
        if ejected + 1 > self.settings.ejected_share_max * len(candidates):
            self.suppressed_total += 1
            return
        self.ejected_total += 1
        time_s = self.settings.base_duration_s * 2**candidate.ejections
        candidate.ejected_until_s = now_s + min(time_s, self.settings.duration_max_s)
        candidate.ejections += 1
        candidate.consecutive_failures = 0
