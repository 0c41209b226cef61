"""Queue in the agent before its backend server."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from attrs import Factory, define, field, frozen

from boragespring.admission.errors import AdmissionRefusedError, RefusalCode
from boragespring.admission.fair_queue import FairQueue, FairQueueSettings
from boragespring.admission.forecast import MemoryForecast
from boragespring.admission.lengths import LengthBook
from boragespring.admission.policies import (
    AdmissionPolicy,
    BoundedChance,
    PolicyState,
    admits,
    overfill_chance,
)
from boragespring.admission.tickets import Ticket, TicketState
from boragespring.admission.wait_estimate import WaitEstimate
from boragespring.engines import LoadReport
from boragespring.metrics.admission import AdmissionMetrics

__all__ = ["AdmissionQueue", "AdmissionSettings"]

#: Time between two forecasts for each running request, by which their cost
#: stays a fixed share of a core.
REBUILD_INTERVAL_PER_RUN_S = 0.0004
REVIEW_INTERVAL_S = 0.05
RETRY_AFTER_MIN_S = 0.1
#: Retry hint while too little has ended to estimate the wait.
RETRY_AFTER_UNKNOWN_S = 1.0
RECENT_REPORTS = 4
#: Weight of a new report in the estimate of memory held for others.
FOREIGN_SHARE = 0.2


@frozen
class AdmissionSettings:
    """Bounds of what an agent lets run and wait.

    Parameters
    ----------
    memory_tokens : int
        Memory of the engine; 0 for servers without such a bound.
    concurrency_max : int
        Most requests that run at once.
    queue_max : int
        Most requests of one workspace that wait.
    prefill_max_tokens : int
        Prompt tokens of admitted requests whose first token is still to come;
        one request always may.
    overtaken_max : int
        How often smaller requests pass one that does not fit yet.
    class_headroom : float
        Share of the memory that each class leaves free for more urgent ones.
    policy : AdmissionPolicy
        What is admitted.
    fairness : FairQueueSettings
        Order of the queue.
    """

    memory_tokens: int = 0
    concurrency_max: int = 256
    queue_max: int = 512
    prefill_max_tokens: int = 8_192
    overtaken_max: int = 8
    class_headroom: float = 0.03
    policy: AdmissionPolicy = Factory(
        lambda: BoundedChance(overfill_chance(0.4, 0.3, 0.3))
    )
    fairness: FairQueueSettings = Factory(FairQueueSettings)


@define(eq=False)
class AdmissionQueue:
    """Hold requests until their backend server has room for them.

    Parameters
    ----------
    settings : AdmissionSettings
        Bounds and policy.
    clock : callable
        Monotonic time in seconds.
    metrics : AdmissionMetrics or None
        Takes queue times and refusals.
    """

    settings: AdmissionSettings = Factory(AdmissionSettings)
    clock: Callable[[], float] = time.monotonic
    metrics: AdmissionMetrics | None = None
    lengths: LengthBook = field(init=False, factory=LengthBook)
    running: dict[Ticket, None] = field(init=False, factory=dict)
    waits: WaitEstimate = field(init=False, factory=WaitEstimate)
    _queue: FairQueue = field(init=False)
    _state: PolicyState = field(init=False)
    _prefill_tokens: int = field(init=False, default=0)
    _foreign_tokens: float = field(init=False, default=0.0)
    _recent_used_tokens: deque[int] = field(init=False)
    _rebuilt_at_s: float = field(init=False, default=0.0)
    _timer: asyncio.TimerHandle | None = field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._queue = FairQueue(self.settings.fairness)
        self._recent_used_tokens = deque(maxlen=RECENT_REPORTS)
        policy = self.settings.policy
        chance = policy.overfill_chance if isinstance(policy, BoundedChance) else 0.2
        self._state = PolicyState(MemoryForecast(chance))

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return self._queue.length

    @property
    def used_tokens(self) -> int:
        """Memory that the running requests hold, by the agent's own count."""
        return sum(ticket.held_tokens for ticket in self.running)

    @property
    def committed_tokens(self) -> float:
        """Memory that what runs and waits is expected to hold at its end."""
        running = sum(max(t.held_tokens, t.footprint_tokens) for t in self.running)
        return running + self._waiting_tokens

    @property
    def _waiting_tokens(self) -> float:
        return sum(ticket.footprint_tokens for ticket in self._queue.all_waiting())

    def predicted_wait_s(self) -> float:
        """Return the wait of a request that arrives now."""
        if not self._queue.length:
            return 0.0
        wait_s = self.waits.wait_s(self._waiting_tokens, 1.0, self.clock())
        return RETRY_AFTER_UNKNOWN_S if wait_s is None else wait_s

    async def submit(self, ticket: Ticket) -> None:
        """Wait until the request may run.

        Raises
        ------
        AdmissionRefusedError
            As soon as it is known that the request will not run in time.
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
        ticket.model = self.lengths.model(ticket.workspace, ticket.traffic_class)
        ticket.expected_tokens = ticket.model.expected_tokens(0, ticket.max_tokens)
        self._check(ticket, now_s)
        ticket.admitted = asyncio.get_running_loop().create_future()
        ticket.state = TicketState.QUEUED
        self._queue.push(ticket)
        self._review()
        try:
            await ticket.admitted
        except asyncio.CancelledError:
            self._withdraw(ticket)
            raise
        if self.metrics is not None:
            self.metrics.record_admitted(
                ticket.workspace, ticket.traffic_class, self.clock() - now_s
            )

    def note_report(self, report: LoadReport) -> None:
        """Correct the own count by what the engine holds for others."""
        if not report.memory_tokens:
            return
        # The report lags, so that it may show what has ended here since: only
        # what exceeds the largest recent own count is held for others.
        self._recent_used_tokens.append(self.used_tokens)
        foreign = max(0, report.used_memory_tokens - max(self._recent_used_tokens))
        self._foreign_tokens += FOREIGN_SHARE * (foreign - self._foreign_tokens)

    def hand_back(self) -> int:
        """Refuse what waits, so that others run it; return the count."""
        waiting = tuple(self._queue.all_waiting())
        for ticket in waiting:
            self._refuse(ticket, RefusalCode.HANDED_BACK, RETRY_AFTER_MIN_S)
        return len(waiting)

    def forget_report(self) -> None:
        """Drop what old reports told, as they have become too old."""
        self._foreign_tokens = 0.0

    def _check(self, ticket: Ticket, now_s: float) -> None:
        memory_tokens = self.settings.memory_tokens
        if memory_tokens and ticket.prompt_tokens >= memory_tokens:
            raise AdmissionRefusedError(RefusalCode.EXCEEDS_MEMORY, 0.0)
        wait_s = self._wait_of(ticket, now_s)
        if self._queue.workspace_length(ticket.workspace) >= self.settings.queue_max:
            raise AdmissionRefusedError(RefusalCode.QUEUE_FULL, _retry_after_s(wait_s))
        if self._misses_deadline(ticket, now_s + (wait_s or 0.0)):
            raise AdmissionRefusedError(
                RefusalCode.DEADLINE_UNREACHABLE, _retry_after_s(wait_s)
            )

    def _wait_of(self, ticket: Ticket, now_s: float) -> float | None:
        own = list(self._queue.waiting_of(ticket.workspace))
        if not own and not self._queue.length:
            return 0.0
        ahead = sum(waiting.footprint_tokens for waiting in own)
        share = 1.0 / max(1, self._queue.active_workspaces + (not own))
        return self.waits.wait_s(ahead + ticket.footprint_tokens, share, now_s)

    def _misses_deadline(self, ticket: Ticket, start_s: float) -> bool:
        if ticket.deadline_s is None:
            return False
        # The median is what half of the requests need; refusing by the mean
        # would refuse too many where few outputs are very long.
        median_tokens = ticket.model.median_tokens(ticket.max_tokens)
        return start_s + self.waits.token_interval_s * median_tokens > ticket.deadline_s

    def _review(self) -> None:
        """Refuse what is too late, and admit what fits."""
        now_s = self.clock()
        self._refuse_late(now_s)
        self._admit(now_s)
        if self._queue.length and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(REVIEW_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._review()

    def _refuse_late(self, now_s: float) -> None:
        next_review_s = now_s + REVIEW_INTERVAL_S
        for ticket in self._queue.all_waiting():
            if self._misses_deadline(ticket, next_review_s):
                retry_after_s = _retry_after_s(self._wait_of(ticket, now_s))
                self._refuse(ticket, RefusalCode.DEADLINE_UNREACHABLE, retry_after_s)

    def _admit(self, now_s: float) -> None:
        while self._queue.length and len(self.running) < self.settings.concurrency_max:
            interval_s = REBUILD_INTERVAL_PER_RUN_S * len(self.running)
            if now_s - self._rebuilt_at_s >= interval_s:
                self._state.rebuild(self.running)
                self._rebuilt_at_s = now_s
            ticket = self._next_that_fits(now_s)
            if ticket is None:
                return
            self._start(ticket, now_s)

    def _next_that_fits(self, now_s: float) -> Ticket | None:
        """Return the first request that fits.

        A request that does not fit is overtaken a few times; after that it
        holds back all that is not more urgent.
        """
        overtaken: list[Ticket] = []
        held_back_rank = float("inf")
        for ticket in self._queue.heads(now_s):
            rank = self._queue.rank(ticket, now_s)
            if rank >= held_back_rank:
                continue
            if self._fits(ticket):
                for other in overtaken:
                    other.overtaken_count += 1
                return ticket
            overtaken.append(ticket)
            if ticket.overtaken_count >= self.settings.overtaken_max:
                held_back_rank = rank
        return None

    def _fits(self, ticket: Ticket) -> bool:
        if not self.running:
            return True
        prefill_tokens = self._prefill_tokens + ticket.prompt_tokens
        if self._prefill_tokens and prefill_tokens > self.settings.prefill_max_tokens:
            return False
        if not self.settings.memory_tokens:
            return True
        kept_free = self.settings.class_headroom * ticket.traffic_class.rank
        memory_tokens = self.settings.memory_tokens * (1.0 - kept_free)
        memory_tokens -= self._foreign_tokens
        return admits(self.settings.policy, self._state, ticket, memory_tokens)

    def _start(self, ticket: Ticket, now_s: float) -> None:
        self._queue.remove(ticket)
        expected = self._queue.cost(ticket, ticket.expected_tokens)
        self._queue.charge(ticket, expected)
        ticket.state = TicketState.RUNNING
        ticket.admitted_at_s = now_s
        ticket.on_finish = self._on_finish
        ticket.on_first_token = self._on_first_token
        self._prefill_tokens += ticket.prompt_tokens
        self.running[ticket] = None
        self._state.add(ticket)
        if ticket.admitted is not None and not ticket.admitted.done():
            ticket.admitted.set_result(None)

    def _refuse(self, ticket: Ticket, code: RefusalCode, retry_after_s: float) -> None:
        self._queue.remove(ticket)
        ticket.state = TicketState.FINISHED
        error = AdmissionRefusedError(code, retry_after_s)
        if ticket.admitted is not None and not ticket.admitted.done():
            ticket.admitted.set_exception(error)

    def _withdraw(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.QUEUED:
            self._queue.remove(ticket)
            ticket.state = TicketState.FINISHED
        else:
            # Admitted in the same turn of the loop as it was cancelled.
            ticket.finish(is_complete=False)

    def _on_first_token(self, ticket: Ticket) -> None:
        self._prefill_tokens -= ticket.prompt_tokens

    def _on_finish(self, ticket: Ticket) -> None:
        now_s = self.clock()
        del self.running[ticket]
        if not ticket.produced_tokens:
            self._prefill_tokens -= ticket.prompt_tokens
        self._queue.settle(ticket)
        self.waits.released(ticket.held_tokens, now_s)
        if ticket.produced_tokens > 1 and ticket.admitted_at_s is not None:
            ran_s = now_s - ticket.admitted_at_s
            self.waits.token_interval_seen(ran_s / ticket.produced_tokens)
            self.waits.output_seen(ticket.produced_tokens)
        self._review()


def _retry_after_s(wait_s: float | None) -> float:
    return RETRY_AFTER_UNKNOWN_S if wait_s is None else max(RETRY_AFTER_MIN_S, wait_s)
