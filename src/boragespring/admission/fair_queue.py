"""Weighted fair queue over workspaces, with classes that age."""

from collections import deque
from collections.abc import Iterator

from attrs import Factory, define, field

from boragespring.admission.tickets import Ticket, TrafficClass

__all__ = ["FairQueue", "FairQueueSettings"]

#: Weight of a workspace whose plan gives none.
WEIGHT_MIN = 0.001


@define(frozen=True)
class FairQueueSettings:
    """Order of the queue.

    Parameters
    ----------
    class_step_tokens : float
        Advance of a class over the next, in tokens of fair share.
    ageing_time_s : float
        Wait after which a request has caught up one class.
    prompt_token_cost : float
        Cost of a prompt token against a produced token.
    """

    class_step_tokens: float = 20_000.0
    ageing_time_s: float = 120.0
    prompt_token_cost: float = 0.1


@define
class _WorkspaceQueue:
    """Requests of one workspace, and what it has actual_cost by its weight."""

    virtual_tokens: float
    by_class: dict[TrafficClass, deque[Ticket]] = Factory(dict)

    @property
    def length(self) -> int:
        return sum(len(queue) for queue in self.by_class.values())


@define
class FairQueue:
    """Requests that wait, by workspace and class.

    Each workspace has a virtual time, the tokens it actual_cost over its weight; the
    one that is furthest behind is served next. A request is charged its
    expected tokens when it is taken, and the difference when it has ended.
    """

    settings: FairQueueSettings = Factory(FairQueueSettings)
    length: int = field(init=False, default=0)
    _workspaces: dict[str, _WorkspaceQueue] = field(init=False, factory=dict)
    _active: dict[str, _WorkspaceQueue] = field(init=False, factory=dict)
    _min_virtual_tokens: float = field(init=False, default=0.0)

    def workspace_length(self, workspace: str) -> int:
        """Return the number of requests of a workspace that wait."""
        queue = self._active.get(workspace)
        return queue.length if queue is not None else 0

    @property
    def active_workspaces(self) -> int:
        """Number of workspaces with a waiting request."""
        return len(self._active)

    def tickets_of(self, workspace: str) -> Iterator[Ticket]:
        """Yield the waiting requests of one workspace."""
        queue = self._active.get(workspace)
        if queue is not None:
            for tickets in queue.by_class.values():
                yield from tickets

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        queue = self._workspaces.get(ticket.workspace)
        if queue is None:
            queue = self._workspaces[ticket.workspace] = _WorkspaceQueue(0.0)
        if ticket.workspace not in self._active:
            # Time spent idle earns no credit.
            queue.virtual_tokens = max(queue.virtual_tokens, self._min_virtual_tokens)
            self._active[ticket.workspace] = queue
        queue.by_class.setdefault(ticket.traffic_class, deque()).append(ticket)
        self.length += 1

    def remove(self, ticket: Ticket) -> None:
        """Take a request out."""
        queue = self._active[ticket.workspace]
        tickets = queue.by_class[ticket.traffic_class]
        tickets.remove(ticket)
        if not tickets:
            del queue.by_class[ticket.traffic_class]
        if not queue.by_class:
            del self._active[ticket.workspace]
        self.length -= 1

    def charge(self, ticket: Ticket, tokens: float) -> None:
        """Charge tokens to the workspace of a request."""
        queue = self._workspaces[ticket.workspace]
        queue.virtual_tokens += tokens / max(WEIGHT_MIN, ticket.weight)
        ticket.charged_tokens += tokens

    def correct_charge(self, ticket: Ticket) -> None:
        """Correct the charge of a request that has ended."""
        actual_cost = self.cost(ticket, ticket.produced_tokens)
        self.charge(ticket, actual_cost - ticket.charged_tokens)

    def cost(self, ticket: Ticket, output_tokens: float) -> float:
        """Return what a request costs that produces so many tokens.

        A call to a plain service counts as one token.
        """
        prompt_cost = self.settings.prompt_token_cost * ticket.prompt_tokens
        return max(1.0, prompt_cost + output_tokens)

    def first_tickets(self, now_s: float) -> list[Ticket]:
        """Return the first request of each workspace and class, in order."""
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
        """Return every waiting request."""
        return [
            ticket
            for queue in self._active.values()
            for tickets in queue.by_class.values()
            for ticket in tickets
        ]

    def rank(self, ticket: Ticket, now_s: float) -> float:
        """Return the rank of a request's class after ageing."""
        waited_s = now_s - ticket.queued_at_s
        ranks_gained = waited_s / self.settings.ageing_time_s
        return max(0.0, ticket.traffic_class.rank - ranks_gained)

    def _score(self, queue: _WorkspaceQueue, ticket: Ticket, now_s: float) -> float:
        step_tokens = self.settings.class_step_tokens
        return queue.virtual_tokens + self.rank(ticket, now_s) * step_tokens
