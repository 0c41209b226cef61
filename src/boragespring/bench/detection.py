"""Simulate the failure detection of links: detection time and false positives."""

import random
import statistics

from attrs import frozen

from boragespring.links.arrivals import HeartbeatArrivals

__all__ = ["DetectionResult", "measure_detection"]

HEARTBEAT_INTERVAL_S, HEARTBEAT_DEADLINE_S = 0.5, 2.0
LINKS = 20
HEARTBEATS = 7200
DELAY_MEAN_S = 0.005
PAUSE_MIN_S, PAUSE_MAX_S = 0.2, 1.5
SEED = 7
HOUR_S = 3600.0


@frozen
class DetectionResult:
    """Detection times and false positives at one rate of pauses.

    Parameters
    ----------
    pauses_per_hour : float
        Rate of pauses of a live peer, each 0.2 to 1.5 s long.
    suspected_after_s, replaced_after_s : float
        Mean time, in seconds, from the last heartbeat of a peer until it is
        suspected and receives no new work, and until its link is replaced.
    false_suspicions_per_hour, false_replacements_per_hour : float
        Rates, per link, at which live peers are suspected and their links
        replaced.
    """

    pauses_per_hour: float
    suspected_after_s: float
    replaced_after_s: float
    false_suspicions_per_hour: float
    false_replacements_per_hour: float


def measure_detection(pauses_per_hour: float) -> DetectionResult:
    """Simulate the heartbeats of links with random delays and pauses.

    Parameters
    ----------
    pauses_per_hour : float
        Mean number of pauses of a peer per hour.
    """
    rng = random.Random(SEED)
    suspicion_timeouts_s, failure_timeouts_s = [], []
    suspicions = replacements = 0
    pause_probability = pauses_per_hour * HEARTBEAT_INTERVAL_S / HOUR_S
    for _ in range(LINKS):
        arrivals = HeartbeatArrivals(HEARTBEAT_INTERVAL_S, HEARTBEAT_DEADLINE_S)
        sent_s = last_s = 0.0
        for _ in range(HEARTBEATS):
            sent_s += HEARTBEAT_INTERVAL_S
            if rng.random() < pause_probability:
                sent_s += rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S)
            now_s = max(last_s, sent_s + rng.expovariate(1 / DELAY_MEAN_S))
            suspicions += now_s - last_s > arrivals.suspicion_timeout_s
            replacements += now_s - last_s > arrivals.failure_timeout_s
            arrivals.record(now_s)
            last_s = now_s
        suspicion_timeouts_s.append(arrivals.suspicion_timeout_s)
        failure_timeouts_s.append(arrivals.failure_timeout_s)
    hours = LINKS * HEARTBEATS * HEARTBEAT_INTERVAL_S / HOUR_S
    return DetectionResult(
        pauses_per_hour,
        statistics.mean(suspicion_timeouts_s),
        statistics.mean(failure_timeouts_s),
        suspicions / hours,
        replacements / hours,
    )
