"""Requests that wait for their answer, which the end of a shutdown must not cut."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from boragespring.forwarding.messages import Refusal, RefusalReason

__all__ = ["UnansweredRequests"]


class UnansweredRequests:
    """Time limits of the requests of which the caller has nothing yet.

    At the end of a shutdown all limits are brought forward, so that each caller gets
    a final answer instead of a closed connection.
    """

    def __init__(self) -> None:
        self._scopes: set[asyncio.Timeout] = set()
        self._has_ended = False

    @contextlib.asynccontextmanager
    async def limit(self, deadline_s: float) -> AsyncIterator[None]:
        """Limit the time until a request has its answer, or the first part of it.

        Parameters
        ----------
        deadline_s : float
            Monotonic time in seconds of the limit.

        Raises
        ------
        TimeoutError
            At the limit, or when `end` is called before it.
        """
        async with asyncio.timeout_at(deadline_s) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def end(self) -> None:
        """End all requests that have no answer yet."""
        self._has_ended = True
        now_s = asyncio.get_running_loop().time()
        for scope in self._scopes:
            scope.reschedule(now_s)

    def refusal(self, was_not_run: bool) -> Refusal:
        """Return the answer to a request whose limit has been reached."""
        reason = RefusalReason.LEAVING if self._has_ended else RefusalReason.TIMED_OUT
        return Refusal(reason, was_not_run)
