"""Thresholds by which backend servers are avoided and removed."""

from attrs import frozen

__all__ = ["FleetSettings"]


@frozen
class FleetSettings:
    """Thresholds for avoiding and removing backend servers.

    Parameters
    ----------
    suspicion_failures : int
        Number of consecutive failures from which a server is suspected, and
        thus avoided.
    suspicion_base_s : float
        Duration in seconds of the first suspicion; it doubles with each further one.
    suspicion_max_s : float
        Maximum duration in seconds of a suspicion.
    lapse_grace_s : float
        Time in seconds within which a server whose entry expired during an outage
        of the store can register again before it is removed.
    pause_max_s : float
        Maximum time in seconds for which a server can ask for no requests. A mistaken
        value must not exclude it for good.
    """

    suspicion_failures: int = 2
    suspicion_base_s: float = 1.0
    suspicion_max_s: float = 8.0
    lapse_grace_s: float = 2.0
    pause_max_s: float = 3600.0
