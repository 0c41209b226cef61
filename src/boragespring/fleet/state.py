"""Backend servers by identity, with joining, leaving and suspicion."""

import time
from collections.abc import Callable, Iterable, Sequence

from attrs import frozen

from boragespring.decisions import DecisionLog
from boragespring.fleet.model import BackendServer, Registration

__all__ = ["Fleet", "FleetSettings"]

LeaveHook = Callable[[BackendServer], None]


@frozen
class FleetSettings:
    """When a backend server is avoided and forgotten.

    Parameters
    ----------
    suspicion_failures : int
        Failures in a row from which a server is avoided.
    suspicion_base_s : float
        Time of the first avoidance; each further one is twice as long.
    suspicion_max_s : float
        Longest avoidance.
    lapse_grace_s : float
        Time for which a server whose entry lapsed while the store was away
        may register again before it counts as gone.
    """

    suspicion_failures: int = 2
    suspicion_base_s: float = 1.0
    suspicion_max_s: float = 8.0
    lapse_grace_s: float = 2.0


class Fleet:
    """All backend servers that this entry knows.

    Parameters
    ----------
    settings : FleetSettings
        Times and thresholds.
    log : DecisionLog
        Where changes are told.
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
        self._lapsing_since_s: dict[str, float] = {}
        self.leave_hooks: list[LeaveHook] = []

    @property
    def servers(self) -> Iterable[BackendServer]:
        """All servers that are registered or still have runs."""
        return self._servers.values()

    def find(self, server_id: str) -> BackendServer | None:
        """Return a server by its identity."""
        return self._servers.get(server_id)

    def candidates(self, service: str) -> Sequence[BackendServer]:
        """Return the servers of a service that take new requests."""
        # Asked for each request, and the same until a server joins or leaves.
        found = self._candidates.get(service)
        if found is None:
            found = tuple(
                server
                for server in self._servers.values()
                if server.registration.service == service and not server.is_leaving
            )
            self._candidates[service] = found
        return found

    def register(self, registration: Registration) -> None:
        """Take in what a server told of itself."""
        self._lapsing_since_s.pop(registration.server_id, None)
        server = self._servers.get(registration.server_id)
        if server is None or _is_other_start(server.registration, registration):
            self._join(registration)
            return
        if registration.service != server.registration.service:
            self._candidates.clear()
        server.registration = registration
        server.is_registered = True
        if registration.is_leaving:
            self._leave(server, "told")
        elif server.left_at_s is not None:
            server.left_at_s = None
            self._candidates.clear()
            self._tell("server_back", server)

    def mark_leaving(self, server: BackendServer, reason: str) -> None:
        """Note that a server leaves though its entry does not say so yet."""
        self._leave(server, reason)

    def unregister(self, server_id: str, reason: str) -> None:
        """Note that a server's entry was removed."""
        self._lapsing_since_s.pop(server_id, None)
        server = self._servers.get(server_id)
        if server is None:
            return
        server.is_registered = False
        self._leave(server, reason)
        self._forget_if_idle(server)

    def replace_all(
        self, registrations: Iterable[Registration], is_after_outage: bool
    ) -> None:
        """Take in all entries at once.

        Parameters
        ----------
        registrations : iterable of Registration
            Every entry that could be read.
        is_after_outage : bool
            Whether entries may be missing because the store was away. Their
            servers then have `lapse_grace_s` to register again.
        """
        found = {entry.server_id: entry for entry in registrations}
        for registration in found.values():
            self.register(registration)
        for server in list(self._servers.values()):
            if server.server_id in found or not server.is_registered:
                continue
            if is_after_outage:
                self._lapsing_since_s.setdefault(server.server_id, self._clock())
            else:
                self.unregister(server.server_id, "not listed")

    def expire_lapsed(self) -> None:
        """Give up servers that did not register again in time."""
        due_s = self._clock() - self._settings.lapse_grace_s
        overdue = [
            server_id
            for server_id, since_s in self._lapsing_since_s.items()
            if since_s <= due_s
        ]
        for server_id in overdue:
            self.unregister(server_id, "not back after an outage of the store")

    def remove_run(self, server: BackendServer, request_id: str) -> None:
        """Forget a request of this entry at a server."""
        server.runs.pop(request_id, None)
        self._forget_if_idle(server)

    def record_success(self, server: BackendServer) -> None:
        """Record an answer of a server."""
        server.consecutive_failures = 0
        server.suspicions = 0
        server.suspected_until_s = float("-inf")

    def record_failure(
        self, server: BackendServer, reason: str, is_certain: bool = False
    ) -> None:
        """Record a failure of a server; avoid it when there are too many.

        A certain failure, as of a connection, is one too many by itself.
        """
        server.consecutive_failures += 1
        needed = 1 if is_certain else self._settings.suspicion_failures
        if server.consecutive_failures < needed or server.is_suspected(self._clock()):
            return
        pause_s = self._settings.suspicion_base_s * 2**server.suspicions
        server.suspected_until_s = self._clock() + min(
            pause_s, self._settings.suspicion_max_s
        )
        server.suspicions += 1
        server.consecutive_failures = 0
        self._tell("server_suspected", server, reason=reason, for_s=pause_s)

    def _join(self, registration: Registration) -> None:
        server = BackendServer(registration, joined_at_s=self._clock())
        self._servers[registration.server_id] = server
        self._candidates.clear()
        self._tell("server_joined", server, address=str(server.address))
        if registration.is_leaving:
            self._leave(server, "told")

    def _leave(self, server: BackendServer, reason: str) -> None:
        if server.is_leaving:
            return
        server.left_at_s = self._clock()
        self._candidates.clear()
        self._tell("server_leaving", server, reason=reason, runs=len(server.runs))
        for hook in self.leave_hooks:
            hook(server)

    def _forget_if_idle(self, server: BackendServer) -> None:
        known = self._servers.get(server.server_id)
        if known is server and not server.is_registered and not server.runs:
            del self._servers[server.server_id]
            self._candidates.clear()

    def _tell(self, event: str, server: BackendServer, **inputs: object) -> None:
        registration = server.registration
        self._log.state_change(
            event,
            server=registration.server_id,
            service=registration.service,
            availability_zone=registration.availability_zone,
            **inputs,
        )


def _is_other_start(known: Registration, told: Registration) -> bool:
    return known.started_at_ms != told.started_at_ms or known.address != told.address
