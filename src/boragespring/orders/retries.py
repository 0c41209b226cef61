"""Backoff and rate limit of orders."""

import random
import time
from collections.abc import Callable

from attrs import Factory, define, frozen

from boragespring.orders.plan import PlannedOrder

__all__ = ["OrderRetries", "RetrySettings"]


@frozen
class RetrySettings:
    """Backoff and rate limit of the orders of one service.

    Parameters
    ----------
    delay_s : float
        Delay, in seconds, after the first attempt of an order. It doubles with
        each further attempt.
    delay_max_s : float
        Upper limit, in seconds, of the delay before jitter.
    attempts_per_s : float
        Rate at which the token bucket refills; each attempt takes one token.
    burst : float
        Capacity of the token bucket.
    retention_s : float
        Time, in seconds, after the last attempt of an order at which its attempts
        are discarded, so that its backoff starts again.
    """

    delay_s: float = 10.0
    delay_max_s: float = 300.0
    attempts_per_s: float = 2.0
    burst: float = 20.0
    retention_s: float = 1800.0


@define
class _Attempts:
    """Number of attempts of an order, and the times of the last and next one."""

    count: int
    last_s: float
    next_s: float


@define(eq=False)
class OrderRetries:
    """Attempts to carry out the orders of one service.

    An order that took effect is not planned again, so every attempt after the
    first is a retry.

    Parameters
    ----------
    settings : RetrySettings
        Backoff and rate limit.
    clock : callable, default=time.monotonic
        Returns the monotonic time in seconds.
    """

    settings: RetrySettings = Factory(RetrySettings)
    clock: Callable[[], float] = time.monotonic
    _attempts: dict[PlannedOrder, _Attempts] = Factory(dict)
    _tokens: float | None = None
    _refilled_s: float = 0.0

    def get_orders_in_backoff(self) -> frozenset[PlannedOrder]:
        """Return the orders whose next attempt is not due yet."""
        now_s = self.clock()
        self._attempts = {
            order: attempts
            for order, attempts in self._attempts.items()
            if now_s - attempts.last_s < self.settings.retention_s
        }
        return frozenset(
            order
            for order, attempts in self._attempts.items()
            if now_s < attempts.next_s
        )

    def can_send(self, order: PlannedOrder) -> bool:
        """Return whether an order is due and the rate limit allows it."""
        now_s = self.clock()
        attempts = self._attempts.get(order)
        return (attempts is None or now_s >= attempts.next_s) and self._refill(
            now_s
        ) >= 1.0

    def record_attempt(self, order: PlannedOrder) -> None:
        """Record an attempt and schedule the next one with exponential backoff."""
        now_s = self.clock()
        self._tokens = self._refill(now_s) - 1.0
        count = self._attempts[order].count + 1 if order in self._attempts else 1
        delay_s = min(
            self.settings.delay_s * 2.0 ** min(count - 1, 16), self.settings.delay_max_s
        )
        next_s = now_s + delay_s * random.uniform(0.75, 1.25)
        self._attempts[order] = _Attempts(count, now_s, next_s)

    def _refill(self, now_s: float) -> float:
        settings = self.settings
        if self._tokens is None:
            self._tokens = settings.burst
        else:
            refill = (now_s - self._refilled_s) * settings.attempts_per_s
            self._tokens = min(self._tokens + refill, settings.burst)
        self._refilled_s = now_s
        return self._tokens
