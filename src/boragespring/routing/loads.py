"""Load report that agents send along with their heartbeats.

Message codes 90 to 99 are reserved for the routing package.
"""

from boragespring.links import message

__all__ = ["AgentLoad"]


@message(90)
class AgentLoad:
    """Load of one agent and its backend server.

    Parameters
    ----------
    running, waiting : int
        Number of requests that are running and that are queued in the agent.
    committed_tokens : float
        Memory, in tokens, that these requests are expected to use at their end.
    memory_tokens : int
        Memory of the backend server in tokens; 0 if memory is not its limit.
    concurrency_max : int
        Maximum number of requests that run at the same time.
    release_tokens_per_s : float
        Rate at which finished requests release memory, in tokens per second;
        0 while unknown.
    predicted_wait_s : float
        Predicted wait of a request that arrives now, in seconds.
    token_interval_s : float
        Mean time between two tokens of an answer, in seconds.
    mean_output_tokens : float
        Mean length of recent answers in tokens.
    """

    running: int = 0
    waiting: int = 0
    committed_tokens: float = 0.0
    memory_tokens: int = 0
    concurrency_max: int = 0
    release_tokens_per_s: float = 0.0
    predicted_wait_s: float = 0.0
    token_interval_s: float = 0.0
    mean_output_tokens: float = 0.0

    @property
    def pressure(self) -> float:
        """Committed fraction of the memory, which may exceed 1.

        Without a memory limit, the fraction of the concurrency limit.
        """
        if self.memory_tokens:
            return self.committed_tokens / self.memory_tokens
        return (self.running + self.waiting) / max(1, self.concurrency_max)
