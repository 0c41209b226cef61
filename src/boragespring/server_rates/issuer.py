"""Grant permits for servers that take a limited rate of requests."""

import time
from collections.abc import Callable

from attrs import frozen

from boragespring.fleet import ServerProcess

__all__ = ["PermitIssuer", "Reservation"]

#: Number of servers from which on those that had no request lately are forgotten.
SERVERS_KEPT = 1000
#: Maximum time until the first permit of a server.
FIRST_DELAY_MAX_S = 1.0


@frozen
class Reservation:
    """Answer to a query for a permit.

    Parameters
    ----------
    is_granted : bool
        Whether one request may be sent.
    in_s : float
        Time in seconds until it may be sent or, without a permit, until one would be
        free.
    """

    is_granted: bool
    in_s: float


def _brief_delay(interval_s: float) -> float:
    """Return a delay for permits that another gateway has granted just before."""
    return min(interval_s, FIRST_DELAY_MAX_S)


class PermitIssuer:
    """Space out the requests to each server, for all that ask here.

    Permits are given in the order of the queries. One that would be due too late is
    not reserved, so that whoever asked can refuse its request at once.

    Parameters
    ----------
    first_delay_s : callable
        Returns the time in seconds until the first permit of a server, for the time in
        seconds between two.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        first_delay_s: Callable[[float], float] = _brief_delay,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._first_delay_s = first_delay_s
        self._clock = clock
        #: Monotonic times in seconds at which the next permits are due.
        self._next_at_s: dict[ServerProcess, float] = {}

    def reserve(
        self, process: ServerProcess, rate_per_s: float, max_wait_s: float
    ) -> Reservation:
        """Reserve the next permit of a server, unless it is due too late.

        Parameters
        ----------
        process : ServerProcess
            Server.
        rate_per_s : float
            Requests per second that it takes; over 0.
        max_wait_s : float
            Maximum time in seconds until the permit.
        """
        now_s = self._clock()
        interval_s = 1.0 / rate_per_s
        due_s = self._next_at_s.get(process)
        if due_s is None:
            self._forget_idle(now_s)
            due_s = now_s + self._first_delay_s(interval_s)
            self._next_at_s[process] = due_s
        # A lower rate that was named before must not delay the first permit.
        due_s = max(now_s, due_s)
        wait_s = due_s - now_s
        if wait_s > max_wait_s:
            return Reservation(False, wait_s)
        self._next_at_s[process] = due_s + interval_s
        return Reservation(True, wait_s)

    def _forget_idle(self, now_s: float) -> None:
        if len(self._next_at_s) < SERVERS_KEPT:
            return
        self._next_at_s = {
            process: due_s
            for process, due_s in self._next_at_s.items()
            if due_s > now_s
        }
