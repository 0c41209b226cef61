"""Policies that choose one agent among those that may be chosen."""

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

#: Agents with the prefix that are compared.
PREFIX_HOLDERS_MAX = 3
#: Trust in a prefix that a lost event may have removed.
UNCONFIRMED_WEIGHT = 0.5


@frozen
class RouteRequest:
    """What routing knows of a request.

    Parameters
    ----------
    class_rank : int
        Rank of its traffic class; 0 is the most urgent.
    prompt_tokens : int
        Estimated length of the prompt.
    max_tokens : int
        Bound of the length of the answer; 0 for a call to a plain service.
    prefixes : tuple of PrefixHash
        Hashes of the prompt's prefixes, the longest first.
    """

    class_rank: int = 1
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefixes: tuple[PrefixHash, ...] = ()


@frozen
class RouteView:
    """What routing knows of the agents at one time.

    Parameters
    ----------
    eligible : sequence of Candidate
        Agents that may be chosen; never empty.
    holders : mapping of int to mapping of str to Candidate
        Agents that surely cache a prefix, by its hash and their names.
    excluded : frozenset of str
        Agents that already refused or failed the request.
    zone : str
        Availability zone of the entry.
    rng : random.Random
        Source of the random choices.
    now_s : float
        Monotonic time.
    """

    eligible: Sequence[Candidate]
    holders: Mapping[int, Mapping[str, Candidate]]
    excluded: frozenset[str]
    zone: str
    rng: random.Random
    now_s: float


@define
class RoutingPolicy:
    """Base of the policies."""


@define
class RoundRobin(RoutingPolicy):
    """Take the agents in turn."""

    position: int = field(init=False, default=0)


@define
class LeastRequests(RoutingPolicy):
    """Take the agent with the fewest requests that this entry has open."""


@define
class PredictedWait(RoutingPolicy):
    """Take the smallest predicted wait among a few random agents.

    Parameters
    ----------
    choices_min : int
        Agents that are compared when loads are old; a few random ones keep
        the entries from sending all to the one that looked best.
    choices_max : int
        Agents that are compared when loads are fresh.
    fresh_age_s : float
        Age up to which a load is fresh.
    zone_penalty_s : float
        Wait that another availability zone has to save.
    pressure_cost_s : float
        Cost of a full memory against an empty one, below the point where
        requests wait.
    prefill_tokens_per_s : float
        Rate at which engines compute prompts.
    """

    choices_min: int = 3
    choices_max: int = 6
    fresh_age_s: float = 1.0
    zone_penalty_s: float = 0.25
    pressure_cost_s: float = 1.0
    prefill_tokens_per_s: float = 20_000.0


@singledispatch
def choose(policy: RoutingPolicy, request: RouteRequest, view: RouteView) -> Candidate:
    """Return the agent that a policy chooses."""
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
    eligible, rng = view.eligible, view.rng
    if len(eligible) <= policy.choices_min:
        return list(eligible)
    age_s = rng.choice(eligible).load_age_s(view.now_s)
    freshness = min(1.0, policy.fresh_age_s / max(age_s, policy.fresh_age_s))
    spread = policy.choices_max - policy.choices_min
    count = policy.choices_min + round(spread * freshness)
    return rng.sample(eligible, min(count, len(eligible)))


def _prefix_holders(request: RouteRequest, view: RouteView) -> list[Candidate]:
    """Return a few agents that cache the longest known prefix."""
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
    """Return the prompt tokens that are probably cached, a doubt counting half."""
    unconfirmed_tokens = 0.0
    for prefix in request.prefixes:
        if prefix.digest in candidate.confirmed_prefixes:
            return max(prefix.tokens, unconfirmed_tokens)
        if not unconfirmed_tokens and prefix.digest in candidate.unconfirmed_prefixes:
            unconfirmed_tokens = UNCONFIRMED_WEIGHT * prefix.tokens
    return unconfirmed_tokens
