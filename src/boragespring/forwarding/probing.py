"""Probe model servers for departures while the store is unavailable."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import frozen

from boragespring.background_tasks import start_background_task
from boragespring.decisions import DecisionLog
from boragespring.event_loop import sleep_until_tick
from boragespring.fleet import BackendServer, Fleet
from boragespring.fleet.model import LeavingNotice, ServerReport
from boragespring.forwarding.errors import ForwardingError, ServerUnreachableError
from boragespring.rendezvous import is_responsible

__all__ = ["ProbeSettings", "ReportFetcher", "ServerProber"]


@frozen
class ProbeSettings:
    """Timing of probes.

    Parameters
    ----------
    interval_s : float
        Time in seconds between two probes of the same server.
    """

    interval_s: float = 0.3


class ReportFetcher(Protocol):
    """Source of server reports."""

    async def fetch_report(self, server: BackendServer) -> ServerReport:
        """Fetch the load and state of a server.

        Raises
        ------
        ForwardingError
            If no valid report was received.
        """
        ...


class ServerProber:
    """Detect leaving servers from their own reports.

    Parameters
    ----------
    fleet : Fleet
        Known backend servers.
    calls : ReportFetcher
        Client that fetches reports.
    settings : ProbeSettings
        Timing of probes.
    local_name : str
        Name of this gateway.
    prober_names : callable
        Returns the names of the gateways among which the servers are divided. A
        gateway that is not among them probes none.
    snapshot_age_limit_s : callable
        Returns the snapshot age in seconds above which servers are probed.
    snapshot_age_s : callable
        Returns the age in seconds of the snapshot of the store's content.
    serves_reports : callable
        Returns whether the servers of a service provide reports.
    notify_leaving : callable
        Notifies other gateways that a server is leaving.
    notify_unreachable : callable
        Notifies other gateways that a server could not be reached.
    log : DecisionLog
        Log of state changes.
    """

    def __init__(
        self,
        fleet: Fleet,
        calls: ReportFetcher,
        settings: ProbeSettings,
        local_name: str,
        prober_names: Callable[[], Iterable[str]],
        snapshot_age_limit_s: Callable[[], float],
        snapshot_age_s: Callable[[], float],
        serves_reports: Callable[[str], bool],
        notify_leaving: Callable[[LeavingNotice], None],
        notify_unreachable: Callable[[str], None],
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._calls = calls
        self._settings = settings
        self._local_name = local_name
        self._prober_names = prober_names
        self._snapshot_age_limit_s = snapshot_age_limit_s
        self._snapshot_age_s = snapshot_age_s
        self._serves_reports = serves_reports
        self._notify_leaving = notify_leaving
        self._notify_unreachable = notify_unreachable
        self._verifications: set[asyncio.Task[bool]] = set()
        self._log = log
        self._is_active = False

    async def run(self) -> None:
        """Probe servers whenever the snapshot is too old, until cancelled."""
        while True:
            await sleep_until_tick(self._settings.interval_s)
            is_active = self._snapshot_age_s() > self._snapshot_age_limit_s()
            if is_active != self._is_active:
                self._is_active = is_active
                self._log.state_change("inspection", is_active=is_active)
            if is_active:
                await asyncio.gather(
                    *map(self._probe_assigned, self._assigned_servers())
                )

    def on_server_unreachable(self, server_id: str) -> None:
        """Probe a server that another gateway could not reach.

        A report by another gateway alone does not mark the server as leaving, because
        that gateway may itself be disconnected from the server. It reports this only
        once, so that the server is probed here even if the snapshot is recent.
        """
        server = self._fleet.find(server_id)
        if server is None or not self._may_probe(server):
            return
        start_background_task(self._probe(server), self._verifications)

    async def _probe_assigned(self, server: BackendServer) -> None:
        if not await self._probe(server):
            self._notify_unreachable(server.server_id)

    def _assigned_servers(self) -> list[BackendServer]:
        names = set(self._prober_names())
        if self._local_name not in names:
            return []
        peer_names = names - {self._local_name}
        return [
            server
            for server in self._fleet.servers
            if self._may_probe(server)
            and is_responsible(server.server_id, self._local_name, peer_names)
        ]

    def _may_probe(self, server: BackendServer) -> bool:
        return (
            not server.is_leaving
            and not server.is_paused(time.monotonic())
            # Its rate is left to requests, whose replies state as well that it leaves.
            and server.rate_limit_per_s is None
            and self._serves_reports(server.registration.service)
        )

    async def _probe(self, server: BackendServer) -> bool:
        """Fetch a server's report and return whether the server was reached."""
        requested_at_s = time.monotonic()
        try:
            report = await self._calls.fetch_report(server)
        except ForwardingError as error:
            self._log.state_change(
                "report_missing",
                server=server.server_id,
                reason=str(error),
                waited_s=round(time.monotonic() - requested_at_s, 3),
            )
            if isinstance(error, ServerUnreachableError):
                self._fleet.mark_unreachable(server, f"no report: {error}")
                return False
            self._fleet.record_failure(server, f"no report: {error}")
            return True
        server.report = report
        if report.is_leaving:
            self._fleet.mark_leaving(server, "its report")
            self._notify_leaving(LeavingNotice.of(server))
        return True
