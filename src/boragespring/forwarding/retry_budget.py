"""Bound on repeats, kept by each gateway for its part of the requests."""

import time
from collections import deque
from collections.abc import Callable
from itertools import takewhile

from attrs import define, field, frozen

__all__ = ["RetryBudget", "RetryBudgetSettings"]


@frozen
class RetryBudgetSettings:
    """Repeats that a service may get from all gateways together.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Repeats in one window beyond that.
    window_s : float
        Length of the window.
    safety_factor : float
        Share of both that is used.
    """

    ratio: float
    slack: float
    window_s: float
    safety_factor: float = 0.7


@define
class _Window:
    """Times of the events of one window."""

    length_s: float
    times_s: deque[float] = field(factory=deque)

    def add(self, now_s: float) -> None:
        self.times_s.append(now_s)

    def count(self, now_s: float) -> int:
        begin_s = now_s - self.length_s
        outdated = sum(1 for _ in takewhile(lambda at_s: at_s < begin_s, self.times_s))
        for _ in range(outdated):
            self.times_s.popleft()
        return len(self.times_s)


class RetryBudget:
    """Count requests and repeats by service in a sliding window.

    Parameters
    ----------
    settings : RetryBudgetSettings
        Bound over all gateways.
    gateway_count : callable
        Returns the number of gateways that share the slack.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        settings: RetryBudgetSettings,
        gateway_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._gateway_count = gateway_count
        self._clock = clock
        self._requests: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}

    def apply(self, settings: RetryBudgetSettings) -> None:
        """Put new settings in force; what was counted stays counted."""
        self._settings = settings
        for window in (*self._requests.values(), *self._retries.values()):
            window.length_s = settings.window_s

    def record_request(self, service: str) -> None:
        """Count a request that a caller sent."""
        self._window(self._requests, service).add(self._clock())

    def try_acquire(self, service: str) -> bool:
        """Count a repeat and return True, or return False when there is none left."""
        now_s = self._clock()
        requests = self._window(self._requests, service).count(now_s)
        retries = self._window(self._retries, service)
        settings = self._settings
        shared_slack = settings.slack / max(1, self._gateway_count())
        allowed = settings.safety_factor * (settings.ratio * requests + shared_slack)
        if retries.count(now_s) + 1 > allowed:
            return False
        retries.add(now_s)
        return True

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        return windows.setdefault(service, _Window(self._settings.window_s))
