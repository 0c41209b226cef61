"""Track open requests and write one final line for each of them."""

import time
from collections import Counter
from collections.abc import Callable

from attrs import define, field, frozen

from boragespring.decisions import DecisionLog
from boragespring.forwarding.messages import Refusal
from boragespring.forwarding.progress import RequestProgress
from boragespring.metrics.gateway import GatewayMetrics

__all__ = ["OpenRequests", "RequestTracker"]

#: Label for the kind of requests that were not matched with a route.
NO_KIND = "none"
#: Reason of an interruption by the end of the process if no other is known.
STOPPED = "stopped"


@frozen
class OpenRequests:
    """Summary of the requests that are open at one moment.

    Parameters
    ----------
    count : int
        Number of open requests.
    by_kind : dict
        Numbers of requests by kind and stage.
    arrived_before_stop, arrived_after_stop : int
        Number of requests that arrived before and after the stop signal.
    longest_left_s : float
        Longest time in seconds that one of them has left.
    """

    count: int
    by_kind: dict[str, dict[str, int]]
    arrived_before_stop: int
    arrived_after_stop: int
    longest_left_s: float


@define(eq=False)
class RequestTracker:
    """Open requests, each of which ends with exactly one final line.

    Parameters
    ----------
    log : DecisionLog
        Log of the final lines.
    metrics : GatewayMetrics
        Counters of ended and of interrupted requests.
    clock : callable, default=time.monotonic
        Source of monotonic time in seconds.
    """

    log: DecisionLog
    metrics: GatewayMetrics
    clock: Callable[[], float] = time.monotonic
    _open: set[RequestProgress] = field(factory=set)
    _stop_began_at_s: float | None = None
    _end_reason: str = ""

    def open(self, request_id: str, time_remaining_s: float) -> RequestProgress:
        """Track a request whose head has arrived."""
        now_s = self.clock()
        progress = RequestProgress(request_id, now_s, now_s + time_remaining_s)
        self._open.add(progress)
        return progress

    def begin_stop(self) -> None:
        """Record the moment of the stop signal."""
        self._stop_began_at_s = self.clock()

    def begin_end(self, reason: str = STOPPED) -> None:
        """Record why requests that are still open are interrupted from now on."""
        self._end_reason = self._end_reason or reason

    def summarize(self) -> OpenRequests:
        """Return a summary of the open requests."""
        now_s = self.clock()
        stages = Counter((each.kind or NO_KIND, each.stage) for each in self._open)
        by_kind: dict[str, dict[str, int]] = {}
        for (kind, stage), count in sorted(stages.items()):
            by_kind.setdefault(kind, {})[stage.value] = count
        late = sum(self._after_stop_s(each.arrived_at_s) > 0 for each in self._open)
        left_s = max((each.deadline_s - now_s for each in self._open), default=0.0)
        return OpenRequests(
            count=len(self._open),
            by_kind=by_kind,
            arrived_before_stop=len(self._open) - late,
            arrived_after_stop=late,
            longest_left_s=round(left_s, 3),
        )

    def refused(self, progress: RequestProgress, refusal: Refusal) -> None:
        """Write the final line of a request that the gateway itself answers."""
        self._end(
            progress,
            self.log.failure,
            "refused",
            refusal.reason.value,
            reason=refusal.reason.value,
            was_not_run=refusal.was_not_run,
            retry_after_s=refusal.retry_after_s,
            route=progress.route,
            kind=progress.kind,
            held_s=self._took_s(progress),
            **_server_field(progress),
        )

    def answered(
        self, progress: RequestProgress, outcome: str, **inputs: object
    ) -> None:
        """Write the final line of a request that has the reply of a server."""
        is_failure = outcome == "cut" or outcome.startswith("status 5")
        write_line = self.log.failure if is_failure else self.log.request
        self._write_answered(progress, write_line, outcome, **inputs)

    def failed(self, progress: RequestProgress, error: Exception) -> None:
        """Write the final line of a request that an unexpected error ended."""
        reason = repr(error)[:300]
        self._write_interrupted(progress, self.log.failure, "failed", reason)

    def interrupted(self, progress: RequestProgress) -> None:
        """Write the final line of a request whose handling has ended, if it has none.

        Its caller has left, or the process ends.
        """
        if progress.is_ended:
            return
        if progress.has_caller_left:
            self._write_interrupted(progress, self.log.request, "caller_left", "")
            return
        if not self._end_reason:
            self._write_interrupted(progress, self.log.failure, "failed", "no outcome")
            return
        self.metrics.record_cut_by_stop(progress.kind or NO_KIND, progress.stage.value)
        self._write_interrupted(progress, self.log.failure, "cut", self._end_reason)

    def _write_interrupted(
        self,
        progress: RequestProgress,
        write_line: Callable[..., None],
        outcome: str,
        reason: str,
    ) -> None:
        now_s, run = self.clock(), progress.run
        run_fields = (
            {}
            if run is None
            else {
                "events": run.events,
                "moves": run.moves,
                "silent_s": round(run.silent_s(now_s), 3),
            }
        )
        self._write_answered(
            progress,
            write_line,
            outcome,
            reason=reason,
            stage=progress.stage.value,
            sends=progress.sends,
            left_s=round(progress.deadline_s - now_s, 3),
            **_server_field(progress),
            **run_fields,
        )

    def _write_answered(
        self,
        progress: RequestProgress,
        write_line: Callable[..., None],
        outcome: str,
        **inputs: object,
    ) -> None:
        self._end(
            progress,
            write_line,
            "answered",
            outcome,
            outcome=outcome,
            route=progress.route,
            kind=progress.kind,
            workspace=progress.workspace,
            took_s=self._took_s(progress),
            **inputs,
        )

    def _end(
        self,
        progress: RequestProgress,
        write_line: Callable[..., None],
        event: str,
        metric_outcome: str,
        **inputs: object,
    ) -> None:
        if progress.is_ended:
            return
        progress.is_ended = True
        self._open.discard(progress)
        self.metrics.record_ended(
            progress.workspace,
            progress.kind or NO_KIND,
            metric_outcome,
            self.clock() - progress.arrived_at_s,
        )
        write_line(event, progress.request_id, **inputs, **self._stop_fields(progress))

    def _stop_fields(self, progress: RequestProgress) -> dict[str, float]:
        """Return when a request arrived and ended, relative to the stop signal."""
        if self._stop_began_at_s is None:
            return {}
        return {
            "arrived_after_stop_s": round(self._after_stop_s(progress.arrived_at_s), 3),
            "ended_after_stop_s": round(self._after_stop_s(self.clock()), 3),
        }

    def _after_stop_s(self, time_s: float) -> float:
        """Return a time relative to the stop signal; negative if it was before."""
        if self._stop_began_at_s is None:
            return float("-inf")
        return time_s - self._stop_began_at_s

    def _took_s(self, progress: RequestProgress) -> float:
        return round(self.clock() - progress.arrived_at_s, 3)


def _server_field(progress: RequestProgress) -> dict[str, str]:
    server_id = progress.server_id if progress.run is None else progress.run.server_id
    return {"server": server_id} if server_id else {}
