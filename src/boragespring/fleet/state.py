"""Registration, departure and suspicion of backend servers."""

import time
from collections.abc import Callable, Iterable, Sequence
from math import isfinite

from boragespring.decisions import DecisionLog
from boragespring.fleet.departed import DepartedServers
from boragespring.fleet.drained_zones import DrainedZones
from boragespring.fleet.model import BackendServer, Registration, ServerProcess
from boragespring.fleet.settings import FleetSettings

__all__ = ["Fleet", "FleetSettings"]

#: Returns the rate per second that cold servers of a service take, if limited.
ColdRate = Callable[[str], float | None]
#: Called with each server that joins or starts to leave.
ServerHook = Callable[[BackendServer], None]


class Fleet:
    """All backend servers that this gateway knows.

    Parameters
    ----------
    settings : FleetSettings
        Thresholds and durations.
    log : DecisionLog
        Log for joining, leaving and suspected servers.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        settings: FleetSettings,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._log = log
        self._clock = clock
        self._servers: dict[str, BackendServer] = {}
        self._candidates: dict[str, tuple[BackendServer, ...]] = {}
        self._lapsed_at_s: dict[str, float] = {}
        self._departed = DepartedServers()
        self._drained_zones = DrainedZones(clock)
        self.cold_rate_per_s: ColdRate = _unlimited
        self.join_hooks: list[ServerHook] = []
        self.leave_hooks: list[ServerHook] = []

    @property
    def servers(self) -> Iterable[BackendServer]:
        """All servers that are registered or still have requests."""
        return self._servers.values()

    def find(self, server_id: str) -> BackendServer | None:
        """Return a server by its identifier, or None if it is unknown."""
        return self._servers.get(server_id)

    def find_process(self, process: ServerProcess) -> BackendServer | None:
        """Return the server of a process, also while its entry is not in the store."""
        server = self._servers.get(process.server_id) or self._departed.find(
            process.server_id
        )
        if server is None or ServerProcess.of(server) != process:
            return None
        return server

    def candidates(self, service: str) -> Sequence[BackendServer]:
        """Return the servers of a service that may get new requests."""
        # Cached, as every request needs them and they change only when a server
        # joins, leaves or changes its service, or a zone is drained or restored.
        found = self._candidates.get(service)
        if found is None:
            found = tuple(
                server
                for server in self._servers.values()
                if server.registration.service == service
                and not server.is_leaving
                and server.availability_zone not in self._drained_zones
            )
            self._candidates[service] = found
        return found

    def register(self, registration: Registration) -> None:
        """Add or update a server by its registration.

        An entry that is older than the last one of the same process is ignored. A
        store that lost acknowledged changes holds such entries, also of servers that
        have left, until they are written again or expire.
        """
        if self._is_outdated(registration):
            return
        self._lapsed_at_s.pop(registration.server_id, None)
        server = self._servers.get(registration.server_id)
        if server is None:
            server = self._take_departed(registration)
        if server is None or not registration.is_same_process(server.registration):
            self._join(registration)
            return
        if _changes_candidates(server.registration, registration):
            self._candidates.clear()
        if registration != server.registration:
            self.mark_cold(server, registration.cold_for_s)
        server.registration = registration
        server.is_registered = True
        if registration.is_leaving:
            self.mark_leaving(server, "told")
        elif server.is_leaving and not server.has_stated_leaving:
            server.left_at_s = None
            server.is_unreachable = False
            self._candidates.clear()
            self._log_change("server_back", server)

    def mark_leaving(
        self, server: BackendServer, reason: str, is_final: bool = False
    ) -> None:
        """Mark a server as leaving before its registration says so.

        Parameters
        ----------
        server : BackendServer
            Server that leaves.
        reason : str
            Source of the information, for the log.
        is_final : bool, default=False
            Whether the server itself stated it in a reply.
        """
        server.has_stated_leaving |= is_final
        server.is_unreachable = False
        self._leave(server, reason)

    def mark_unreachable(self, server: BackendServer, reason: str) -> None:
        """Mark a server as leaving that refuses connections or does not respond.

        Its registration restores it once the store is available again.
        """
        if not server.is_leaving:
            server.is_unreachable = True
        self._leave(server, reason)

    def unregister(self, server_id: str, reason: str) -> None:
        """Mark a server as leaving after its entry was removed from the store."""
        self._lapsed_at_s.pop(server_id, None)
        server = self._servers.get(server_id)
        if server is None:
            return
        server.is_registered = False
        self._departed.add(server)
        self._leave(server, reason)
        self._remove_if_idle(server)

    def replace_all(
        self,
        registrations: Iterable[Registration],
        is_after_outage: bool,
        kept: Iterable[str] = (),
    ) -> None:
        """Apply all registrations that the store holds.

        Parameters
        ----------
        registrations : iterable of Registration
            Every entry that could be parsed.
        is_after_outage : bool
            Whether entries may be missing because they expired or were lost during
            an outage of the store. Their servers then have `lapse_grace_s` to
            register again.
        kept : iterable of str
            Identifiers of further servers that stay as they are.
        """
        found = {entry.server_id: entry for entry in registrations}
        for registration in found.values():
            self.register(registration)
        listed = {*found, *kept}
        for server in list(self._servers.values()):
            if server.server_id in listed or not server.is_registered:
                continue
            # A snapshot that follows soon does not end the grace period.
            if is_after_outage or server.server_id in self._lapsed_at_s:
                self._lapsed_at_s.setdefault(server.server_id, self._clock())
            else:
                self.unregister(server.server_id, "not listed")

    def expire_lapsed(self) -> None:
        """Unregister servers that did not register again within the grace period."""
        cutoff_s = self._clock() - self._settings.lapse_grace_s
        overdue = [
            server_id
            for server_id, lapsed_at_s in self._lapsed_at_s.items()
            if lapsed_at_s <= cutoff_s
        ]
        for server_id in overdue:
            self.unregister(server_id, "not back after an outage of the store")

    def remove_run(self, server: BackendServer, request_id: str) -> None:
        """Remove a request of this gateway from a server."""
        server.runs.pop(request_id, None)
        self._remove_if_idle(server)

    def record_success(self, server: BackendServer) -> None:
        """Record a successful answer, which ends any suspicion."""
        server.consecutive_failures = 0
        server.suspicions = 0
        server.suspected_until_s = float("-inf")

    def record_failure(
        self, server: BackendServer, reason: str, is_certain: bool = False
    ) -> None:
        """Record a failure of a server and suspect it after too many.

        Parameters
        ----------
        server : BackendServer
            Server that failed.
        reason : str
            Cause of the failure, for the log.
        is_certain : bool, default=False
            Whether a single failure suffices, such as a refused connection.
        """
        server.consecutive_failures += 1
        threshold = 1 if is_certain else self._settings.suspicion_failures
        if server.consecutive_failures < threshold or server.is_suspected(
            self._clock()
        ):
            return
        duration_s = min(
            self._settings.suspicion_base_s * 2**server.suspicions,
            self._settings.suspicion_max_s,
        )
        server.suspected_until_s = self._clock() + duration_s
        server.suspicions += 1
        server.consecutive_failures = 0
        self._log_change("server_suspected", server, reason=reason, for_s=duration_s)

    def record_crash(self, process: ServerProcess) -> None:
        """Suspect a server whose process has crashed, as a gateway found out.

        It is not marked as leaving, as its end is still to be detected by the other
        gateways with runs there.
        """
        server = self.find_process(process)
        if server is not None:
            self.record_failure(server, "crashed", is_certain=True)

    def pause(self, server: BackendServer, duration_s: float) -> None:
        """Send nothing to a server for a time in seconds, as it asked for."""
        for_s = min(duration_s, self._settings.pause_max_s)
        server.paused_until_s = max(server.paused_until_s, self._clock() + for_s)
        self._log_change("server_paused", server, for_s=for_s)

    def limit_rate(self, server: BackendServer, rate_per_s: float | None) -> bool:
        """Apply the rate that a server takes; return whether it is a new one.

        Parameters
        ----------
        server : BackendServer
            Server that named a rate, or none.
        rate_per_s : float or None
            Requests per second from all gateways together; None for no limit.
        """
        if server.rate_limit_per_s == rate_per_s:
            return False
        if server.rate_limit_per_s is None:
            server.rate_limited_since_s = self._clock()
        server.rate_limit_per_s = rate_per_s
        self._log_change("rate_limit", server, rate_per_s=rate_per_s)
        return True

    def mark_cold(self, server: BackendServer, duration_s: float) -> None:
        """Record that a server stays cold for a time in seconds, if for longer.

        Several sources state it, of which the latest end applies.
        """
        until_s = self._clock() + duration_s
        if duration_s <= 0 or until_s <= server.cold_until_s:
            return
        was_cold = server.cold_left_s(self._clock()) > 0
        server.cold_until_s = until_s
        server.cold_rate_per_s = self.cold_rate_per_s(server.registration.service)
        if not was_cold:
            self._log_change(
                "server_cold",
                server,
                for_s=round(duration_s, 3),
                rate_per_s=server.cold_rate_per_s,
                runs=len(server.runs),
            )

    @property
    def drained_zones(self) -> frozenset[str]:
        """Zones to whose servers nothing new is sent."""
        return self._drained_zones.names

    def drained_for_s(self, server: BackendServer) -> float:
        """Return for how long the zone of a server has been drained, in seconds."""
        return self._drained_zones.drained_for_s(server.availability_zone)

    def drain_zones(self, zones: Iterable[str], known_age_s: float) -> None:
        """Send nothing new to the servers of exactly the given zones.

        Parameters
        ----------
        zones : iterable of str
            Names of availability zones; they need not have servers.
        known_age_s : float
            Age in seconds of the information, for the log.
        """
        begun, ended = self._drained_zones.replace(zones)
        if not begun and not ended:
            return
        self._candidates.clear()
        for event, changed in (("zone_drained", begun), ("zone_restored", ended)):
            for zone in changed:
                self._log_zone(event, zone, known_age_s)

    def _log_zone(self, event: str, zone: str, known_age_s: float) -> None:
        affected = [
            server for server in self.servers if server.availability_zone == zone
        ]
        services = {server.registration.service for server in self.servers}
        self._log.state_change(
            event,
            availability_zone=zone,
            servers=len(affected),
            runs=sum(len(server.runs) for server in affected),
            # Infinite before the first snapshot is complete.
            known_age_s=round(known_age_s, 3) if isfinite(known_age_s) else None,
            services_without_servers=sorted(
                service for service in services if not self.candidates(service)
            ),
        )

    def _is_outdated(self, registration: Registration) -> bool:
        server = self._servers.get(registration.server_id)
        if server is None or not server.is_registered:
            return self._departed.is_outdated(registration)
        known = server.registration
        is_older = 0 < registration.sequence < known.sequence
        return is_older and registration.is_same_process(known)

    def _take_departed(self, registration: Registration) -> BackendServer | None:
        """Return the server of a process whose entry had been removed, if known."""
        server = self._departed.take(registration)
        if server is not None:
            self._add(server)
        return server

    def _join(self, registration: Registration) -> None:
        server = BackendServer(registration, joined_at_s=self._clock())
        self._log_change("server_joined", server, address=str(server.address))
        self.mark_cold(server, registration.cold_for_s)
        self._add(server)
        if registration.is_leaving:
            self._leave(server, "told")

    def _add(self, server: BackendServer) -> None:
        self._servers[server.server_id] = server
        self._candidates.clear()
        for hook in self.join_hooks:
            hook(server)

    def _leave(self, server: BackendServer, reason: str) -> None:
        if server.is_leaving:
            return
        server.left_at_s = self._clock()
        self._candidates.clear()
        self._log_change("server_leaving", server, reason=reason, runs=len(server.runs))
        for hook in self.leave_hooks:
            hook(server)

    def _remove_if_idle(self, server: BackendServer) -> None:
        known = self._servers.get(server.server_id)
        if known is server and not server.is_registered and not server.runs:
            del self._servers[server.server_id]
            self._candidates.clear()

    def _log_change(self, event: str, server: BackendServer, **inputs: object) -> None:
        registration = server.registration
        self._log.state_change(
            event,
            server=registration.server_id,
            service=registration.service,
            availability_zone=registration.availability_zone,
            **inputs,
        )


def _changes_candidates(before: Registration, after: Registration) -> bool:
    """Return whether a new entry of a process moves it to other candidates."""
    return (before.service, before.availability_zone) != (
        after.service,
        after.availability_zone,
    )


def _unlimited(service: str) -> None:
    """Return that cold servers take any rate; the default without a catalog."""
