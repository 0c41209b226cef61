"""Agents of a service as an entry knows them."""

from attrs import define, field

from boragespring.routing.loads import AgentLoad
from boragespring.routing.prefixes import CacheDigest

__all__ = ["Candidate"]

#: Age at which a load tells nothing any more.
LOAD_AGE_MAX_S = 10.0


@define(eq=False)
class Candidate:
    """One agent with its last load and what this entry sent it since.

    Parameters
    ----------
    name : str
        Name of the agent's instance.
    availability_zone : str
        Where it runs.
    is_linked : bool
        Whether it can be reached and takes new work.
    share : float
        Part of its capacity that it may get; it grows after a start.
    """

    name: str
    availability_zone: str
    is_linked: bool = True
    load: AgentLoad = field(factory=AgentLoad)
    load_received_at_s: float = float("-inf")
    open_requests: int = 0
    share: float = 1.0
    unreported_requests: int = 0
    unreported_tokens: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    confirmed_prefixes: frozenset[int] = frozenset()
    unconfirmed_prefixes: frozenset[int] = frozenset()

    def update_load(self, load: AgentLoad, now_s: float) -> None:
        """Take in a load, which includes what was sent before it."""
        self.load = load
        self.load_received_at_s = now_s
        self.unreported_requests = 0
        self.unreported_tokens = 0.0

    def update_digest(self, digest: CacheDigest) -> None:
        """Take in the prefixes that the agent's engine caches."""
        self.confirmed_prefixes = digest.confirmed_hashes()
        self.unconfirmed_prefixes = digest.unconfirmed_hashes()

    def is_eligible(self, now_s: float) -> bool:
        """Return whether the agent may get new requests."""
        return self.is_linked and self.ejected_until_s <= now_s

    def load_age_s(self, now_s: float) -> float:
        """Return the age of the load."""
        return now_s - self.load_received_at_s

    def footprint_tokens(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return the memory that a request is expected to hold at its end."""
        return prompt_tokens + min(max_tokens, self.load.mean_output_tokens)

    def predict_wait_s(self, footprint_tokens: float, now_s: float) -> float:
        """Return the predicted wait of a request that is sent now."""
        load = self.load
        if self.load_age_s(now_s) > LOAD_AGE_MAX_S:
            return 0.0
        if not load.memory_tokens or load.release_tokens_per_s <= 0:
            return load.predicted_wait_s
        committed = load.committed_tokens + self.unreported_tokens + footprint_tokens
        excess_tokens = max(0.0, committed - load.memory_tokens)
        return max(load.predicted_wait_s, excess_tokens / load.release_tokens_per_s)

    def pressure(self) -> float:
        """Return the committed share of the capacity, with what was sent since.

        An agent that has not yet told its capacity is under no pressure.
        """
        load = self.load
        if load.memory_tokens:
            added = self.unreported_tokens / load.memory_tokens
        elif load.concurrency_max:
            added = self.unreported_requests / load.concurrency_max
        else:
            added = 0.0
        return (load.pressure + added) / self.share
