"""State of one backend server as a gateway sees it."""

from attrs import define, field, frozen

from boragespring.fleet.loads import (
    PeerLoad,
    RunLoad,
    ServerLoadTotals,
    ServerReport,
    StatedLoad,
)
from boragespring.server_pace import PaceEstimate

__all__ = [
    "BackendServer",
    "LeavingNotice",
    "PeerLoad",
    "Permit",
    "Registration",
    "RunLoad",
    "ServerAddress",
    "ServerLoadTotals",
    "ServerProcess",
    "ServerReport",
    "StatedLoad",
]


@frozen
class ServerAddress:
    """IP address or host name and TCP port of a backend server."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``, with an IPv6 address in brackets."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@frozen
class Registration:
    """Entry in the store by which a backend server registers.

    Parameters
    ----------
    server_id : str
        Identifier of the server. It belongs either to one process or to a
        location at which a restarted server registers again.
    service : str
        Service that the server belongs to.
    address : ServerAddress
        Address on which the server listens. It may later be reused by a server
        of another service.
    availability_zone : str
        Availability zone in which the server runs.
    slots : int
        Maximum number of requests that the server processes concurrently.
    is_leaving : bool
        Whether the server no longer accepts new requests.
    cold_for_s : float
        Time in seconds for which the server was going to stay cold, and thus slow, when
        it wrote the entry.
    started_at_ms : int
        Start time by the server's clock; compared for equality only.
    sequence : int
        Number of heartbeats since that start; 0 if it is unknown.
    """

    server_id: str
    service: str
    address: ServerAddress
    availability_zone: str
    slots: int
    is_leaving: bool = False
    cold_for_s: float = 0.0
    started_at_ms: int = 0
    sequence: int = 0

    def is_same_process(self, other: "Registration") -> bool:
        """Return whether both were written by the same process."""
        return (
            self.started_at_ms == other.started_at_ms and self.address == other.address
        )


@frozen(cache_hash=True)
class ServerProcess:
    """Identity of one process of a backend server.

    Parameters
    ----------
    server_id : str
        Identifier of the server, under which it may be started again.
    started_at_ms : int
        Start time by the server's clock; compared for equality only.
    """

    server_id: str
    started_at_ms: int

    @classmethod
    def of(cls, server: "BackendServer") -> "ServerProcess":
        """Return the present process of a server."""
        return cls(server.server_id, server.registration.started_at_ms)


@frozen
class LeavingNotice:
    """Notice between gateways that a backend server leaves.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    started_at_ms : int
        Start time by the server's clock, which tells its processes apart.
    is_final : bool
        Whether the server stated it in a reply, so that no entry takes it back.
    """

    server_id: str
    started_at_ms: int
    is_final: bool

    @property
    def process(self) -> ServerProcess:
        """Process that leaves."""
        return ServerProcess(self.server_id, self.started_at_ms)

    @classmethod
    def of(cls, server: "BackendServer") -> "LeavingNotice":
        """Return the notice for a server."""
        return cls(
            server.server_id,
            server.registration.started_at_ms,
            server.has_stated_leaving,
        )


@frozen
class Permit:
    """Permit to send one request to a server that takes a limited rate.

    Parameters
    ----------
    from_s, expires_at_s : float
        Monotonic times in seconds between which it can be used.
    """

    from_s: float
    expires_at_s: float


@define(eq=False)
class BackendServer:
    """Backend server with its load and its recent failures.

    Parameters
    ----------
    registration : Registration
        Latest registration of the server.
    joined_at_s : float
        Monotonic time in seconds at which this gateway first saw the registration.
    left_at_s : float or None
        Monotonic time in seconds at which this gateway detected that the server is
        leaving or no longer registered; None while it accepts new requests.
    is_registered : bool
        Whether the store still holds an entry of the server.
    is_unreachable : bool
        Whether it counts as leaving because it could not be reached, without notice.
    has_stated_leaving : bool
        Whether the server itself stated in a reply that it leaves. No entry in the
        store takes that back, as entries are older.
    report : ServerReport or None
        Latest load report that this gateway fetched.
    runs : dict of str to RunLoad
        Requests of this gateway on the server, by request identifier.
    peer_loads : dict of str to PeerLoad
        Load that linked gateways reported, by gateway name.
    consecutive_failures : int
        Failures since the last success or suspicion.
    suspected_until_s : float
        Monotonic time in seconds until which the server is avoided.
    suspicions : int
        Number of suspicions since the last success.
    paused_until_s : float
        Monotonic time in seconds until which the server wants no requests of this
        gateway.
    rate_limit_per_s : float or None
        Number of requests per second that the server takes from all gateways
        together; None while it names none.
    rate_limited_since_s : float
        Monotonic time in seconds at which this gateway learned of that limit.
    permits : list of Permit
        Permits of this gateway to send requests while there is such a limit.
    cold_until_s : float
        Monotonic time in seconds until which the server is slow and takes requests at
        its cold rate only.
    cold_rate_per_s : float or None
        Number of requests per second that it takes from all gateways together while it
        is cold; None for no limit.
    pace : PaceEstimate
        How fast it works.
    relative_pace : float
        How long its work takes without a slowdown, as a multiple of the mean of its
        service.
    unit_s : float
        Mean time in seconds of a unit of work at the servers of its service; 0 if it is
        not known.
    is_ejected : bool
        Whether it fails more requests than others of its service and gets none, but for
        trials.
    failure_excess : float
        Expected share of failures beyond that of sound servers, between 0 and 1.
    """

    registration: Registration
    joined_at_s: float
    left_at_s: float | None = None
    is_registered: bool = True
    is_unreachable: bool = False
    has_stated_leaving: bool = False
    report: ServerReport | None = None
    runs: dict[str, RunLoad] = field(factory=dict)
    peer_loads: dict[str, PeerLoad] = field(factory=dict)
    consecutive_failures: int = 0
    suspected_until_s: float = float("-inf")
    suspicions: int = 0
    paused_until_s: float = float("-inf")
    rate_limit_per_s: float | None = None
    rate_limited_since_s: float = float("-inf")
    permits: list[Permit] = field(factory=list)
    cold_until_s: float = float("-inf")
    cold_rate_per_s: float | None = None
    pace: PaceEstimate = field(factory=PaceEstimate)
    relative_pace: float = 1.0
    unit_s: float = 0.0
    is_ejected: bool = False
    failure_excess: float = 0.0

    @property
    def server_id(self) -> str:
        """Identifier of the server."""
        return self.registration.server_id

    @property
    def availability_zone(self) -> str:
        """Availability zone in which the server runs."""
        return self.registration.availability_zone

    @property
    def address(self) -> ServerAddress:
        """Address on which the server listens."""
        return self.registration.address

    @property
    def is_leaving(self) -> bool:
        """Whether the server is leaving or no longer registered."""
        return self.left_at_s is not None

    @property
    def leaves_with_notice(self) -> bool:
        """Whether it is leaving, and did not just become unreachable."""
        return self.is_leaving and not self.is_unreachable

    @property
    def open_runs(self) -> int:
        """Number of requests of this gateway and its peers on the server."""
        return len(self.runs) + sum(load.runs for load in self.peer_loads.values())

    @property
    def local_load(self) -> ServerLoadTotals:
        """Load of this gateway's requests."""
        memory_tokens, prefill_tokens = 0.0, 0.0
        for run in self.runs.values():
            memory_tokens += run.memory_tokens
            if not run.produced_tokens:
                prefill_tokens += run.prompt_tokens
        return ServerLoadTotals(len(self.runs), memory_tokens, prefill_tokens)

    @property
    def load(self) -> ServerLoadTotals:
        """Load of all known requests, of this gateway and its peers."""
        # Placement reads this for each candidate, so it makes one pass and uses no
        # generators.
        runs, memory_tokens, prefill_tokens = self.local_load
        for load in self.peer_loads.values():
            runs += load.runs
            memory_tokens += load.memory_tokens
            prefill_tokens += load.prefill_tokens
        return ServerLoadTotals(runs, memory_tokens, prefill_tokens)

    def cold_left_s(self, now_s: float) -> float:
        """Return the remaining time in seconds during which the server is cold."""
        return max(0.0, self.cold_until_s - now_s)

    def rate_per_s(self, now_s: float) -> float | None:
        """Return the requests per second that it takes now; None for no limit."""
        if self.cold_rate_per_s is None or self.cold_until_s <= now_s:
            return self.rate_limit_per_s
        if self.rate_limit_per_s is None:
            return self.cold_rate_per_s
        return min(self.cold_rate_per_s, self.rate_limit_per_s)

    def is_suspected(self, now_s: float) -> bool:
        """Return whether the server is avoided because of recent failures."""
        return self.suspected_until_s > now_s

    def is_paused(self, now_s: float) -> bool:
        """Return whether the server wants no requests of this gateway."""
        return self.paused_until_s > now_s

    def is_rate_limited(self, now_s: float) -> bool:
        """Return whether its rate lets this gateway send no request now."""
        if self.rate_per_s(now_s) is None:
            return False
        self.permits = [each for each in self.permits if each.expires_at_s > now_s]
        return all(each.from_s > now_s for each in self.permits)

    def use_permit(self, now_s: float) -> bool:
        """Use a permit; return whether there was one."""
        if self.is_rate_limited(now_s):
            return False
        used = next((each for each in self.permits if each.from_s <= now_s), None)
        if used is not None:
            self.permits.remove(used)
        return True
