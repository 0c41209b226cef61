"""Coordinate the evacuation of leaving servers with the other gateways."""

from collections.abc import Callable, Iterable

from boragespring.external_values import (
    INTEGER_MAX,
    check_integer,
    check_number,
    check_row,
    check_string,
)
from boragespring.fleet.model import LeavingNotice
from boragespring.forwarding.evacuation import LeavingRun
from boragespring.gateway_peers.messages import (
    LeavingRunEnded,
    LeavingRuns,
    ServerLeaving,
    ServerUnreachable,
)
from boragespring.gateway_peers.network import PeerNetwork

__all__ = ["EvacuationSharing"]

#: Called with the server and the runs that a peer has to move off it.
AnnounceHook = Callable[[str, list[LeavingRun]], None]
#: Called with the server and the run that a peer no longer has to move.
EndHook = Callable[[str, str], None]
#: Called with the notice of a peer that a server leaves.
LeavingHook = Callable[[LeavingNotice], None]
#: Called with the server that a peer reported as unreachable.
ServerHook = Callable[[str], None]


class EvacuationSharing:
    """Exchange reports on leaving servers and their runs with other gateways.

    The reports of peers are passed to the functions in the lists of hooks.

    Parameters
    ----------
    network : PeerNetwork
        Links to the other gateways.
    has_load : callable
        Returns whether a gateway, or one for which it relays, may have requests on a
        server. Only such gateways need to know which runs are moved off the server.
    """

    def __init__(
        self, network: PeerNetwork, has_load: Callable[[str, str], bool]
    ) -> None:
        self._network = network
        self._has_load = has_load
        self.announce_hooks: list[AnnounceHook] = []
        self.end_hooks: list[EndHook] = []
        self.leaving_hooks: list[LeavingHook] = []
        self.unreachable_hooks: list[ServerHook] = []
        network.on_broadcast(ServerLeaving, self._handle_leaving)
        network.on_broadcast(ServerUnreachable, self._handle_unreachable)
        network.on_broadcast(LeavingRuns, self._handle_runs, self._needs)
        network.on_broadcast(LeavingRunEnded, self._handle_end, self._needs)

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
        self._network.broadcast(LeavingRuns(server_id, rows), self._needs)

    def notify_ended(self, server_id: str, run_id: str) -> None:
        """Report that a run was moved, has ended, or cannot be moved."""
        self._network.broadcast(LeavingRunEnded(server_id, run_id), self._needs)

    def notify_leaving(self, notice: LeavingNotice) -> None:
        """Report a leaving server, which the store may not show yet."""
        self._network.broadcast(
            ServerLeaving(notice.server_id, notice.started_at_ms, notice.is_final)
        )

    def notify_unreachable(self, server_id: str) -> None:
        """Report an unreachable server, so that the peers probe it themselves."""
        self._network.broadcast(ServerUnreachable(server_id))

    def _needs(self, name: str, message: LeavingRuns | LeavingRunEnded) -> bool:
        return self._has_load(name, message.server_id)

    def _handle_runs(self, message: LeavingRuns) -> None:
        runs = [_read_run(row) for row in message.runs]
        for hook in self.announce_hooks:
            hook(message.server_id, runs)

    def _handle_end(self, message: LeavingRunEnded) -> None:
        for hook in self.end_hooks:
            hook(message.server_id, message.run_id)

    def _handle_leaving(self, message: ServerLeaving) -> None:
        notice = LeavingNotice(
            message.server_id, message.started_at_ms, message.is_final
        )
        for hook in self.leaving_hooks:
            hook(notice)

    def _handle_unreachable(self, message: ServerUnreachable) -> None:
        for hook in self.unreachable_hooks:
            hook(message.server_id)


def _read_run(row: object) -> LeavingRun:
    run_id, memory_tokens, value, ends_in_ms, attempts = check_row(row, 5)
    return LeavingRun(
        run_id=check_string(run_id),
        memory_tokens=check_integer(memory_tokens),
        value=check_number(value, low=-INTEGER_MAX),
        ends_in_s=check_integer(ends_in_ms, low=-INTEGER_MAX) / 1000,
        failed_attempts=check_integer(attempts),
    )
