"""Ask model servers themselves while the store cannot tell who leaves."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Protocol

import xxhash
from attrs import frozen

from boragespring.decisions import DecisionLog
from boragespring.fleet import BackendServer, Fleet
from boragespring.fleet.model import ServerReport
from boragespring.forwarding.errors import ForwardingError, ServerUnreachableError

__all__ = ["ReportFetcher", "ServerProber", "ProbeSettings", "is_prober"]


@frozen
class ProbeSettings:
    """How often servers are asked.

    Parameters
    ----------
    interval_s : float
        Time between two questions to one server.
    """

    interval_s: float = 0.3


class ReportFetcher(Protocol):
    """Calls that inspection needs."""

    async def fetch_report(self, server: BackendServer) -> ServerReport:
        """Read a server's load and state; raise `ForwardingError`."""
        ...


def is_prober(server_id: str, local_name: str, peer_names: Iterable[str]) -> bool:
    """Return whether it is this gateway's part to ask a server."""

    def rank(name: str) -> int:
        return xxhash.xxh32_intdigest(f"{server_id} {name}".encode())

    return all(rank(local_name) <= rank(name) for name in peer_names)


class ServerProber:
    """Learn from servers' reports which of them leave.

    Parameters
    ----------
    fleet : Fleet
        Servers.
    calls : ReportFetcher
        How they are asked.
    settings : ProbeSettings
        Times.
    local_name : str
        Name of this gateway.
    peer_names : callable
        Returns the gateways that share the work.
    snapshot_age_limit_s : callable
        Returns the age of what the store told from which servers are asked.
    snapshot_age_s : callable
        Returns the age of what the store told.
    serves_reports : callable
        Returns whether a service's servers give reports.
    notify_leaving : callable
        Tells other gateways that a server leaves.
    notify_unreachable : callable
        Tells other gateways that a server was not reached.
    log : DecisionLog
        Where begin and end are told.
    """

    def __init__(
        self,
        fleet: Fleet,
        calls: ReportFetcher,
        settings: ProbeSettings,
        local_name: str,
        peer_names: Callable[[], Iterable[str]],
        snapshot_age_limit_s: Callable[[], float],
        snapshot_age_s: Callable[[], float],
        serves_reports: Callable[[str], bool],
        notify_leaving: Callable[[str], None],
        notify_unreachable: Callable[[str], None],
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._calls = calls
        self._settings = settings
        self._local_name = local_name
        self._peer_names = peer_names
        self._snapshot_age_limit_s = snapshot_age_limit_s
        self._snapshot_age_s = snapshot_age_s
        self._serves_reports = serves_reports
        self._notify_leaving = notify_leaving
        self._notify_unreachable = notify_unreachable
        self._verifications: set[asyncio.Task[bool]] = set()
        self._log = log
        self._is_active = False

    async def run(self) -> None:
        """Ask as long as the store is away, until cancelled."""
        while True:
            await asyncio.sleep(self._settings.interval_s)
            is_active = self._snapshot_age_s() > self._snapshot_age_limit_s()
            if is_active != self._is_active:
                self._is_active = is_active
                self._log.belief("inspection", is_active=is_active)
            if is_active:
                await asyncio.gather(
                    *map(self._probe_assigned, self._assigned_servers())
                )

    def on_server_leaving(self, server_id: str) -> None:
        """Take in that another gateway found a server to be leaving."""
        server = self._fleet.find(server_id)
        if server is not None:
            self._fleet.mark_leaving(server, "told by another gateway")

    def on_server_unreachable(self, server_id: str) -> None:
        """See for itself whether a server that another gateway missed is there.

        The other gateway may be cut off from the server, so that its word alone
        does not count.
        """
        server = self._fleet.find(server_id)
        if server is None or server.is_leaving or not self._is_active:
            return
        verification = asyncio.create_task(self._probe(server))
        self._verifications.add(verification)
        verification.add_done_callback(self._verifications.discard)

    async def _probe_assigned(self, server: BackendServer) -> None:
        if not await self._probe(server):
            self._notify_unreachable(server.server_id)

    def _assigned_servers(self) -> list[BackendServer]:
        peer_names = tuple(self._peer_names())
        return [
            server
            for server in self._fleet.servers
            if not server.is_leaving
            and self._serves_reports(server.registration.service)
            and is_prober(server.server_id, self._local_name, peer_names)
        ]

    async def _probe(self, server: BackendServer) -> bool:
        """Ask a server; return whether it was reached."""
        requested_at_s = time.monotonic()
        try:
            report = await self._calls.fetch_report(server)
        except ForwardingError as error:
            self._log.belief(
                "report_missing",
                server=server.server_id,
                reason=str(error),
                waited_s=round(time.monotonic() - requested_at_s, 3),
            )
            if isinstance(error, ServerUnreachableError):
                # Its entry brings it back, once the store tells of it again.
                self._fleet.mark_leaving(server, f"no report: {error}")
                return False
            self._fleet.note_failure(server, f"no report: {error}")
            return True
        server.report = report
        if report.is_leaving:
            self._fleet.mark_leaving(server, "its report")
            self._notify_leaving(server.server_id)
        return True
