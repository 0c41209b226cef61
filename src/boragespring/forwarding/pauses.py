"""Decide when callers shall return while all servers of a service are paused."""

import random
from collections.abc import Sequence

from boragespring.fleet import BackendServer

__all__ = ["first_return_s", "spread_return_s"]

#: Callers return within this fraction of the wait after its end, so that they do not
#: all meet the first server that accepts requests again.
RETURN_SPREAD = 0.3


def first_return_s(servers: Sequence[BackendServer], now_s: float) -> float | None:
    """Return the time in seconds until the first paused server accepts requests.

    Parameters
    ----------
    servers : sequence of BackendServer
        All servers of a service that are not leaving.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float or None
        None if there is no server, or one that accepts requests now.
    """
    if not all(server.is_paused(now_s) for server in servers):
        return None
    return min((server.paused_until_s - now_s for server in servers), default=None)


def spread_return_s(wait_s: float, rng: random.Random) -> float:
    """Return a random retry delay in seconds, not shorter than the wait."""
    return wait_s * rng.uniform(1.0, 1.0 + RETURN_SPREAD)
