"""Order in which the runs of a leaving server are moved, over all gateways.

Copies of one server go over its one link, one after another. A gateway that
begins a copy while others still copy delays theirs, and the stop of their
runs; so all gateways follow one order and one run moves at a time.
"""

import time
from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, field, frozen

__all__ = ["Evacuation", "LeavingRun", "NoEvacuationPeers", "EvacuationPeers"]


@frozen
class LeavingRun:
    """A run that has to leave its server.

    Parameters
    ----------
    run_id : str
        Identity of the request.
    memory_tokens : int
        Tokens that a copy takes along.
    value : float
        What the caller loses if the run ends with its server.
    ends_in_s : float
        Time in which the run is expected to end by itself.
    failed_attempts : int
        Turns that it has had in vain; those with fewer go first.
    """

    run_id: str
    memory_tokens: int
    value: float
    ends_in_s: float
    failed_attempts: int = 0


class EvacuationPeers(Protocol):
    """Way to the other gateways."""

    def announce(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Tell which runs this gateway has to move off a server."""
        ...

    def notify_ended(self, server_id: str, run_id: str) -> None:
        """Tell that a run was moved, has ended, or cannot be moved."""
        ...


class NoEvacuationPeers:
    """Stand in where there are no other gateways."""

    def announce(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Tell nobody."""

    def notify_ended(self, server_id: str, run_id: str) -> None:
        """Tell nobody."""


@define(eq=False)
class Evacuation:
    """Runs of one leaving server, those of all gateways.

    Parameters
    ----------
    ends_at_s : float
        Monotonic time at which the server is expected to end.
    head_slack_s : float
        Time beyond its copy that a run at the head may take before the others
        no longer wait for it.
    copy_s_per_token : float
        Time that the copy of one token takes to where the runs can go.
    clock : callable
        Source of time in seconds.
    """

    ends_at_s: float
    head_slack_s: float
    copy_s_per_token: float = 0.0
    clock: Callable[[], float] = time.monotonic
    _runs: dict[str, LeavingRun] = field(factory=dict)
    _removed: dict[str, int] = field(factory=dict)
    _head_id: str = ""
    _head_since_s: float = 0.0

    def add(self, runs: Iterable[LeavingRun]) -> None:
        """Take in runs of this gateway or of another one.

        A run that is announced for a later failed_attempts gives up the one it has.
        """
        for run in runs:
            known = self._runs.get(run.run_id)
            if run.failed_attempts <= self._removed.get(run.run_id, -1):
                continue
            if known is not None and run.failed_attempts < known.failed_attempts:
                continue
            if known is not None and run.failed_attempts > known.failed_attempts:
                self._release_head(run.run_id)
            self._runs[run.run_id] = run

    def remove(self, run_id: str) -> None:
        """Take a run out of the order."""
        run = self._runs.pop(run_id, None)
        failed_attempts = run.failed_attempts if run is not None else 0
        self._removed[run_id] = max(failed_attempts, self._removed.get(run_id, 0))

    def _release_head(self, run_id: str) -> None:
        if self._head_id == run_id:
            self._head_id = ""

    def head(self) -> LeavingRun | None:
        """Return the run whose failed_attempts it is."""
        left_s = self.ends_at_s - self.clock()
        run = min(
            self._runs.values(),
            key=lambda one: self._sort_key(one, left_s),
            default=None,
        )
        if run is None:
            return None
        if run.run_id != self._head_id:
            self._head_id, self._head_since_s = run.run_id, self.clock()
            return run
        head_timeout_s = self._copy_s(run) + self.head_slack_s
        if self.clock() - self._head_since_s > head_timeout_s:
            # Its gateway does not move it: the others go on.
            self.remove(run.run_id)
            return self.head()
        return run

    def is_time_short(self, copy_s_per_token: float) -> bool:
        """Return whether copies at a speed would not be complete in time."""
        tokens = sum(run.memory_tokens for run in self._runs.values())
        return tokens * copy_s_per_token > self.ends_at_s - self.clock()

    def _copy_s(self, run: LeavingRun) -> float:
        return run.memory_tokens * self.copy_s_per_token

    def _sort_key(self, run: LeavingRun, left_s: float) -> tuple[int, bool, float, str]:
        """Keep the turn; then most value for each token of those that fit.

        Runs that had a failed_attempts in vain come after those that had none, and last
        those that end by themselves, or whose copy would not be complete before
        the server ends.
        """
        if run.run_id == self._head_id:
            return -1, False, float("-inf"), run.run_id
        is_late = run.ends_in_s < left_s or self._copy_s(run) > left_s
        value_per_token = run.value / max(1, run.memory_tokens)
        return run.failed_attempts, is_late, -value_per_token, run.run_id
