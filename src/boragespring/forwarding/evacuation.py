"""Order in which the runs of a leaving server are moved, over all gateways.

Copies of one server go over its one link, one after another. A gateway that
begins a copy while others still copy delays theirs, and the stop of their
runs; so all gateways follow one order and one run moves at a time.
"""

import time
from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, field, frozen

__all__ = ["Evacuation", "LeavingRun", "NoEvacuationPeers", "TellsEvacuation"]


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
    """

    run_id: str
    memory_tokens: int
    value: float
    ends_in_s: float


class TellsEvacuation(Protocol):
    """Way to the other gateways."""

    def announce(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Tell which runs this gateway has to move off a server."""
        ...

    def ended(self, server_id: str, run_id: str) -> None:
        """Tell that a run was moved, has ended, or cannot be moved."""
        ...


class NoEvacuationPeers:
    """Stand in where there are no other gateways."""

    def announce(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Tell nobody."""

    def ended(self, server_id: str, run_id: str) -> None:
        """Tell nobody."""


@define(eq=False)
class Evacuation:
    """Runs of one leaving server, those of all gateways.

    Parameters
    ----------
    ends_at_s : float
        Monotonic time at which the server is expected to end.
    turn_slack_s : float
        Time beyond its copy that a run at the head may take before the others
        no longer wait for it.
    copy_s_per_token : float
        Time that the copy of one token takes to where the runs can go.
    clock : callable
        Source of time in seconds.
    """

    ends_at_s: float
    turn_slack_s: float
    copy_s_per_token: float = 0.0
    clock: Callable[[], float] = time.monotonic
    _runs: dict[str, LeavingRun] = field(factory=dict)
    _ended: set[str] = field(factory=set)
    _head_id: str = ""
    _head_since_s: float = 0.0

    def add(self, runs: Iterable[LeavingRun]) -> None:
        """Take in runs of this gateway or of another one."""
        self._runs.update(
            {run.run_id: run for run in runs if run.run_id not in self._ended}
        )

    def end(self, run_id: str) -> None:
        """Take a run out of the order."""
        self._ended.add(run_id)
        self._runs.pop(run_id, None)

    def head(self) -> LeavingRun | None:
        """Return the run whose turn it is."""
        left_s = self.ends_at_s - self.clock()
        run = min(
            self._runs.values(), key=lambda one: self._rank(one, left_s), default=None
        )
        if run is None:
            return None
        if run.run_id != self._head_id:
            self._head_id, self._head_since_s = run.run_id, self.clock()
            return run
        patience_s = self._copy_s(run) + self.turn_slack_s
        if self.clock() - self._head_since_s > patience_s:
            # Its gateway does not move it: the others go on.
            self.end(run.run_id)
            return self.head()
        return run

    def _copy_s(self, run: LeavingRun) -> float:
        return run.memory_tokens * self.copy_s_per_token

    def _rank(self, run: LeavingRun, left_s: float) -> tuple[bool, float, str]:
        """Keep the turn; then most value for each token of those that fit.

        Runs that end by themselves, or whose copy would not be complete before
        the server ends, come last.
        """
        if run.run_id == self._head_id:
            return False, float("-inf"), run.run_id
        is_late = run.ends_in_s < left_s or self._copy_s(run) > left_s
        return is_late, -run.value / max(1, run.memory_tokens), run.run_id
