"""Tell other gateways which runs this one moves off a leaving server."""

from collections.abc import Callable, Iterable

from boragespring.forwarding.evacuation import LeavingRun
from boragespring.links import Dispatcher, Link, LinkClosedError
from boragespring.links.codec import Message
from boragespring.sharing.messages import (
    LeavingRunEnded,
    LeavingRuns,
    ServerLeaving,
    ServerUnreachable,
)

__all__ = ["EvacuationSharing"]

AnnounceHook = Callable[[str, list[LeavingRun]], None]
EndHook = Callable[[str, str], None]
LeavingHook = Callable[[str], None]


class EvacuationSharing:
    """Send and receive the runs of leaving servers.

    Parameters
    ----------
    dispatcher : Dispatcher
        Handlers of links.
    links : callable
        Returns the open links to other gateways.
    """

    def __init__(self, dispatcher: Dispatcher, links: Callable[[], list[Link]]) -> None:
        self._links = links
        self.announce_hooks: list[AnnounceHook] = []
        self.end_hooks: list[EndHook] = []
        self.leaving_hooks: list[LeavingHook] = []
        self.unreachable_hooks: list[LeavingHook] = []
        dispatcher.on(ServerLeaving, self._take_leaving)
        dispatcher.on(ServerUnreachable, self._take_unreachable)
        dispatcher.on(LeavingRuns, self._take_runs)
        dispatcher.on(LeavingRunEnded, self._take_end)

    def announce(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Tell which runs this gateway has to move off a server."""
        rows = [
            [
                run.run_id,
                run.memory_tokens,
                round(run.value, 3),
                round(run.ends_in_s * 1000),
                run.failed_attempts,
            ]
            for run in runs
        ]
        self._send(LeavingRuns(server_id, rows))

    def notify_ended(self, server_id: str, run_id: str) -> None:
        """Tell that a run was moved, has ended, or cannot be moved."""
        self._send(LeavingRunEnded(server_id, run_id))

    def tell_leaving(self, server_id: str) -> None:
        """Tell that a server leaves, which the store may not show."""
        self._send(ServerLeaving(server_id))

    def tell_unreachable(self, server_id: str) -> None:
        """Tell that a server was not reached, for others to see for themselves."""
        self._send(ServerUnreachable(server_id))

    def _send(self, told: Message) -> None:
        for link in self._links():
            try:
                link.send(told)
            except LinkClosedError:
                # Without word from here the others wait for a bounded time.
                continue

    def _take_runs(self, _: Link, told: LeavingRuns) -> None:
        runs = [
            LeavingRun(
                run_id=str(run_id),
                memory_tokens=int(memory_tokens),
                value=float(value),
                ends_in_s=int(ends_in_ms) / 1000,
                failed_attempts=int(failed_attempts),
            )
            for run_id, memory_tokens, value, ends_in_ms, failed_attempts in told.runs
        ]
        for hook in self.announce_hooks:
            hook(told.server_id, runs)

    def _take_end(self, _: Link, told: LeavingRunEnded) -> None:
        for hook in self.end_hooks:
            hook(told.server_id, told.run_id)

    def _take_leaving(self, _: Link, told: ServerLeaving) -> None:
        for hook in self.leaving_hooks:
            hook(told.server_id)

    def _take_unreachable(self, _: Link, told: ServerUnreachable) -> None:
        for hook in self.unreachable_hooks:
            hook(told.server_id)
