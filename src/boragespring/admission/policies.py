"""Policies that decide whether a request may go to the engine now."""

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
#: A preemption also stalls the generation, but a stall has other causes too.
PREEMPTION_STALL_FRACTION = 0.75


@frozen
class AdmissionPolicy:
    """Base of the policies."""


@frozen
class NoAdmission(AdmissionPolicy):
    """Send everything at once; the engine queues and preempts."""


@frozen
class WorstCase(AdmissionPolicy):
    """Reserve the memory of ``max_tokens`` for every request."""


@frozen
class BoundedOverflow(AdmissionPolicy):
    """Bound the chance that the memory is overfilled."""

    overflow_probability: float


def overflow_probability(preemption: float, stall: float, tail_latency: float) -> float:
    """Return the chance of overfilling that a deployment's weights allow.

    A preemption costs its own weight and stalls the generation; waiting in the
    queue costs none of the three. The more the first two weigh, the smaller
    the chance.
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
    """What the policies know of the engine."""

    forecast: MemoryForecast = field(
        factory=lambda: MemoryForecast(OVERFLOW_PROBABILITY_MAX)
    )
    reserved_tokens: int = 0

    def rebuild(self, running: Iterable[Ticket]) -> None:
        """Take in the progress of the generations that run."""
        tickets = list(running)
        self.forecast.rebuild(tickets)
        self.reserved_tokens = sum(
            ticket.prompt_tokens + ticket.max_tokens for ticket in tickets
        )

    def add(self, ticket: Ticket) -> None:
        """Take in an admitted request."""
        self.forecast.add(ticket)
        self.reserved_tokens += ticket.prompt_tokens + ticket.max_tokens


@singledispatch
def admits(
    policy: AdmissionPolicy, state: PolicyState, ticket: Ticket, memory_tokens: float
) -> bool:
    """Whether a policy admits a request beside those that run."""
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
