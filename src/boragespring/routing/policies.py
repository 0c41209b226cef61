"""Load-balancing policies, which choose one of the eligible agents."""

import random
from collections.abc import Mapping, Sequence
from functools import singledispatch

from attrs import define, field, frozen

from boragespring.routing.candidates import Candidate
from boragespring.routing.prefixes import PrefixHash

__all__ = [
    "LeastRequests",
    "PredictedWait",
    "RoundRobin",
    "RouteRequest",
    "RouteView",
    "RoutingPolicy",
    "choose",
]

#: Maximum number of agents compared because they cache the prompt's prefix.
PREFIX_HOLDERS_MAX = 3
#: Weight of a cached prefix whose eviction event may have been lost.
UNCONFIRMED_WEIGHT = 0.5


@frozen
class RouteRequest:
    """Properties of a request that routing depends on.

    Parameters
    ----------
    class_rank : int
        Rank of the traffic class; 0 is the most urgent.
    prompt_tokens : int
        Estimated length of the prompt in tokens.
    max_tokens : int
        Maximum length of the answer in tokens; 0 for a call to a service that
        generates none.
    prefixes : tuple of PrefixHash
        Hashes of the prompt's prefixes, longest first.
    """

    class_rank: int = 1
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefixes: tuple[PrefixHash, ...] = ()


@frozen
class RouteView:
    """State of the agents of a service at the time of a choice.

    Parameters
    ----------
    eligible : sequence of Candidate
        Agents that can be chosen; never empty.
    holders : mapping of int to mapping of str to Candidate
        Agents with a confirmed cached prefix, by prefix hash and agent name.
    excluded : frozenset of str
        Names of the agents that already refused the request or failed it.
    zone : str
        Availability zone of the entry.
    rng : random.Random
        Random number generator.
    now_s : float
        Monotonic time in seconds.
    """

    eligible: Sequence[Candidate]
    holders: Mapping[int, Mapping[str, Candidate]]
    excluded: frozenset[str]
    zone: str
    rng: random.Random
    now_s: float


@define
class RoutingPolicy:
    """Base class of routing policies."""


@define
class RoundRobin(RoutingPolicy):
    """Cycle through the eligible agents."""

    position: int = field(init=False, default=0)


@define
class LeastRequests(RoutingPolicy):
    """Choose the agent with the fewest open requests from this entry."""


@define
class PredictedWait(RoutingPolicy):
    """Choose the agent with the lowest cost among a few random ones.

    The cost is a time: the predicted wait and prefill time, plus penalties for
    memory pressure and for another availability zone. A few agents that cache
    a prefix of the prompt are always compared too.

    Parameters
    ----------
    choices_min : int
        Number of random agents compared when load reports are stale. Comparing
        only a few prevents herding: with the same stale reports, all entries
        would choose the same agent.
    choices_max : int
        Number of random agents compared when load reports are fresh.
    fresh_age_s : float
        Age up to which a load report counts as fresh, in seconds.
    zone_penalty_s : float
        Added cost of an agent in another availability zone, in seconds: the
        wait that choosing such an agent has to save.
    pressure_cost_s : float
        Cost of a full memory compared with an empty one, in seconds. It
        balances memory use before any request has to wait.
    prefill_tokens_per_s : float
        Rate at which engines process prompts, in tokens per second.
    """

    choices_min: int = 3
    choices_max: int = 6
    fresh_age_s: float = 1.0
    zone_penalty_s: float = 0.25
    pressure_cost_s: float = 1.0
    prefill_tokens_per_s: float = 20_000.0


@singledispatch
def choose(policy: RoutingPolicy, request: RouteRequest, view: RouteView) -> Candidate:
    """Return the agent that a policy chooses for a request.

    Raises
    ------
    NotImplementedError
        If no implementation is registered for the type of the policy.
    """
    raise NotImplementedError(type(policy).__name__)


@choose.register
def _(policy: RoundRobin, request: RouteRequest, view: RouteView) -> Candidate:
    policy.position += 1
    return view.eligible[policy.position % len(view.eligible)]


@choose.register
def _(policy: LeastRequests, request: RouteRequest, view: RouteView) -> Candidate:
    fewest = min(candidate.open_requests for candidate in view.eligible)
    return view.rng.choice([c for c in view.eligible if c.open_requests == fewest])


@choose.register
def _(policy: PredictedWait, request: RouteRequest, view: RouteView) -> Candidate:
    compared = _sample_candidates(policy, view) + _prefix_holders(request, view)
    return min(
        compared, key=lambda candidate: _cost_s(policy, request, candidate, view)
    )


def _sample_candidates(policy: PredictedWait, view: RouteView) -> list[Candidate]:
    """Return random eligible agents; more of them if load reports are fresh."""
    eligible, rng = view.eligible, view.rng
    if len(eligible) <= policy.choices_min:
        return list(eligible)
    age_s = rng.choice(eligible).load_age_s(view.now_s)
    freshness = min(1.0, policy.fresh_age_s / max(age_s, policy.fresh_age_s))
    spread = policy.choices_max - policy.choices_min
    count = policy.choices_min + round(spread * freshness)
    return rng.sample(eligible, min(count, len(eligible)))


def _prefix_holders(request: RouteRequest, view: RouteView) -> list[Candidate]:
    """Return a few eligible agents that cache the longest possible prefix."""
    for prefix in request.prefixes:
        holders = view.holders.get(prefix.digest)
        if holders:
            count = min(PREFIX_HOLDERS_MAX, len(holders))
            sampled = view.rng.sample(list(holders.values()), count)
            return [
                candidate
                for candidate in sampled
                if candidate.is_eligible(view.now_s)
                and candidate.name not in view.excluded
            ]
    return []


def _cost_s(
    policy: PredictedWait, request: RouteRequest, candidate: Candidate, view: RouteView
) -> float:
    """Return the cost of sending a request to an agent, in seconds."""
    footprint_tokens = candidate.footprint_tokens(
        request.prompt_tokens, request.max_tokens
    )
    prefill_tokens = request.prompt_tokens - _cached_tokens(request, candidate)
    cost_s = candidate.predict_wait_s(footprint_tokens, view.now_s)
    cost_s += prefill_tokens / policy.prefill_tokens_per_s
    cost_s += policy.pressure_cost_s * candidate.pressure()
    if candidate.availability_zone != view.zone:
        cost_s += policy.zone_penalty_s
    return cost_s


def _cached_tokens(request: RouteRequest, candidate: Candidate) -> float:
    """Return how many prompt tokens are probably cached at an agent.

    The length of an unconfirmed prefix is multiplied by `UNCONFIRMED_WEIGHT`.
    """
    unconfirmed_tokens = 0.0
    for prefix in request.prefixes:
        if prefix.digest in candidate.confirmed_prefixes:
            return max(prefix.tokens, unconfirmed_tokens)
        if not unconfirmed_tokens and prefix.digest in candidate.unconfirmed_prefixes:
            unconfirmed_tokens = UNCONFIRMED_WEIGHT * prefix.tokens
    return unconfirmed_tokens
