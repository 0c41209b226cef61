"""Metering of one workspace's usage at one entry."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define

from boragespring.limits.errors import LimitExceededError, LimitKind
from boragespring.limits.shares import NO_SHARE, Share, plan_share
from boragespring.lists import Allowance

__all__ = ["Meter"]

#: Initial level of the token bucket, in seconds of its rate.
INITIAL_LEVEL_S = 1.0
#: Ratio of the wanted share to the measured usage.
HEADROOM = 1.5
USAGE_WINDOW_S = 2.0
SPARE_SLOTS = 2
#: Weight of the most recent answer in the moving averages.
MEAN_WEIGHT = 0.1
RETRY_AFTER_MIN_S = 0.05
DURATION_MIN_S = 0.001
UNLIMITED_PER_S = 1e12


class _TokenBucket:
    """Token bucket whose level may become negative."""

    def __init__(self, now_s: float) -> None:
        self.rate = 0.0
        self.capacity = 0.0
        self.level = 0.0
        self._refilled_at_s = now_s

    def set_rate(self, now_s: float, rate: float, capacity: float) -> None:
        self.refill(now_s)
        self.rate, self.capacity = rate, capacity
        self.level = min(self.level, capacity)

    def refill(self, now_s: float) -> None:
        added = (now_s - self._refilled_at_s) * self.rate
        self.level = min(self.level + added, self.capacity)
        self._refilled_at_s = now_s

    def delay_s(self, needed: float, max_delay_s: float) -> float:
        """Return the time until the level reaches the needed amount."""
        if self.level >= needed:
            return 0.0
        if self.rate <= 0:
            return max_delay_s
        return (needed - self.level) / self.rate


@define
class _UsageWindow:
    """Usage within one time window."""

    started_at_s: float
    requests: int = 0
    tokens: int = 0
    peak_concurrency: int = 0

    def merge(self, later: "_UsageWindow") -> "_UsageWindow":
        """Return the combined usage of this window and the following one."""
        return _UsageWindow(
            started_at_s=self.started_at_s,
            requests=self.requests + later.requests,
            tokens=self.tokens + later.tokens,
            peak_concurrency=max(self.peak_concurrency, later.peak_concurrency),
        )


class Meter:
    """Measure the usage of a workspace at this entry and enforce its share.

    Parameters
    ----------
    allowance : Allowance
        Limits of the workspace's plan.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    running : int
        Number of requests that hold a slot.
    pending : int
        Number of requests that have arrived but neither started nor been rejected.
    share : Share
        Share that is enforced.
    used_at_s : float
        Time of the last use.
    """

    def __init__(self, allowance: Allowance, clock: Callable[[], float]) -> None:
        self.allowance = allowance
        self.running = 0
        self.pending = 0
        self.share = NO_SHARE
        self.used_at_s = clock()
        self._clock = clock
        now_s = clock()
        self._requests = _TokenBucket(now_s)
        self._tokens = _TokenBucket(now_s)
        self._is_unused = True
        # Initially assume that all slots together consume the full token rate.
        self._slot_tokens_per_s = allowance.tokens_per_s / allowance.concurrency_max
        self._mean_duration_s = 1.0
        self._previous_window = _UsageWindow(started_at_s=now_s)
        self._window = _UsageWindow(started_at_s=now_s)

    @classmethod
    def closed(cls, clock: Callable[[], float]) -> "Meter":
        """Return a meter that rejects every request."""
        return cls(Allowance(services=[]), clock)

    @classmethod
    def unlimited(cls, clock: Callable[[], float]) -> "Meter":
        """Return a meter that admits every request."""
        allowance = Allowance(
            services=[],
            concurrency_max=sys.maxsize,
            requests_per_s=UNLIMITED_PER_S,
            request_burst=sys.maxsize,
            tokens_per_s=UNLIMITED_PER_S,
        )
        meter = cls(allowance, clock)
        meter.set_share(plan_share(allowance))
        return meter

    @property
    def has_full_plan(self) -> bool:
        """Whether the share covers the entire plan and cannot grow."""
        return not plan_share(self.allowance).exceeds(self.share)

    def now_s(self) -> float:
        """Return the current time of the meter's clock in seconds."""
        return self._clock()

    def set_share(self, share: Share) -> None:
        """Replace the enforced share."""
        now_s, plan = self._clock(), self.allowance
        self.share = share
        fraction = share.requests_per_s / plan.requests_per_s
        request_burst = max(plan.request_burst * fraction, 1.0)
        self._requests.set_rate(now_s, share.requests_per_s, request_burst)
        burst_tokens = share.tokens_per_s * plan.token_burst_s
        self._tokens.set_rate(now_s, share.tokens_per_s, burst_tokens)
        if self._is_unused:
            self._requests.level = request_burst if share.requests_per_s else 0.0
            self._tokens.level = share.tokens_per_s * INITIAL_LEVEL_S

    @contextmanager
    def track_pending(self) -> Iterator[None]:
        """Count a request as pending from its arrival until its start or rejection.

        Pending requests are included in the wanted share, so that a single round
        with the holder suffices for many requests that arrive together.
        """
        self._window.requests += 1
        self.pending += 1
        self._record_use()
        try:
            yield
        except BaseException:
            self.pending -= 1
            raise

    def _record_use(self) -> None:
        self.used_at_s = self._clock()
        used = self.running + self.pending
        self._window.peak_concurrency = max(self._window.peak_concurrency, used)

    def start(self, max_delay_s: float) -> None:
        """Start a pending request, consuming a slot and one request of the rate.

        Parameters
        ----------
        max_delay_s : float
            Upper bound in seconds of the retry hint while the share may grow.

        Raises
        ------
        LimitExceededError
            A limit is reached; nothing was consumed.
        """
        now_s = self._clock()
        self.used_at_s = now_s
        self._requests.refill(now_s)
        self._tokens.refill(now_s)
        slot_delay_s = self._mean_duration_s / max(self.running, 1)
        if self.running >= self.share.concurrency:
            self._raise_exceeded(LimitKind.CONCURRENCY, slot_delay_s, max_delay_s)
        delay_s = self._tokens.delay_s(0.0, max_delay_s)
        if delay_s > 0:
            self._raise_exceeded(LimitKind.TOKEN_RATE, delay_s, max_delay_s)
        if self._is_token_rate_committed():
            self._raise_exceeded(LimitKind.TOKEN_RATE, slot_delay_s, max_delay_s)
        delay_s = self._requests.delay_s(1.0, max_delay_s)
        if delay_s > 0:
            self._raise_exceeded(LimitKind.REQUEST_RATE, delay_s, max_delay_s)
        self._is_unused = False
        self._requests.level -= 1.0
        self.pending -= 1
        self.add_running()

    def add_running(self) -> None:
        """Count a running request without checking the limits."""
        self.running += 1
        self._record_use()

    def charge(self, tokens: int) -> None:
        """Charge produced tokens; the bucket level may become negative."""
        self._tokens.refill(self._clock())
        self._tokens.level -= tokens
        self._window.tokens += tokens

    def end(self, total_tokens: int, duration_s: float) -> None:
        """Release the slot of a request and update the moving averages.

        Parameters
        ----------
        total_tokens : int
            Number of tokens that the request produced.
        duration_s : float
            Time in seconds for which the request ran.
        """
        self.running -= 1
        self.used_at_s = self._clock()
        tokens_per_s = total_tokens / max(duration_s, DURATION_MIN_S)
        self._slot_tokens_per_s += MEAN_WEIGHT * (
            tokens_per_s - self._slot_tokens_per_s
        )
        self._mean_duration_s += MEAN_WEIGHT * (duration_s - self._mean_duration_s)

    def _is_token_rate_committed(self) -> bool:
        """Return whether running requests leave no token rate for another one.

        Answer lengths are unknown, so future tokens cannot be reserved. Instead,
        the projected rate with one more answer is compared with the rate that
        the share and the bucket level allow.
        """
        if not self.running:
            return False
        projected_per_s = (self.running + 1) * self._slot_tokens_per_s
        available_per_s = self._tokens.level / self.allowance.token_burst_s
        return projected_per_s > self.share.tokens_per_s + available_per_s

    def wanted_share(self) -> Share:
        """Return the share that covers the usage of the two most recent windows.

        Rejected requests count as usage from their arrival, but a rejection does
        not raise the wanted share any further: an entry that claimed the entire
        plan after a single rejection would leave nothing for the others.
        """
        now_s, plan = self._clock(), plan_share(self.allowance)
        if now_s - self._window.started_at_s >= USAGE_WINDOW_S:
            self._previous_window = self._window
            used = self.running + self.pending
            self._window = _UsageWindow(started_at_s=now_s, peak_concurrency=used)
        usage = self._previous_window.merge(self._window)
        elapsed_s = max(now_s - usage.started_at_s, USAGE_WINDOW_S)
        slots = (
            round(max(usage.peak_concurrency, self.running) * HEADROOM) + SPARE_SLOTS
        )
        # The wanted slots must also pass the token rate check.
        projected_tokens_per_s = slots * self._slot_tokens_per_s
        used_tokens_per_s = usage.tokens * HEADROOM / elapsed_s
        return Share(
            concurrency=slots,
            requests_per_s=max(usage.requests, 1) * HEADROOM / elapsed_s,
            tokens_per_s=max(used_tokens_per_s, projected_tokens_per_s),
        ).minimum(plan)

    def _raise_exceeded(
        self, kind: LimitKind, delay_s: float, max_delay_s: float
    ) -> None:
        if not self.has_full_plan:
            # The next reply of the holder may grant a larger share.
            delay_s = min(delay_s, max_delay_s)
        raise LimitExceededError(kind, max(delay_s, RETRY_AFTER_MIN_S))
