"""How fast a silent peer is noticed, and how often a live one is suspected."""

import random
import statistics

from attrs import frozen

from boragespring.links.arrivals import HeartbeatArrivals

__all__ = ["Detection", "measure_detection"]

INTERVAL_S, DEADLINE_S = 0.5, 2.0
LINKS = 20
BEATS = 7200
DELAY_MEAN_S = 0.005
PAUSE_MIN_S, PAUSE_MAX_S = 0.2, 1.5
SEED = 7
HOUR_S = 3600.0


@frozen
class Detection:
    """Figures at one rate of pauses.

    Parameters
    ----------
    pauses_per_hour : float
        Pauses of a peer of 0.2 to 1.5 s.
    suspected_after_s, replaced_after_s : float
        Mean time from a peer's last heartbeat until it gets no new work, and
        until its link is replaced.
    false_suspicions_per_hour, false_replacements_per_hour : float
        The same for live peers, for each link.
    """

    pauses_per_hour: float
    suspected_after_s: float
    replaced_after_s: float
    false_suspicions_per_hour: float
    false_replacements_per_hour: float


def measure_detection(pauses_per_hour: float) -> Detection:
    """Simulate heartbeats of links with random delays and pauses."""
    chance = random.Random(SEED)
    suspected_s, replaced_s = [], []
    suspicions = replacements = 0
    pause_chance = pauses_per_hour * INTERVAL_S / HOUR_S
    for _ in range(LINKS):
        arrivals = HeartbeatArrivals(INTERVAL_S, DEADLINE_S)
        sent_s = last_s = 0.0
        for _ in range(BEATS):
            sent_s += INTERVAL_S
            if chance.random() < pause_chance:
                sent_s += chance.uniform(PAUSE_MIN_S, PAUSE_MAX_S)
            now_s = max(last_s, sent_s + chance.expovariate(1 / DELAY_MEAN_S))
            suspicions += now_s - last_s > arrivals.suspicion_timeout_s
            replacements += now_s - last_s > arrivals.failure_timeout_s
            arrivals.record(now_s)
            last_s = now_s
        suspected_s.append(arrivals.suspicion_timeout_s)
        replaced_s.append(arrivals.failure_timeout_s)
    hours = LINKS * BEATS * INTERVAL_S / HOUR_S
    return Detection(
        pauses_per_hour,
        statistics.mean(suspected_s),
        statistics.mean(replaced_s),
        suspicions / hours,
        replacements / hours,
    )
