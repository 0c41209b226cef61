"""Requests that wait for their answer, which the end of a shutdown must not cut."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from functools import partial
from math import inf

from boragespring.forwarding.messages import Refusal, RefusalReason
from boragespring.forwarding.time_limits import bring_forward

__all__ = ["UnansweredRequests"]


def _at_once() -> float:
    return 0.0


class UnansweredRequests:
    """Time limits of the requests of which the caller has nothing yet.

    At the end of a shutdown all limits are brought forward, so that each caller gets
    a final answer instead of a closed connection.

    Attributes
    ----------
    has_ended : bool
        Whether the shutdown has ended all limits.
    retry_after_s : callable
        Returns the time in seconds after which another gateway takes a request that
        has not run.
    """

    def __init__(self) -> None:
        self._scopes: set[asyncio.Timeout] = set()
        self.has_ended = False
        self.retry_after_s: Callable[[], float] = _at_once

    @contextlib.asynccontextmanager
    async def limit(self, deadline_s: float) -> AsyncIterator[Callable[[], None]]:
        """Limit the time until a request has its answer, or the first part of it.

        What is entered is a function to call when the answer begins: from then on only
        the deadline counts.

        Parameters
        ----------
        deadline_s : float
            Monotonic time in seconds of the limit.

        Raises
        ------
        TimeoutError
            At the limit, or when `end` is called before it.
        """
        async with asyncio.timeout_at(-inf if self.has_ended else deadline_s) as scope:
            self._scopes.add(scope)
            try:
                yield partial(self._scopes.discard, scope)
            finally:
                self._scopes.discard(scope)

    def end(self) -> None:
        """End all requests that have no answer yet."""
        self.has_ended = True
        now_s = asyncio.get_running_loop().time()
        for scope in self._scopes:
            bring_forward(scope, now_s)

    def refusal(self, was_not_run: bool) -> Refusal:
        """Return the answer to a request whose limit has been reached."""
        if not self.has_ended:
            return Refusal(RefusalReason.TIMED_OUT, was_not_run)
        retry_after_s = self.retry_after_s() if was_not_run else 0.0
        return Refusal(RefusalReason.LEAVING, was_not_run, retry_after_s)
