"""Times for which a run suspends its gateways, and how long callers wait then."""

import asyncio
import time
from collections.abc import Coroutine, Iterable
from typing import Any

from attrs import define

__all__ = ["Suspension", "await_in_running_time", "suspended_s"]


@define
class Suspension:
    """Time for which a run keeps the process of a gateway from running.

    Parameters
    ----------
    began_at_s, ended_at_s : float
        Monotonic times; the end is the planned one until it has come.
    """

    began_at_s: float
    ended_at_s: float


def suspended_s(suspensions: Iterable[Suspension], from_s: float) -> float:
    """Return for how many seconds since a time a process does not run."""
    return sum(
        max(each.ended_at_s - max(each.began_at_s, from_s), 0.0) for each in suspensions
    )


async def await_in_running_time(
    call: Coroutine[Any, Any, None],
    suspensions: Iterable[Suspension],
    timeout_s: float,
) -> None:
    """Await a call to a process for a time in which that process runs.

    Parameters
    ----------
    call : coroutine
        The call.
    suspensions : iterable of Suspension
        All suspensions of the process; more may come while the call lasts.
    timeout_s : float
        Time in seconds.

    Raises
    ------
    TimeoutError
        The call has not ended by then.
    """
    from_s = time.monotonic()
    task = asyncio.create_task(call)
    try:
        while not task.done():
            end_s = from_s + timeout_s + suspended_s(suspensions, from_s)
            left_s = end_s - time.monotonic()
            if left_s <= 0.0:
                raise TimeoutError
            await asyncio.wait({task}, timeout=left_s)
        await task
    finally:
        task.cancel()
        await asyncio.wait({task})
