"""Policies that decide whether a request may be sent to the engine."""

from collections.abc import Iterable
from functools import singledispatch

from attrs import define, field, frozen

from boragespring.admission.forecast import MemoryForecast
from boragespring.admission.tickets import Ticket

__all__ = [
    "AdmissionPolicy",
    "BoundedOverflow",
    "NoAdmission",
    "PolicyState",
    "WorstCase",
    "admits",
    "overflow_probability",
]

OVERFLOW_PROBABILITY_MIN = 0.005
OVERFLOW_PROBABILITY_MAX = 0.36
#: Fraction of the stall weight attributed to preemptions. A preemption stalls the
#: generation, but stalls have other causes as well.
PREEMPTION_STALL_FRACTION = 0.75


@frozen
class AdmissionPolicy:
    """Base class of the admission policies."""


@frozen
class NoAdmission(AdmissionPolicy):
    """Admit every request immediately and let the engine queue and preempt."""


@frozen
class WorstCase(AdmissionPolicy):
    """Reserve the memory of ``max_tokens`` for every request."""


@frozen
class BoundedOverflow(AdmissionPolicy):
    """Bound the probability that the engine's memory overflows.

    Parameters
    ----------
    overflow_probability : float
        Permitted probability of an overflow.
    """

    overflow_probability: float


def overflow_probability(preemption: float, stall: float, tail_latency: float) -> float:
    """Return the overflow probability that the weights of a deployment permit.

    A preemption incurs its own weight and also stalls the generation, whereas
    waiting in the queue incurs none of the three weights. The larger the first
    two weights, the smaller the permitted probability.

    Parameters
    ----------
    preemption : float
        Weight of preemptions.
    stall : float
        Weight of stalled generations.
    tail_latency : float
        Weight of the tail latency.
    """
    total = preemption + stall + tail_latency
    if total <= 0:
        return OVERFLOW_PROBABILITY_MAX
    preemption_fraction = (preemption + PREEMPTION_STALL_FRACTION * stall) / total
    return max(
        OVERFLOW_PROBABILITY_MIN, OVERFLOW_PROBABILITY_MAX * (1.0 - preemption_fraction)
    )


@define
class PolicyState:
    """State on which the policies base their decisions.

    Parameters
    ----------
    forecast : MemoryForecast
        Forecast of the memory that the running requests will use.
    reserved_tokens : int
        Sum of the prompt tokens and ``max_tokens`` of the running requests.
    """

    forecast: MemoryForecast = field(
        factory=lambda: MemoryForecast(OVERFLOW_PROBABILITY_MAX)
    )
    reserved_tokens: int = 0

    def rebuild(self, running: Iterable[Ticket]) -> None:
        """Recompute the state from the running generations."""
        tickets = list(running)
        self.forecast.rebuild(tickets)
        self.reserved_tokens = sum(
            ticket.prompt_tokens + ticket.max_tokens for ticket in tickets
        )

    def add(self, ticket: Ticket) -> None:
        """Add an admitted request to the state."""
        self.forecast.add(ticket)
        self.reserved_tokens += ticket.prompt_tokens + ticket.max_tokens


@singledispatch
def admits(
    policy: AdmissionPolicy, state: PolicyState, ticket: Ticket, memory_tokens: float
) -> bool:
    """Return whether a policy admits a request in addition to the running ones.

    Parameters
    ----------
    policy : AdmissionPolicy
        Policy that decides.
    state : PolicyState
        Forecast and reservations of the running requests.
    ticket : Ticket
        Request to admit.
    memory_tokens : float
        Memory in tokens that is available to the request's traffic class.

    Raises
    ------
    NotImplementedError
        The type of the policy is unknown.
    """
    raise NotImplementedError(type(policy).__name__)


@admits.register
def _(
    policy: NoAdmission, state: PolicyState, ticket: Ticket, memory_tokens: float
) -> bool:
    return True


@admits.register
def _(
    policy: WorstCase, state: PolicyState, ticket: Ticket, memory_tokens: float
) -> bool:
    reserved = state.reserved_tokens + ticket.prompt_tokens + ticket.max_tokens
    return reserved <= memory_tokens


@admits.register
def _(
    policy: BoundedOverflow, state: PolicyState, ticket: Ticket, memory_tokens: float
) -> bool:
    return state.forecast.fits(ticket, memory_tokens)
