"""Requests that wait in the agent or run at its backend server."""

from boragespring.admission import AdmissionQueue, Ticket, TrafficClass
from boragespring.answers.messages import SubmitCall, SubmitGeneration
from boragespring.membership import AgentState
from boragespring.routing import AgentLoad, CacheIndex

__all__ = ["Workload"]

LOAD_INTERVAL_S = 0.1


class Workload:
    """Track the requests that the agent has accepted and whether it is leaving.

    Parameters
    ----------
    queue : AdmissionQueue
        Requests that wait for the backend server or run there.
    """

    def __init__(self, queue: AdmissionQueue) -> None:
        self.queue = queue
        #: Estimate of the content of the engine's prefix cache.
        self.cache = CacheIndex(queue.settings.memory_tokens)
        self.is_leaving = False
        self._load: AgentLoad | None = None
        self._load_computed_at_s = 0.0

    @property
    def running(self) -> int:
        """Number of requests that run at the backend server."""
        return len(self.queue.running)

    def generation_ticket(self, message: SubmitGeneration) -> Ticket:
        """Return the admission ticket of a generation."""
        return Ticket(
            message.workspace,
            TrafficClass.from_name(message.traffic_class),
            message.prompt_tokens,
            message.max_tokens,
            message.weight,
            self.queue.clock() + message.deadline_in_s,
        )

    def call_ticket(self, message: SubmitCall) -> Ticket:
        """Return the admission ticket of a call, which uses no engine memory."""
        return Ticket(
            message.workspace,
            TrafficClass.from_name(message.traffic_class),
            0,
            0,
            message.weight,
            self.queue.clock() + message.deadline_in_s,
        )

    def return_waiting(self) -> int:
        """Reject the waiting requests as not run and return their number."""
        return self.queue.return_waiting()

    def state(self) -> AgentState:
        """Return the state that is sent to the entries."""
        return AgentState(
            self.is_leaving,
            self.running,
            self.queue.waiting,
            self.queue.used_tokens,
            self.queue.settings.memory_tokens,
        )

    def load(self) -> AgentLoad:
        """Return the load that entries use to choose an agent.

        The result is cached, so that the heartbeats of all links share it.
        """
        now_s = self.queue.clock()
        if self._load is None or now_s - self._load_computed_at_s >= LOAD_INTERVAL_S:
            self._load = self._compute_load()
            self._load_computed_at_s = now_s
        return self._load

    def _compute_load(self) -> AgentLoad:
        queue = self.queue
        return AgentLoad(
            running=self.running,
            waiting=queue.waiting,
            committed_tokens=queue.committed_tokens,
            memory_tokens=queue.settings.memory_tokens,
            concurrency_max=queue.settings.concurrency_max,
            release_tokens_per_s=queue.wait_estimate.release_tokens_per_s(
                queue.clock()
            ),
            predicted_wait_s=queue.predicted_wait_s(),
            token_interval_s=queue.wait_estimate.token_interval_s,
            mean_output_tokens=queue.wait_estimate.mean_output_tokens,
        )
