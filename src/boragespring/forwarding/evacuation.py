"""Determine the order in which gateways move the runs of a leaving server.

Copies from one server share its only network link. A gateway that starts a copy while
others are still copying delays their copies and thereby the moment at which their runs
continue elsewhere. All gateways therefore follow the same order and move one run at a
time.
"""

import time
from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, field, frozen

__all__ = ["Evacuation", "EvacuationPeers", "LeavingRun", "NoEvacuationPeers"]


@frozen
class LeavingRun:
    """Run that has to move off its server.

    Parameters
    ----------
    run_id : str
        Identifier of the request.
    memory_tokens : int
        Number of tokens that a copy has to transfer.
    value : float
        Value of the run, which is lost if the run ends with its server, expressed
        as an equivalent number of prompt tokens.
    ends_in_s : float
        Expected time in seconds until the run completes.
    failed_attempts : int
        Number of times that its move has failed; runs with fewer go first.
    """

    run_id: str
    memory_tokens: int
    value: float
    ends_in_s: float
    failed_attempts: int = 0


class EvacuationPeers(Protocol):
    """Other gateways that move runs off the same servers."""

    def announce(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Announce the runs that this gateway has to move off a server."""
        ...

    def notify_ended(self, server_id: str, run_id: str) -> None:
        """Announce that a run was moved, has ended or cannot be moved."""
        ...


class NoEvacuationPeers:
    """Null implementation for a gateway without peers."""

    def announce(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Do nothing."""

    def notify_ended(self, server_id: str, run_id: str) -> None:
        """Do nothing."""


@define(eq=False)
class Evacuation:
    """Move order of the runs of one leaving server, across all gateways.

    Parameters
    ----------
    ends_at_s : float
        Monotonic time in seconds at which the server is expected to terminate.
    head_slack_s : float
        Time in seconds, in addition to its copy, that the run at the head is given
        before it is skipped.
    copy_s_per_token : float
        Time in seconds to copy one token to the nearest possible target.
    clock : callable, default=time.monotonic
        Source of monotonic time in seconds.
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
        """Add runs of this gateway or of another one.

        A run that is announced again with more failed attempts loses its place at
        the head. Announcements are ignored if they state fewer failed attempts than
        an earlier one, or no more than the run had when it was last removed.
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
        """Remove a run from the order."""
        run = self._runs.pop(run_id, None)
        failed_attempts = run.failed_attempts if run is not None else 0
        self._removed[run_id] = max(failed_attempts, self._removed.get(run_id, 0))

    def _release_head(self, run_id: str) -> None:
        if self._head_id == run_id:
            self._head_id = ""

    def head(self) -> LeavingRun | None:
        """Return the run to move next, or None if there is none."""
        left_s = self.ends_at_s - self.clock()
        run = min(
            self._runs.values(),
            key=lambda candidate: self._sort_key(candidate, left_s),
            default=None,
        )
        if run is None:
            return None
        if run.run_id != self._head_id:
            self._head_id, self._head_since_s = run.run_id, self.clock()
            return run
        head_timeout_s = self._copy_s(run) + self.head_slack_s
        if self.clock() - self._head_since_s > head_timeout_s:
            # Its gateway has not moved the run in time, so the others skip it.
            self.remove(run.run_id)
            return self.head()
        return run

    def is_time_short(self, copy_s_per_token: float) -> bool:
        """Return whether copying all runs at this speed would take too long.

        Parameters
        ----------
        copy_s_per_token : float
            Time in seconds to copy one token to the targets under consideration,
            whereas the field of that name applies to the nearest one.
        """
        tokens = sum(run.memory_tokens for run in self._runs.values())
        return tokens * copy_s_per_token > self.ends_at_s - self.clock()

    def _copy_s(self, run: LeavingRun) -> float:
        return run.memory_tokens * self.copy_s_per_token

    def _sort_key(self, run: LeavingRun, left_s: float) -> tuple[int, bool, float, str]:
        """Return the sort key that determines the position of a run.

        The current head stays first. Other runs are sorted by the number of failed
        attempts. Among equals, runs that complete by themselves, or whose copy would
        not be complete, before the server terminates come last, and runs with a
        higher value per token come first.
        """
        if run.run_id == self._head_id:
            return -1, False, float("-inf"), run.run_id
        is_move_pointless = run.ends_in_s < left_s or self._copy_s(run) > left_s
        value_per_token = run.value / max(1, run.memory_tokens)
        return run.failed_attempts, is_move_pointless, -value_per_token, run.run_id
