"""Load of backend servers, as they report it and as gateways count it."""

from typing import NamedTuple

from attrs import define, frozen

__all__ = [
    "PeerLoad",
    "RunLoad",
    "ServerLoadTotals",
    "ServerReport",
    "StatedLoad",
]


@frozen
class StatedLoad:
    """Load of a server as it states it in a reply.

    Parameters
    ----------
    running, waiting, slots : int
        Numbers of running and of waiting requests, and of those that it can run.
    slowdown : float or None
        How long work takes on the server's machine at this moment, as a multiple of the
        usual time; None if it is not stated.
    at_s : float
        Monotonic time in seconds at which the reply arrived.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None
    at_s: float


@frozen
class ServerReport:
    """Load report of a model engine.

    Parameters
    ----------
    running, waiting : int
        Numbers of running and of queued requests.
    memory_used_tokens, memory_total_tokens : int
        Memory that cannot be evicted, and the total memory.
    reported_at_s : float
        Monotonic time in seconds at which the report arrived.
    is_leaving : bool
        Whether the server no longer accepts new requests.
    leaves_in_s : float or None
        Time in seconds until the server stops; None if it is unknown.
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
    """Load that one request of this gateway puts on a backend server.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt; 0 for a service without model engines.
    output_tokens : float
        Expected length of the answer.
    sent_at_s : float
        Monotonic time in seconds at which the request was sent.
    produced_tokens : int
        Number of answer tokens that have arrived.
    tokens_to_read : float
        Prompt tokens that the server had to read when the request was sent, with those
        of this request.
    """

    prompt_tokens: int
    output_tokens: float
    sent_at_s: float
    produced_tokens: int = 0
    tokens_to_read: float = 0.0

    @property
    def is_started(self) -> bool:
        """Whether the first token has arrived."""
        return self.produced_tokens > 0

    @property
    def memory_tokens(self) -> float:
        """Memory that the run is expected to occupy when it ends."""
        return self.prompt_tokens + max(self.output_tokens, self.produced_tokens)


@frozen
class PeerLoad:
    """Load that another gateway reported for one backend server.

    It may include the load of further gateways for which the other one relays.

    Parameters
    ----------
    runs : int
        Number of their requests on the server.
    memory_tokens : float
        Memory that these requests are expected to occupy when they end.
    prefill_tokens : float
        Prompt tokens that still wait for prefill.
    """

    runs: int
    memory_tokens: float
    prefill_tokens: float


class ServerLoadTotals(NamedTuple):
    """Total load of a server.

    Parameters
    ----------
    runs : int
        Number of requests on the server.
    memory_tokens : float
        Memory that these requests are expected to occupy when they end.
    prefill_tokens : float
        Prompt tokens that still wait for prefill.
    """

    runs: int
    memory_tokens: float
    prefill_tokens: float
