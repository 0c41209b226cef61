"""Count the outcomes of requests at a server, and weigh them against other servers."""

import math
from collections.abc import Iterable

from attrs import define, frozen

__all__ = [
    "FailureTest",
    "OutcomeCounts",
    "Outcomes",
    "failure_evidence",
    "improbability",
    "pooled_failed_share",
]

#: Outcomes that are assumed in addition, so that few outcomes decide little.
ASSUMED_FAILED, ASSUMED_ENDED = 1.0, 6.0
#: Least share of failures that is assumed of sound servers.
FAILED_SHARE_MIN = 0.05
#: Greatest share of failures that is assumed of a server that fails.
FAILED_SHARE_MAX = 0.95


@frozen
class Outcomes:
    """Weighted numbers of recent requests.

    Parameters
    ----------
    ended, failed : float
        Requests that have ended, and those of them that failed.
    """

    ended: float = 0.0
    failed: float = 0.0

    @property
    def failed_share(self) -> float:
        """Share of the requests that failed; 0 if there were none."""
        return self.failed / self.ended if self.ended else 0.0


@define
class OutcomeCounts:
    """Counts in which a request weighs half as much after each half-life.

    Parameters
    ----------
    half_life_s : float
        Half-life in seconds.
    """

    half_life_s: float
    _ended: float = 0.0
    _failed: float = 0.0
    _at_s: float = 0.0

    def add(self, now_s: float, ended: int, failed: int) -> None:
        """Count requests that have just ended."""
        current = self.at(now_s)
        self._ended = current.ended + ended
        self._failed = current.failed + failed
        self._at_s = now_s

    def at(self, now_s: float) -> Outcomes:
        """Return the counts at a monotonic time in seconds."""
        weight = 0.5 ** (max(0.0, now_s - self._at_s) / self.half_life_s)
        return Outcomes(self._ended * weight, self._failed * weight)

    def clear(self) -> None:
        """Forget all requests."""
        self._ended = self._failed = 0.0


@define
class FailureTest:
    """Sequential test whether a server has begun to fail more than others (CUSUM).

    Each outcome adds the logarithm of how much likelier it is at a server that fails
    than at a sound one. The sum does not fall below 0, so that earlier successes do not
    delay the detection.

    Parameters
    ----------
    excess : float
        Share of failures by which a server that fails exceeds a sound one.
    score_max : float
        Bound on the sum, so that a server that has recovered is soon seen.
    expected_share : float
        Share of failures of a sound server.
    score : float
        The sum.
    """

    excess: float
    score_max: float
    expected_share: float = FAILED_SHARE_MAX
    score: float = 0.0

    def add(self, ended: int, failed: int) -> None:
        """Add outcomes that arrive together."""
        change = failure_evidence(
            Outcomes(ended, failed), self.expected_share, self.excess
        )
        self.score = min(self.score_max, max(0.0, self.score + change))


def failure_evidence(outcomes: Outcomes, sound_share: float, excess: float) -> float:
    """Return how much likelier outcomes are if their server fails than if it is sound.

    It is the logarithm of the ratio of both probabilities: above 0 for a server that
    fails, below 0 for a sound one.

    Parameters
    ----------
    outcomes : Outcomes
        Requests of one server.
    sound_share : float
        Share of failures of sound servers.
    excess : float
        Share of failures of a server that fails, beyond that.
    """
    failing_share = min(FAILED_SHARE_MAX, sound_share + excess)
    if failing_share <= sound_share:
        return 0.0
    evidence = outcomes.failed * math.log(failing_share / sound_share)
    passed = outcomes.ended - outcomes.failed
    return evidence + passed * math.log((1 - failing_share) / (1 - sound_share))


def pooled_failed_share(outcomes: Iterable[Outcomes]) -> float:
    """Return the share of failures over several servers, not under a minimum.

    Their standard error is added, as the servers were chosen for their few failures.
    """
    ended, failed = ASSUMED_ENDED, ASSUMED_FAILED
    for each in outcomes:
        ended += each.ended
        failed += each.failed
    share = failed / ended
    share += math.sqrt(share * (1 - share) / ended)
    return min(FAILED_SHARE_MAX, max(FAILED_SHARE_MIN, share))


def improbability(outcomes: Outcomes, expected_share: float) -> float:
    """Return how improbable it is that so many requests fail by chance.

    It is the negative logarithm of an upper bound on that probability (Chernoff), and 0
    if no more requests failed than expected.

    Parameters
    ----------
    outcomes : Outcomes
        Requests of one server.
    expected_share : float
        Share of failures of sound servers, between 0 and 1.
    """
    share = outcomes.failed_share
    if share <= expected_share:
        return 0.0
    divergence = share * math.log(share / expected_share)
    if share < 1:
        divergence += (1 - share) * math.log((1 - share) / (1 - expected_share))
    return outcomes.ended * divergence
