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

__all__ = ["FetchesReports", "Inspection", "InspectionSettings", "is_inspector"]


@frozen
class InspectionSettings:
    """How often servers are asked.

    Parameters
    ----------
    interval_s : float
        Time between two questions to one server.
    """

    interval_s: float = 0.3


class FetchesReports(Protocol):
    """Calls that inspection needs."""

    async def fetch_report(self, server: BackendServer) -> ServerReport:
        """Read a server's load and state; raise `ForwardingError`."""
        ...


def is_inspector(server_id: str, own_name: str, peer_names: Iterable[str]) -> bool:
    """Return whether it is this gateway's part to ask a server."""

    def rank(name: str) -> int:
        return xxhash.xxh32_intdigest(f"{server_id} {name}".encode())

    return all(rank(own_name) <= rank(name) for name in peer_names)


class Inspection:
    """Learn from servers' reports which of them leave.

    Parameters
    ----------
    fleet : Fleet
        Servers.
    calls : FetchesReports
        How they are asked.
    settings : InspectionSettings
        Times.
    own_name : str
        Name of this gateway.
    peer_names : callable
        Returns the gateways that share the work.
    copy_age_limit_s : callable
        Returns the age of what the store told from which servers are asked.
    copy_age_s : callable
        Returns the age of what the store told.
    serves_reports : callable
        Returns whether a service's servers give reports.
    tell_leaving : callable
        Tells other gateways that a server leaves.
    tell_unreachable : callable
        Tells other gateways that a server was not reached.
    log : DecisionLog
        Where begin and end are told.
    """

    def __init__(
        self,
        fleet: Fleet,
        calls: FetchesReports,
        settings: InspectionSettings,
        own_name: str,
        peer_names: Callable[[], Iterable[str]],
        copy_age_limit_s: Callable[[], float],
        copy_age_s: Callable[[], float],
        serves_reports: Callable[[str], bool],
        tell_leaving: Callable[[str], None],
        tell_unreachable: Callable[[str], None],
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._calls = calls
        self._settings = settings
        self._own_name = own_name
        self._peer_names = peer_names
        self._copy_age_limit_s = copy_age_limit_s
        self._copy_age_s = copy_age_s
        self._serves_reports = serves_reports
        self._tell_leaving = tell_leaving
        self._tell_unreachable = tell_unreachable
        self._checks: set[asyncio.Task[bool]] = set()
        self._log = log
        self._is_active = False

    async def run(self) -> None:
        """Ask as long as the store is away, until cancelled."""
        while True:
            await asyncio.sleep(self._settings.interval_s)
            is_active = self._copy_age_s() > self._copy_age_limit_s()
            if is_active != self._is_active:
                self._is_active = is_active
                self._log.state_change("inspection", is_active=is_active)
            if is_active:
                await asyncio.gather(*map(self._inspect_own, self._own_part()))

    def take_leaving(self, server_id: str) -> None:
        """Take in that another gateway found a server to be leaving."""
        server = self._fleet.find(server_id)
        if server is not None:
            self._fleet.mark_leaving(server, "told by another gateway")

    def check(self, server_id: str) -> None:
        """See for itself whether a server that another gateway missed is there.

        The other gateway may be cut off from the server, so that its word alone
        does not count.
        """
        server = self._fleet.find(server_id)
        if server is None or server.is_leaving or not self._is_active:
            return
        check = asyncio.create_task(self._inspect(server))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _inspect_own(self, server: BackendServer) -> None:
        if not await self._inspect(server):
            self._tell_unreachable(server.server_id)

    def _own_part(self) -> list[BackendServer]:
        peer_names = tuple(self._peer_names())
        return [
            server
            for server in self._fleet.servers
            if not server.is_leaving
            and self._serves_reports(server.registration.service)
            and is_inspector(server.server_id, self._own_name, peer_names)
        ]

    async def _inspect(self, server: BackendServer) -> bool:
        """Ask a server; return whether it was reached."""
        asked_at_s = time.monotonic()
        try:
            report = await self._calls.fetch_report(server)
        except ForwardingError as error:
            self._log.state_change(
                "report_missing",
                server=server.server_id,
                reason=str(error),
                waited_s=round(time.monotonic() - asked_at_s, 3),
            )
            if isinstance(error, ServerUnreachableError):
                # Its entry brings it back, once the store tells of it again.
                self._fleet.mark_leaving(server, f"no report: {error}")
                return False
            self._fleet.record_failure(server, f"no report: {error}")
            return True
        server.report = report
        if report.is_leaving:
            self._fleet.mark_leaving(server, "its report")
            self._tell_leaving(server.server_id)
        return True
