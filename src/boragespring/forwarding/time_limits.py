"""Time limits that can be brought forward."""

import asyncio

__all__ = ["bring_forward"]


def bring_forward(limit: asyncio.Timeout, to_s: float) -> None:
    """Bring a time limit forward, unless it has been reached.

    One that has been reached stays in place until what it limits has ended, and cannot
    be changed meanwhile.

    Parameters
    ----------
    limit : asyncio.Timeout
        Limit that has been entered and not left.
    to_s : float
        Monotonic time in seconds at which it is reached now.
    """
    if not limit.expired():
        limit.reschedule(to_s)
