"""Limit the number of retries; each gateway enforces its share of the limit."""

import time
from collections import deque
from collections.abc import Callable
from itertools import takewhile

from attrs import define, field, frozen

__all__ = ["RetryBudget", "RetryBudgetSettings"]


@frozen
class RetryBudgetSettings:
    """Limit on the retries to a service from all gateways combined.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed per window.
    window_s : float
        Length of the sliding window in seconds.
    safety_factor : float
        Fraction of the limit that is actually used.
    """

    ratio: float
    slack: float
    window_s: float
    safety_factor: float = 0.7


@define
class _Window:
    """Sliding window of event times in seconds."""

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
    """Count requests and retries per service in a sliding window.

    Parameters
    ----------
    settings : RetryBudgetSettings
        Limit for all gateways combined.
    gateway_count : callable
        Returns the number of gateways that share the slack.
    clock : callable, default=time.monotonic
        Source of monotonic time in seconds.
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
        """Replace the settings; requests and retries already counted are kept."""
        self._settings = settings
        for window in (*self._requests.values(), *self._retries.values()):
            window.length_s = settings.window_s

    def record_request(self, service: str) -> None:
        """Count the first attempt of a caller's request."""
        self._window(self._requests, service).add(self._clock())

    def try_acquire(self, service: str) -> bool:
        """Return whether a retry is allowed, and count it if so."""
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
