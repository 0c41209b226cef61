"""Weighted fair queue over workspaces with ageing traffic classes."""

from collections import deque
from collections.abc import Iterator

from attrs import Factory, define, field

from boragespring.admission.tickets import Ticket, TrafficClass

__all__ = ["FairQueue", "FairQueueSettings"]

#: Minimum weight, used for workspaces whose plan has a weight of 0.
WEIGHT_MIN = 0.001


@define(frozen=True)
class FairQueueSettings:
    """Ordering parameters of the fair queue.

    Parameters
    ----------
    class_step_tokens : float
        Advantage of a traffic class over the next less urgent one, in tokens of
        virtual time.
    ageing_time_s : float
        Waiting time in seconds after which a request is ranked one class higher.
    prompt_token_cost : float
        Cost of a prompt token relative to a produced token.
    """

    class_step_tokens: float = 20_000.0
    ageing_time_s: float = 120.0
    prompt_token_cost: float = 0.1


@define
class _WorkspaceQueue:
    """Queued requests and virtual time of one workspace."""

    virtual_tokens: float
    by_class: dict[TrafficClass, deque[Ticket]] = Factory(dict)

    @property
    def length(self) -> int:
        return sum(len(queue) for queue in self.by_class.values())


@define
class FairQueue:
    """Queued requests by workspace and traffic class.

    Each workspace has a virtual time: the tokens that it has used divided by its
    weight. The workspace with the smallest virtual time is served next. A request
    is charged its expected tokens when it is admitted, and the charge is
    corrected when it has ended.
    """

    settings: FairQueueSettings = Factory(FairQueueSettings)
    length: int = field(init=False, default=0)
    _workspaces: dict[str, _WorkspaceQueue] = field(init=False, factory=dict)
    _active: dict[str, _WorkspaceQueue] = field(init=False, factory=dict)
    _min_virtual_tokens: float = field(init=False, default=0.0)

    def workspace_length(self, workspace: str) -> int:
        """Return the number of queued requests of a workspace."""
        queue = self._active.get(workspace)
        return queue.length if queue is not None else 0

    @property
    def active_workspaces(self) -> int:
        """Number of workspaces that have queued requests."""
        return len(self._active)

    def tickets_of(self, workspace: str) -> Iterator[Ticket]:
        """Yield the queued requests of a workspace."""
        queue = self._active.get(workspace)
        if queue is not None:
            for tickets in queue.by_class.values():
                yield from tickets

    def push(self, ticket: Ticket) -> None:
        """Add a request to the queue."""
        queue = self._workspaces.get(ticket.workspace)
        if queue is None:
            queue = self._workspaces[ticket.workspace] = _WorkspaceQueue(0.0)
        if ticket.workspace not in self._active:
            # A workspace accumulates no credit while it has no queued requests.
            queue.virtual_tokens = max(queue.virtual_tokens, self._min_virtual_tokens)
            self._active[ticket.workspace] = queue
        queue.by_class.setdefault(ticket.traffic_class, deque()).append(ticket)
        self.length += 1

    def remove(self, ticket: Ticket) -> None:
        """Remove a request from the queue."""
        queue = self._active[ticket.workspace]
        tickets = queue.by_class[ticket.traffic_class]
        tickets.remove(ticket)
        if not tickets:
            del queue.by_class[ticket.traffic_class]
        if not queue.by_class:
            del self._active[ticket.workspace]
        self.length -= 1

    def charge(self, ticket: Ticket, tokens: float) -> None:
        """Charge tokens to the workspace of a request.

        Parameters
        ----------
        ticket : Ticket
            Request that is charged.
        tokens : float
            Number of tokens; negative to refund.
        """
        queue = self._workspaces[ticket.workspace]
        queue.virtual_tokens += tokens / max(WEIGHT_MIN, ticket.weight)
        ticket.charged_tokens += tokens

    def correct_charge(self, ticket: Ticket) -> None:
        """Replace the charge of a finished request by its actual cost."""
        actual_cost = self.cost(ticket, ticket.produced_tokens)
        self.charge(ticket, actual_cost - ticket.charged_tokens)

    def cost(self, ticket: Ticket, output_tokens: float) -> float:
        """Return the cost of a request in tokens.

        A call to a plain service costs one token.

        Parameters
        ----------
        ticket : Ticket
            Request whose prompt is included in the cost.
        output_tokens : float
            Number of tokens that the request produces.
        """
        prompt_cost = self.settings.prompt_token_cost * ticket.prompt_tokens
        return max(1.0, prompt_cost + output_tokens)

    def first_tickets(self, now_s: float) -> list[Ticket]:
        """Return the first request of each workspace and class in service order."""
        scored = [
            (self._score(queue, tickets[0], now_s), tickets[0].queued_at_s, tickets[0])
            for queue in self._active.values()
            for tickets in queue.by_class.values()
        ]
        scored.sort(key=lambda item: item[:2])
        if self._active:
            self._min_virtual_tokens = max(
                self._min_virtual_tokens,
                min(queue.virtual_tokens for queue in self._active.values()),
            )
        return [ticket for _, _, ticket in scored]

    def all_tickets(self) -> list[Ticket]:
        """Return all queued requests."""
        return [
            ticket
            for queue in self._active.values()
            for tickets in queue.by_class.values()
            for ticket in tickets
        ]

    def rank(self, ticket: Ticket, now_s: float) -> float:
        """Return the class rank of a request after ageing; 0 is the most urgent."""
        waited_s = now_s - ticket.queued_at_s
        ranks_gained = waited_s / self.settings.ageing_time_s
        return max(0.0, ticket.traffic_class.rank - ranks_gained)

    def _score(self, queue: _WorkspaceQueue, ticket: Ticket, now_s: float) -> float:
        """Return the sort key of a request; the smallest is served first."""
        step_tokens = self.settings.class_step_tokens
        return queue.virtual_tokens + self.rank(ticket, now_s) * step_tokens
