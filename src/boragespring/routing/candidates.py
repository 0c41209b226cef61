"""State that an entry keeps for each agent that it can route to."""

from attrs import define, field

from boragespring.routing.loads import AgentLoad
from boragespring.routing.prefixes import CacheDigest

__all__ = ["Candidate"]

#: Age above which a load report is ignored when predicting waits.
LOAD_AGE_MAX_S = 10.0


@define(eq=False)
class Candidate:
    """One agent, its last reported load and the work sent to it since then.

    Parameters
    ----------
    name : str
        Name of the agent's instance.
    availability_zone : str
        Availability zone of the agent.
    is_linked : bool
        Whether the agent is connected and accepts new work.
    load : AgentLoad
        Last load that the agent reported.
    load_received_at_s : float
        Monotonic time at which `load` was received, in seconds.
    open_requests : int
        Requests that this entry has in progress at the agent.
    share : float
        Fraction of the agent's capacity to use; below 1 during slow start.
    unreported_requests : int
        Requests sent since the last load report.
    unreported_tokens : float
        Expected memory of these requests, in tokens.
    consecutive_failures : int
        Failures since the last success or ejection.
    ejections : int
        Ejections since the last success; each one doubles the next duration.
    ejected_until_s : float
        Monotonic time at which the current ejection ends, in seconds.
    confirmed_prefixes, unconfirmed_prefixes : frozenset of int
        Hashes of the prompt prefixes that the agent's engine caches, and of
        those that it may have evicted since.
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
        """Store a load report and reset the counts of unreported work.

        The report already includes the requests that were sent before it.
        """
        self.load = load
        self.load_received_at_s = now_s
        self.unreported_requests = 0
        self.unreported_tokens = 0.0

    def update_digest(self, digest: CacheDigest) -> None:
        """Replace the prefixes that the agent's engine caches."""
        self.confirmed_prefixes = digest.confirmed_hashes()
        self.unconfirmed_prefixes = digest.unconfirmed_hashes()

    def is_eligible(self, now_s: float) -> bool:
        """Return whether the agent is linked and not ejected."""
        return self.is_linked and self.ejected_until_s <= now_s

    def load_age_s(self, now_s: float) -> float:
        """Return the time since the last load report, in seconds."""
        return now_s - self.load_received_at_s

    def footprint_tokens(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return the memory, in tokens, that a request is expected to use in total."""
        return prompt_tokens + min(max_tokens, self.load.mean_output_tokens)

    def predict_wait_s(self, footprint_tokens: float, now_s: float) -> float:
        """Return the predicted wait, in seconds, of a request that is sent now.

        Without a recent load report the prediction is 0.
        """
        load = self.load
        if self.load_age_s(now_s) > LOAD_AGE_MAX_S:
            return 0.0
        if not load.memory_tokens or load.release_tokens_per_s <= 0:
            return load.predicted_wait_s
        committed_tokens = (
            load.committed_tokens + self.unreported_tokens + footprint_tokens
        )
        excess_tokens = max(0.0, committed_tokens - load.memory_tokens)
        return max(load.predicted_wait_s, excess_tokens / load.release_tokens_per_s)

    def pressure(self) -> float:
        """Return the committed fraction of the capacity, divided by `share`.

        Work sent since the last load report is included. The pressure of an
        agent that has not reported its capacity yet is 0.
        """
        load = self.load
        if load.memory_tokens:
            added_pressure = self.unreported_tokens / load.memory_tokens
        elif load.concurrency_max:
            added_pressure = self.unreported_requests / load.concurrency_max
        else:
            added_pressure = 0.0
        return (load.pressure + added_pressure) / self.share
