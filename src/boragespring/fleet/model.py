"""What an entry knows of one backend server."""

from typing import NamedTuple

from attrs import define, field, frozen

__all__ = [
    "BackendServer",
    "PeerLoad",
    "Registration",
    "RunLoad",
    "ServerAddress",
    "ServerLoadTotals",
    "ServerReport",
]


@frozen
class ServerAddress:
    """IP address and TCP port of a backend server."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as it is written."""
        return f"{self.host}:{self.port}"


@frozen
class Registration:
    """What a backend server tells of itself in the store.

    Parameters
    ----------
    server_id : str
        Identity of one start of the server, or of a place it returns to.
    service : str
        Service that it belongs to.
    address : ServerAddress
        Where it listens. The address may later belong to another service.
    availability_zone : str
        Where it runs.
    slots : int
        Requests that it works on at once.
    is_leaving : bool
        Whether it asks for no new requests.
    warm_up_s : float
        Time for which it stays slow after its start.
    started_at_ms : int
        Time of its start by its own clock; compared for equality only.
    """

    server_id: str
    service: str
    address: ServerAddress
    availability_zone: str
    slots: int
    is_leaving: bool = False
    warm_up_s: float = 0.0
    started_at_ms: int = 0


@frozen
class ServerReport:
    """Load of a model engine as it told it, some time ago.

    Parameters
    ----------
    running, waiting : int
        Requests that run and that wait at the engine.
    memory_used_tokens, memory_total_tokens : int
        Memory that cannot be evicted, and all of it.
    reported_at_s : float
        Monotonic time at which the report arrived.
    is_leaving : bool
        Whether the server takes no new requests.
    leaves_in_s : float or None
        Time until the server ends; None while it is not known.
    """

    running: int
    waiting: int
    memory_used_tokens: int
    memory_total_tokens: int
    reported_at_s: float
    is_leaving: bool = False
    leaves_in_s: float | None = None


@define(eq=False)
class RunLoad:
    """Load of one request that this entry has at a backend server.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt; 0 for a call to a plain service.
    output_tokens : float
        Expected length of the answer.
    sent_at_s : float
        Monotonic time of the dispatch.
    produced_tokens : int
        Tokens that have arrived.
    """

    prompt_tokens: int
    output_tokens: float
    sent_at_s: float
    produced_tokens: int = 0

    @property
    def is_started(self) -> bool:
        """Whether the first token has arrived."""
        return self.produced_tokens > 0

    @property
    def memory_tokens(self) -> float:
        """Memory that the run is expected to hold at its end."""
        return self.prompt_tokens + max(self.output_tokens, self.produced_tokens)


@frozen
class PeerLoad:
    """Load that another gateway told of one backend server.

    Parameters
    ----------
    runs : int
        Requests that it has there.
    memory_tokens : float
        Memory that they are expected to hold at their end.
    prefill_tokens : float
        Prompt tokens that still wait to be read.
    received_at_s : float
        Monotonic time at which it arrived.
    """

    runs: int
    memory_tokens: float
    prefill_tokens: float
    received_at_s: float


class ServerLoadTotals(NamedTuple):
    """Runs at a server, the memory they will hold, and prompts to be read."""

    runs: int
    memory_tokens: float
    prefill_tokens: float


@define(eq=False)
class BackendServer:
    """One backend server with what this entry knows of it.

    Parameters
    ----------
    registration : Registration
        What it told last.
    joined_at_s : float
        Monotonic time at which this entry first heard of it.
    left_at_s : float or None
        Monotonic time at which this entry heard that it leaves or is gone.
    """

    registration: Registration
    joined_at_s: float
    left_at_s: float | None = None
    is_registered: bool = True
    report: ServerReport | None = None
    runs: dict[str, RunLoad] = field(factory=dict)
    peer_loads: dict[str, PeerLoad] = field(factory=dict)
    consecutive_failures: int = 0
    suspected_until_s: float = float("-inf")
    suspicions: int = 0

    @property
    def server_id(self) -> str:
        """Identity of the server."""
        return self.registration.server_id

    @property
    def availability_zone(self) -> str:
        """Where the server runs."""
        return self.registration.availability_zone

    @property
    def address(self) -> ServerAddress:
        """Where the server listens."""
        return self.registration.address

    @property
    def is_leaving(self) -> bool:
        """Whether the server asks for no new requests or is gone."""
        return self.left_at_s is not None

    @property
    def open_runs(self) -> int:
        """Requests that this gateway and its peers have there."""
        return len(self.runs) + sum(load.runs for load in self.peer_loads.values())

    @property
    def local_load(self) -> ServerLoadTotals:
        """Load of this gateway's runs."""
        memory_tokens, prefill_tokens = 0.0, 0.0
        for run in self.runs.values():
            memory_tokens += run.memory_tokens
            if not run.produced_tokens:
                prefill_tokens += run.prompt_tokens
        return ServerLoadTotals(len(self.runs), memory_tokens, prefill_tokens)

    @property
    def load(self) -> ServerLoadTotals:
        """Load of all known runs, of this gateway and of its peers."""
        # Placing reads this for each candidate: one pass, no generators.
        runs, memory_tokens, prefill_tokens = self.local_load
        for load in self.peer_loads.values():
            runs += load.runs
            memory_tokens += load.memory_tokens
            prefill_tokens += load.prefill_tokens
        return ServerLoadTotals(runs, memory_tokens, prefill_tokens)

    def warm_up_left_s(self, now_s: float) -> float:
        """Return for how long the server is still slow."""
        return max(0.0, self.joined_at_s + self.registration.warm_up_s - now_s)

    def is_suspected(self, now_s: float) -> bool:
        """Return whether recent failures speak against the server."""
        return self.suspected_until_s > now_s
