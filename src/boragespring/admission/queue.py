"""Admission queue of an agent in front of its backend server."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from attrs import Factory, define, field, frozen

from boragespring.admission.errors import AdmissionRefusedError, RefusalCode
from boragespring.admission.fair_queue import FairQueue, FairQueueSettings
from boragespring.admission.forecast import MemoryForecast
from boragespring.admission.lengths import LengthModels
from boragespring.admission.policies import (
    AdmissionPolicy,
    BoundedOverflow,
    PolicyState,
    admits,
    overflow_probability,
)
from boragespring.admission.tickets import Ticket, TicketState
from boragespring.admission.wait_estimate import WaitEstimate
from boragespring.engines import LoadReport
from boragespring.metrics.admission import AdmissionMetrics

__all__ = ["AdmissionQueue", "AdmissionSettings"]

#: Minimum time in seconds between two rebuilds of the memory forecast, multiplied by
#: the number of running requests. A rebuild processes all of them, so this limits its
#: cost to a fixed fraction of a CPU core.
REBUILD_INTERVAL_PER_RUN_S = 0.0004
#: Interval at which a non-empty queue is processed.
QUEUE_PROCESS_INTERVAL_S = 0.05
RETRY_AFTER_MIN_S = 0.1
#: Retry hint used while no estimate of the wait is available.
RETRY_AFTER_UNKNOWN_S = 1.0
#: Number of recent load reports for which the agent's token count is kept.
RECENT_REPORTS = 4
#: Weight of a new report in the moving average of memory used by other clients.
EXTERNAL_WEIGHT = 0.2


@frozen
class AdmissionSettings:
    """Limits on the running and queued requests of an agent.

    Parameters
    ----------
    memory_tokens : int
        Memory of the engine in tokens; 0 for servers without a memory limit.
    concurrency_max : int
        Maximum number of concurrently running requests.
    queue_max : int
        Maximum number of queued requests per workspace.
    prefill_max_tokens : int
        Maximum total of prompt tokens of admitted requests that have not produced
        their first token. A single request may exceed it.
    overtaken_max : int
        Number of times that other requests may overtake one that does not fit.
    class_headroom : float
        Fraction of the memory that a request leaves free for each more urgent
        class.
    policy : AdmissionPolicy
        Policy that decides which requests are admitted.
    fairness : FairQueueSettings
        Ordering parameters of the queue.
    """

    memory_tokens: int = 0
    concurrency_max: int = 256
    queue_max: int = 512
    prefill_max_tokens: int = 8_192
    overtaken_max: int = 8
    class_headroom: float = 0.03
    # The arguments are the weights of preemptions, stalls and tail latency.
    policy: AdmissionPolicy = Factory(
        lambda: BoundedOverflow(overflow_probability(0.4, 0.3, 0.3))
    )
    fairness: FairQueueSettings = Factory(FairQueueSettings)


@define(eq=False)
class AdmissionQueue:
    """Hold requests until their backend server has capacity for them.

    Parameters
    ----------
    settings : AdmissionSettings
        Limits and policy.
    clock : callable
        Returns the monotonic time in seconds.
    metrics : AdmissionMetrics or None
        Records queue times and refusals.

    Attributes
    ----------
    length_models : LengthModels
        Models of the output length.
    running : dict of Ticket to None
        Admitted requests in order of admission.
    wait_estimate : WaitEstimate
        Estimates from recently finished requests.
    """

    settings: AdmissionSettings = Factory(AdmissionSettings)
    clock: Callable[[], float] = time.monotonic
    metrics: AdmissionMetrics | None = None
    length_models: LengthModels = field(init=False, factory=LengthModels)
    running: dict[Ticket, None] = field(init=False, factory=dict)
    wait_estimate: WaitEstimate = field(init=False, factory=WaitEstimate)
    _queue: FairQueue = field(init=False)
    _policy_state: PolicyState = field(init=False)
    _prefill_tokens: int = field(init=False, default=0)
    _external_tokens: float = field(init=False, default=0.0)
    _recent_used_tokens: deque[int] = field(init=False)
    _rebuilt_at_s: float = field(init=False, default=0.0)
    _timer: asyncio.TimerHandle | None = field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._queue = FairQueue(self.settings.fairness)
        self._recent_used_tokens = deque(maxlen=RECENT_REPORTS)
        policy = self.settings.policy
        probability = (
            policy.overflow_probability if isinstance(policy, BoundedOverflow) else 0.2
        )
        self._policy_state = PolicyState(MemoryForecast(probability))

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._queue.length

    @property
    def used_tokens(self) -> int:
        """Memory in tokens used by the running requests, as counted by the agent."""
        return sum(ticket.held_tokens for ticket in self.running)

    @property
    def committed_tokens(self) -> float:
        """Expected final memory in tokens of all running and queued requests."""
        running = sum(
            max(ticket.held_tokens, ticket.footprint_tokens) for ticket in self.running
        )
        return running + self._waiting_tokens

    @property
    def _waiting_tokens(self) -> float:
        return sum(ticket.footprint_tokens for ticket in self._queue.all_tickets())

    def predicted_wait_s(self) -> float:
        """Return the predicted wait in seconds of a request that arrives now."""
        if not self._queue.length:
            return 0.0
        wait_s = self.wait_estimate.estimate_wait_s(
            self._waiting_tokens, 1.0, self.clock()
        )
        return RETRY_AFTER_UNKNOWN_S if wait_s is None else wait_s

    async def submit(self, ticket: Ticket) -> None:
        """Wait until the request is admitted.

        Parameters
        ----------
        ticket : Ticket
            New ticket of the request.

        Raises
        ------
        AdmissionRefusedError
            The request cannot be admitted, or cannot finish before its deadline.
        """
        try:
            await self._submit(ticket)
        except AdmissionRefusedError as error:
            if self.metrics is not None:
                self.metrics.record_refused(
                    ticket.workspace, ticket.traffic_class, error.code
                )
            raise

    async def _submit(self, ticket: Ticket) -> None:
        now_s = self.clock()
        ticket.queued_at_s = now_s
        ticket.model = self.length_models.model(ticket.workspace, ticket.traffic_class)
        ticket.expected_tokens = ticket.model.expected_tokens(0, ticket.max_tokens)
        self._check_limits(ticket, now_s)
        ticket.admitted = asyncio.get_running_loop().create_future()
        ticket.state = TicketState.QUEUED
        self._queue.push(ticket)
        self._process_queue()
        try:
            await ticket.admitted
        except asyncio.CancelledError:
            self._cancel(ticket)
            raise
        if self.metrics is not None:
            self.metrics.record_admitted(
                ticket.workspace, ticket.traffic_class, self.clock() - now_s
            )

    def apply_report(self, report: LoadReport) -> None:
        """Update the estimate of memory that the engine uses for other clients."""
        if not report.memory_tokens:
            return
        # The report lags and may include requests that have ended since. Only the
        # amount above the largest recent local count is attributed to others.
        self._recent_used_tokens.append(self.used_tokens)
        external = max(0, report.used_memory_tokens - max(self._recent_used_tokens))
        self._external_tokens += EXTERNAL_WEIGHT * (external - self._external_tokens)

    def return_waiting(self) -> int:
        """Refuse all queued requests as handed back, so that other agents run them.

        Returns
        -------
        int
            Number of refused requests.
        """
        waiting = tuple(self._queue.all_tickets())
        for ticket in waiting:
            self._refuse(ticket, RefusalCode.HANDED_BACK, RETRY_AFTER_MIN_S)
        return len(waiting)

    def discard_report(self) -> None:
        """Discard the estimate from earlier reports because they are outdated."""
        self._external_tokens = 0.0

    def _check_limits(self, ticket: Ticket, now_s: float) -> None:
        """Raise `AdmissionRefusedError` if the request cannot be queued."""
        memory_tokens = self.settings.memory_tokens
        if memory_tokens and ticket.prompt_tokens >= memory_tokens:
            raise AdmissionRefusedError(RefusalCode.EXCEEDS_MEMORY, 0.0)
        wait_s = self._estimate_wait_s(ticket, now_s)
        if self._queue.workspace_length(ticket.workspace) >= self.settings.queue_max:
            raise AdmissionRefusedError(RefusalCode.QUEUE_FULL, _retry_after_s(wait_s))
        if self._misses_deadline(ticket, now_s + (wait_s or 0.0)):
            raise AdmissionRefusedError(
                RefusalCode.DEADLINE_UNREACHABLE, _retry_after_s(wait_s)
            )

    def _estimate_wait_s(self, ticket: Ticket, now_s: float) -> float | None:
        """Return the estimated wait behind the workspace's queued requests."""
        workspace_tickets = list(self._queue.tickets_of(ticket.workspace))
        if not workspace_tickets and not self._queue.length:
            return 0.0
        tokens_ahead = sum(queued.footprint_tokens for queued in workspace_tickets)
        fraction = 1.0 / max(1, self._queue.active_workspaces + (not workspace_tickets))
        return self.wait_estimate.estimate_wait_s(
            tokens_ahead + ticket.footprint_tokens, fraction, now_s
        )

    def _misses_deadline(self, ticket: Ticket, start_s: float) -> bool:
        """Return whether a request started at ``start_s`` would finish too late."""
        if ticket.deadline_s is None:
            return False
        # Half of the requests need at most the median length. Using the mean would
        # refuse too many requests where a few outputs are very long.
        median_tokens = ticket.model.median_tokens(ticket.max_tokens)
        return (
            start_s + self.wait_estimate.token_interval_s * median_tokens
            > ticket.deadline_s
        )

    def _process_queue(self) -> None:
        """Refuse requests that would miss their deadline and admit those that fit."""
        now_s = self.clock()
        self._refuse_unreachable(now_s)
        self._admit(now_s)
        if self._queue.length and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(QUEUE_PROCESS_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._process_queue()

    def _refuse_unreachable(self, now_s: float) -> None:
        next_processing_s = now_s + QUEUE_PROCESS_INTERVAL_S
        for ticket in self._queue.all_tickets():
            if self._misses_deadline(ticket, next_processing_s):
                retry_after_s = _retry_after_s(self._estimate_wait_s(ticket, now_s))
                self._refuse(ticket, RefusalCode.DEADLINE_UNREACHABLE, retry_after_s)

    def _admit(self, now_s: float) -> None:
        while self._queue.length and len(self.running) < self.settings.concurrency_max:
            interval_s = REBUILD_INTERVAL_PER_RUN_S * len(self.running)
            if now_s - self._rebuilt_at_s >= interval_s:
                self._policy_state.rebuild(self.running)
                self._rebuilt_at_s = now_s
            ticket = self._next_admissible(now_s)
            if ticket is None:
                return
            self._start(ticket, now_s)

    def _next_admissible(self, now_s: float) -> Ticket | None:
        """Return the first request in service order that fits.

        A request that does not fit may be overtaken a limited number of times.
        After that it blocks all requests that are not more urgent.
        """
        overtaken: list[Ticket] = []
        blocked_rank = float("inf")
        for ticket in self._queue.first_tickets(now_s):
            rank = self._queue.rank(ticket, now_s)
            if rank >= blocked_rank:
                continue
            if self._fits(ticket):
                for skipped in overtaken:
                    skipped.overtaken_count += 1
                return ticket
            overtaken.append(ticket)
            if ticket.overtaken_count >= self.settings.overtaken_max:
                blocked_rank = rank
        return None

    def _fits(self, ticket: Ticket) -> bool:
        """Return whether the request fits next to the running ones."""
        if not self.running:
            return True
        prefill_tokens = self._prefill_tokens + ticket.prompt_tokens
        if self._prefill_tokens and prefill_tokens > self.settings.prefill_max_tokens:
            return False
        if not self.settings.memory_tokens:
            return True
        headroom = self.settings.class_headroom * ticket.traffic_class.rank
        memory_tokens = self.settings.memory_tokens * (1.0 - headroom)
        memory_tokens -= self._external_tokens
        return admits(self.settings.policy, self._policy_state, ticket, memory_tokens)

    def _start(self, ticket: Ticket, now_s: float) -> None:
        self._queue.remove(ticket)
        cost_tokens = self._queue.cost(ticket, ticket.expected_tokens)
        self._queue.charge(ticket, cost_tokens)
        ticket.state = TicketState.RUNNING
        ticket.admitted_at_s = now_s
        ticket.on_finish = self._on_finish
        ticket.on_first_token = self._on_first_token
        self._prefill_tokens += ticket.prompt_tokens
        self.running[ticket] = None
        self._policy_state.add(ticket)
        if ticket.admitted is not None and not ticket.admitted.done():
            ticket.admitted.set_result(None)

    def _refuse(self, ticket: Ticket, code: RefusalCode, retry_after_s: float) -> None:
        self._queue.remove(ticket)
        ticket.state = TicketState.FINISHED
        error = AdmissionRefusedError(code, retry_after_s)
        if ticket.admitted is not None and not ticket.admitted.done():
            ticket.admitted.set_exception(error)

    def _cancel(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.QUEUED:
            self._queue.remove(ticket)
            ticket.state = TicketState.FINISHED
        else:
            # Admitted in the same event loop iteration in which it was cancelled.
            ticket.finish(is_complete=False)

    def _on_first_token(self, ticket: Ticket) -> None:
        self._prefill_tokens -= ticket.prompt_tokens

    def _on_finish(self, ticket: Ticket) -> None:
        now_s = self.clock()
        del self.running[ticket]
        if not ticket.produced_tokens:
            self._prefill_tokens -= ticket.prompt_tokens
        self._queue.correct_charge(ticket)
        self.wait_estimate.record_release(ticket.held_tokens, now_s)
        if ticket.produced_tokens > 1 and ticket.admitted_at_s is not None:
            duration_s = now_s - ticket.admitted_at_s
            self.wait_estimate.record_token_interval(
                duration_s / ticket.produced_tokens
            )
            self.wait_estimate.record_output(ticket.produced_tokens)
        self._process_queue()


def _retry_after_s(wait_s: float | None) -> float:
    return RETRY_AFTER_UNKNOWN_S if wait_s is None else max(RETRY_AFTER_MIN_S, wait_s)
