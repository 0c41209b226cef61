"""Use of one workspace's share in one entry."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define

from boragespring.limits.errors import LimitExceededError, LimitKind
from boragespring.limits.shares import NO_SHARE, Share, plan_share
from boragespring.lists import Allowance

__all__ = ["Meter"]

#: A fresh bucket of tokens holds this much of its rate.
INITIAL_LEVEL_S = 1.0
#: Wanted share against what was used.
HEADROOM = 1.5
USAGE_WINDOW_S = 2.0
SPARE_SLOTS = 2
#: Weight of the newest answer in the means.
MEAN_WEIGHT = 0.1
RETRY_AFTER_MIN_S = 0.05
DURATION_MIN_S = 0.001
UNLIMITED_PER_S = 1e12


class _TokenBucket:
    """Bucket that fills at a rate and may go into debt."""

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
        """Return the time until the level reaches what is needed."""
        if self.level >= needed:
            return 0.0
        if self.rate <= 0:
            return max_delay_s
        return (needed - self.level) / self.rate


@define
class _UsageWindow:
    """Use in one window of time."""

    started_at_s: float
    requests: int = 0
    tokens: int = 0
    peak_concurrency: int = 0

    def merged(self, later: "_UsageWindow") -> "_UsageWindow":
        """Return the use in this window and the one after it."""
        return _UsageWindow(
            started_at_s=self.started_at_s,
            requests=self.requests + later.requests,
            tokens=self.tokens + later.tokens,
            peak_concurrency=max(self.peak_concurrency, later.peak_concurrency),
        )


class Meter:
    """Counts what a workspace uses here and holds it within the share.

    Parameters
    ----------
    allowance : Allowance
        Plan of the workspace.
    clock : callable
        Source of time in seconds.
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
        # Until answers tell, all slots together are taken to use the whole rate.
        self._slot_tokens_per_s = allowance.tokens_per_s / allowance.concurrency_max
        self._mean_duration_s = 1.0
        self._previous_window = _UsageWindow(started_at_s=now_s)
        self._window = _UsageWindow(started_at_s=now_s)

    @classmethod
    def closed(cls, clock: Callable[[], float]) -> "Meter":
        """Return a meter that lets nothing through."""
        return cls(Allowance(services=[]), clock)

    @classmethod
    def unlimited(cls, clock: Callable[[], float]) -> "Meter":
        """Return a meter that lets everything through."""
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
        """Whether the share is the whole plan, so that asking brings nothing."""
        return not plan_share(self.allowance).exceeds(self.share)

    def now_s(self) -> float:
        """Return the time by the meter's clock."""
        return self._clock()

    def set_share(self, share: Share) -> None:
        """Work by a share from now on."""
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
        """Count a request from its track_pending to its start or its refusal.

        What waits for a share is asked for with it, so that one round with the
        holder is enough for many requests that arrive together.
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
        """Take a slot and one request of the rate for one that has pending.

        Raises
        ------
        LimitExceededError
            A limit is reached; nothing was taken.
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
        """Take a slot whatever the limits."""
        self.running += 1
        self._record_use()

    def charge(self, tokens: int) -> None:
        """Charge produced tokens; the level may fall below nothing."""
        self._tokens.refill(self._clock())
        self._tokens.level -= tokens
        self._window.tokens += tokens

    def end(self, total_tokens: int, duration_s: float) -> None:
        """Give the slot back."""
        self.running -= 1
        self.used_at_s = self._clock()
        tokens_per_s = total_tokens / max(duration_s, DURATION_MIN_S)
        self._slot_tokens_per_s += MEAN_WEIGHT * (
            tokens_per_s - self._slot_tokens_per_s
        )
        self._mean_duration_s += MEAN_WEIGHT * (duration_s - self._mean_duration_s)

    def _is_token_rate_committed(self) -> bool:
        """Tell whether what runs will use the rate and what is left of it.

        Lengths are unknown, so that not the tokens to come are set aside but
        the pace at which one more answer would use them up is compared.
        """
        if not self.running:
            return False
        projected_per_s = (self.running + 1) * self._slot_tokens_per_s
        available_per_s = self._tokens.level / self.allowance.token_burst_s
        return projected_per_s > self.share.tokens_per_s + available_per_s

    def wanted_share(self) -> Share:
        """Return the share that would do, from the use in the last windows.

        Refused requests count as use from their track_pending, and no refusal raises
        the want beyond that: an entry that took a whole plan for one refused
        request would leave nothing to the next entry.
        """
        now_s, plan = self._clock(), plan_share(self.allowance)
        if now_s - self._window.started_at_s >= USAGE_WINDOW_S:
            self._previous_window = self._window
            used = self.running + self.pending
            self._window = _UsageWindow(started_at_s=now_s, peak_concurrency=used)
        usage = self._previous_window.merged(self._window)
        elapsed_s = max(now_s - usage.started_at_s, USAGE_WINDOW_S)
        slots = (
            round(max(usage.peak_concurrency, self.running) * HEADROOM) + SPARE_SLOTS
        )
        # The wanted slots must also pass the check of the token rate.
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
            # The share may grow with the next reply of the holder.
            delay_s = min(delay_s, max_delay_s)
        raise LimitExceededError(kind, max(delay_s, RETRY_AFTER_MIN_S))
