"""Apply what backend servers state about themselves with their replies."""

from collections.abc import Callable

from attrs import frozen

from boragespring.decisions import DecisionLog
from boragespring.fleet import BackendServer, Fleet, ServerPaces, ServerProcess
from boragespring.fleet.model import LeavingNotice, StatedLoad

__all__ = ["ServerStatement", "ServerStatements"]


@frozen
class ServerStatement:
    """Statement of a backend server about itself in the head of a reply.

    Parameters
    ----------
    is_leaving : bool
        Whether the server leaves and accepts no new requests.
    retry_after_s : float or None
        Time in seconds for which the server wants no requests of this gateway.
    unreadable_retry_after : str
        Value for that time that is no usable number; empty if there is none.
    rate_limit_per_s : float or None
        Number of requests per second that the server takes from all gateways
        together; None if it names none.
    unreadable_rate_limit : str
        Value for that rate that is no usable number; empty if there is none.
    sent_at_s : float
        Monotonic time in seconds at which the request was sent.
    cold_for_s : float
        Time in seconds for which the server stays cold; 0 if it is not.
    unreadable_cold_time : str
        Value for that time that is no usable number; empty if there is none.
    load : StatedLoad or None
        Load of the server; None if it states none.
    unreadable_load : str
        Value for the load that is not usable; empty if there is none.
    """

    is_leaving: bool = False
    retry_after_s: float | None = None
    unreadable_retry_after: str = ""
    rate_limit_per_s: float | None = None
    unreadable_rate_limit: str = ""
    sent_at_s: float = float("inf")
    cold_for_s: float = 0.0
    unreadable_cold_time: str = ""
    load: StatedLoad | None = None
    unreadable_load: str = ""


class ServerStatements:
    """Apply the statements in all replies to the fleet.

    Parameters
    ----------
    fleet : Fleet
        Known backend servers.
    paces : ServerPaces
        Pace of each server.
    notify_leaving : callable
        Notifies other gateways that a server is leaving.
    notify_rate : callable
        Notifies other gateways of the rate that a server takes.
    log : DecisionLog
        Log of unreadable statements and of notices that do not apply.
    """

    def __init__(
        self,
        fleet: Fleet,
        paces: ServerPaces,
        notify_leaving: Callable[[LeavingNotice], None],
        notify_rate: Callable[[ServerProcess, float | None], None],
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._paces = paces
        self._notify_leaving = notify_leaving
        self._notify_rate = notify_rate
        self._log = log

    def apply(self, server: BackendServer, statement: ServerStatement) -> None:
        """Apply a statement that a server made in a reply to this gateway."""
        if statement.is_leaving and not server.has_stated_leaving:
            self._fleet.mark_leaving(server, "its reply", is_final=True)
            self._notify_leaving(LeavingNotice.of(server))
        if statement.retry_after_s is not None:
            self._fleet.pause(server, statement.retry_after_s)
        self._fleet.mark_cold(server, statement.cold_for_s)
        if statement.load is not None:
            self._paces.record_load(server, statement.load)
        self._log_unreadable(server, statement)
        self._apply_rate_limit(server, statement)

    def _log_unreadable(
        self, server: BackendServer, statement: ServerStatement
    ) -> None:
        unreadable = {
            "retry_after_unreadable": statement.unreadable_retry_after,
            "rate_limit_unreadable": statement.unreadable_rate_limit,
            "cold_time_unreadable": statement.unreadable_cold_time,
            "load_unreadable": statement.unreadable_load,
        }
        for event, value in unreadable.items():
            if value:
                self._log.state_change(event, server=server.server_id, value=value)

    def _apply_rate_limit(
        self, server: BackendServer, statement: ServerStatement
    ) -> None:
        if statement.unreadable_rate_limit:
            return
        is_older = statement.sent_at_s < server.rate_limited_since_s
        if statement.rate_limit_per_s is None and is_older:
            # The reply may have been written before the limit was named.
            return
        if self._fleet.limit_rate(server, statement.rate_limit_per_s):
            self._notify_rate(ServerProcess.of(server), statement.rate_limit_per_s)

    def on_notice(self, notice: LeavingNotice) -> None:
        """Apply the statement that a server made to another gateway."""
        server = self._fleet.find_process(notice.process)
        if server is None:
            self._log.state_change(
                "leaving_notice_ignored",
                server=notice.server_id,
                reason="no such process of a server is known",
            )
            return
        self._fleet.mark_leaving(
            server, "told by another gateway", is_final=notice.is_final
        )
