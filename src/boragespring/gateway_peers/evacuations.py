"""Coordinate the evacuation of leaving servers with the other gateways."""

from collections.abc import Callable, Iterable

from boragespring.forwarding.evacuation import LeavingRun
from boragespring.gateway_peers.messages import (
    LeavingRunEnded,
    LeavingRuns,
    ServerLeaving,
    ServerUnreachable,
)
from boragespring.links import Dispatcher, Link, LinkClosedError
from boragespring.links.codec import Message

__all__ = ["EvacuationSharing"]

#: Called with the server and the runs that a peer has to move off it.
AnnounceHook = Callable[[str, list[LeavingRun]], None]
#: Called with the server and the run that a peer no longer has to move.
EndHook = Callable[[str, str], None]
#: Called with the server that a peer reported as leaving or unreachable.
ServerHook = Callable[[str], None]


class EvacuationSharing:
    """Exchange reports on leaving servers and their runs with other gateways.

    The reports of peers are passed to the functions in the lists of hooks.

    Parameters
    ----------
    dispatcher : Dispatcher
        Registry for the message handlers of this class.
    links : callable
        Returns the open links to other gateways.
    """

    def __init__(self, dispatcher: Dispatcher, links: Callable[[], list[Link]]) -> None:
        self._links = links
        self.announce_hooks: list[AnnounceHook] = []
        self.end_hooks: list[EndHook] = []
        self.leaving_hooks: list[ServerHook] = []
        self.unreachable_hooks: list[ServerHook] = []
        dispatcher.on(ServerLeaving, self._handle_leaving)
        dispatcher.on(ServerUnreachable, self._handle_unreachable)
        dispatcher.on(LeavingRuns, self._handle_runs)
        dispatcher.on(LeavingRunEnded, self._handle_end)

    def announce(self, server_id: str, runs: Iterable[LeavingRun]) -> None:
        """Announce the runs that this gateway has to move off a server."""
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
        self._broadcast(LeavingRuns(server_id, rows))

    def notify_ended(self, server_id: str, run_id: str) -> None:
        """Report that a run was moved, has ended, or cannot be moved."""
        self._broadcast(LeavingRunEnded(server_id, run_id))

    def notify_leaving(self, server_id: str) -> None:
        """Report a leaving server, which the store may not show yet."""
        self._broadcast(ServerLeaving(server_id))

    def notify_unreachable(self, server_id: str) -> None:
        """Report an unreachable server, so that the peers probe it themselves."""
        self._broadcast(ServerUnreachable(server_id))

    def _broadcast(self, message: Message) -> None:
        for link in self._links():
            try:
                link.send(message)
            except LinkClosedError:
                # Peers wait only for a bounded time for a run of this gateway.
                continue

    def _handle_runs(self, _: Link, message: LeavingRuns) -> None:
        runs = [
            LeavingRun(
                run_id=str(run_id),
                memory_tokens=int(memory_tokens),
                value=float(value),
                ends_in_s=int(ends_in_ms) / 1000,
                failed_attempts=int(attempts),
            )
            for run_id, memory_tokens, value, ends_in_ms, attempts in message.runs
        ]
        for hook in self.announce_hooks:
            hook(message.server_id, runs)

    def _handle_end(self, _: Link, message: LeavingRunEnded) -> None:
        for hook in self.end_hooks:
            hook(message.server_id, message.run_id)

    def _handle_leaving(self, _: Link, message: ServerLeaving) -> None:
        for hook in self.leaving_hooks:
            hook(message.server_id)

    def _handle_unreachable(self, _: Link, message: ServerUnreachable) -> None:
        for hook in self.unreachable_hooks:
            hook(message.server_id)
