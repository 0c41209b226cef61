"""Choose an agent for each request to one service."""

import random
import time
from collections.abc import Callable, Iterable
from enum import StrEnum

from attrs import Factory, define, evolve, field, frozen

from boragespring.routing.candidates import Candidate
from boragespring.routing.ejection import Ejection, EjectionSettings
from boragespring.routing.errors import RouteRefusedCode, RouteRefusedError
from boragespring.routing.loads import AgentLoad
from boragespring.routing.policies import (
    PredictedWait,
    RouteRequest,
    RouteView,
    RoutingPolicy,
    choose,
)
from boragespring.routing.prefixes import CacheDigest
from boragespring.routing.subset import Placement

__all__ = ["RouteOutcome", "Router", "RouterSettings"]

#: Minimum delay after which callers should retry a refused request.
NO_AGENT_RETRY_AFTER_S = 1.0
#: Interval at which the mean pressure of the eligible agents is recomputed.
PRESSURE_INTERVAL_S = 0.1


@frozen
class RouterSettings:
    """Settings of a router.

    Parameters
    ----------
    policy : RoutingPolicy
        Policy that chooses one of the eligible agents.
    ejection : EjectionSettings
        Settings of the ejection of failing agents.
    shed_pressures : tuple of float
        For each rank of traffic class, the mean pressure of the eligible
        agents above which requests are shed. The last value also applies to
        all higher ranks.
    """

    policy: RoutingPolicy = Factory(PredictedWait)
    ejection: EjectionSettings = Factory(EjectionSettings)
    shed_pressures: tuple[float, ...] = (16.0, 12.0, 8.0)


class RouteOutcome(StrEnum):
    """Outcome of a request at the agent that was chosen for it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"


@define(eq=False)
class Router:
    """Router of one entry for the agents of one service.

    Parameters
    ----------
    zone : str
        Availability zone of the entry.
    settings : RouterSettings
        Policy, ejection and load shedding.
    rng : random.Random
        Random number generator.
    clock : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    ejection : Ejection
        Outlier ejection of the agents.
    candidates : dict of str to Candidate
        Agents by name, whether they are eligible or not.
    """

    zone: str
    settings: RouterSettings = Factory(RouterSettings)
    rng: random.Random = Factory(random.Random)
    clock: Callable[[], float] = time.monotonic
    ejection: Ejection = field(init=False)
    candidates: dict[str, Candidate] = field(init=False, factory=dict)
    _policy: RoutingPolicy = field(init=False)
    _holders: dict[int, dict[str, Candidate]] = field(init=False, factory=dict)
    _eligible: list[Candidate] = field(init=False, factory=list)
    _eligible_until_s: float = field(init=False, default=float("-inf"))
    _pressure: float = field(init=False, default=0.0)
    _pressure_until_s: float = field(init=False, default=float("-inf"))

    def __attrs_post_init__(self) -> None:
        self.ejection = Ejection(self.settings.ejection)
        # Routers share their settings, while a policy can have a state of its own.
        self._policy = evolve(self.settings.policy)

    def set_agents(self, agents: Iterable[Placement]) -> None:
        """Replace the set of agents, keeping the state of those that remain."""
        previous = self.candidates
        self.candidates = {
            agent.name: previous.get(agent.name)
            or Candidate(agent.name, agent.availability_zone)
            for agent in agents
        }
        for name in previous.keys() - self.candidates.keys():
            self._remove_prefixes(previous[name])
        self._invalidate_caches()

    def set_linked(self, name: str, is_linked: bool) -> None:
        """Set whether an agent is connected and accepts new work."""
        candidate = self.candidates.get(name)
        if candidate is not None and candidate.is_linked != is_linked:
            candidate.is_linked = is_linked
            self._invalidate_caches()

    def set_open_requests(self, name: str, count: int, share: float) -> None:
        """Set an agent's open requests from this entry and its slow-start share."""
        candidate = self.candidates[name]
        candidate.open_requests = count
        candidate.share = share

    def update_load(self, name: str, load: AgentLoad) -> None:
        """Update the reported load of an agent; unknown agents are ignored."""
        candidate = self.candidates.get(name)
        if candidate is not None:
            candidate.update_load(load, self.clock())

    def update_digest(self, name: str, digest: CacheDigest) -> None:
        """Update the prefixes that an agent caches; unknown agents are ignored."""
        candidate = self.candidates.get(name)
        if candidate is None:
            return
        self._remove_prefixes(candidate)
        candidate.update_digest(digest)
        for prefix in candidate.confirmed_prefixes:
            self._holders.setdefault(prefix, {})[name] = candidate

    def ejected_agents(self) -> list[str]:
        """Return the names of the agents that are currently ejected, sorted."""
        now_s = self.clock()
        return sorted(
            name
            for name, candidate in self.candidates.items()
            if candidate.ejected_until_s > now_s
        )

    def record_outcome(self, name: str, outcome: RouteOutcome) -> None:
        """Record the outcome of a request at the agent that `choose` returned.

        Refused and abandoned requests affect neither failure counts nor
        ejection, because they say nothing about the health of the agent.
        """
        candidate = self.candidates.get(name)
        if candidate is None:
            return
        candidate.open_requests -= 1
        if outcome is RouteOutcome.SERVED:
            self.ejection.record_success(candidate)
        elif outcome is RouteOutcome.FAILED:
            self.ejection.record_failure(
                candidate, self.candidates.values(), self.clock()
            )
            self._invalidate_caches()

    def choose(
        self, request: RouteRequest, excluded: frozenset[str] = frozenset()
    ) -> str:
        """Choose an agent for a request and count the request as open there.

        Parameters
        ----------
        request : RouteRequest
            Request to route.
        excluded : frozenset of str
            Names of the agents that already refused the request or failed it.

        Returns
        -------
        str
            Name of the chosen agent.

        Raises
        ------
        RouteRefusedError
            If no agent is eligible, or if the service is so loaded that
            requests of this traffic class are shed.
        """
        now_s = self.clock()
        eligible = self._eligible_candidates(now_s)
        if excluded:
            eligible = [c for c in eligible if c.name not in excluded]
        if not eligible:
            raise RouteRefusedError(RouteRefusedCode.NO_AGENT, NO_AGENT_RETRY_AFTER_S)
        self._shed_if_overloaded(request, now_s)
        view = RouteView(eligible, self._holders, excluded, self.zone, self.rng, now_s)
        candidate = choose(self._policy, request, view)
        candidate.open_requests += 1
        candidate.unreported_requests += 1
        candidate.unreported_tokens += candidate.footprint_tokens(
            request.prompt_tokens, request.max_tokens
        )
        return candidate.name

    def _shed_if_overloaded(self, request: RouteRequest, now_s: float) -> None:
        """Raise `RouteRefusedError` if requests of this class are shed."""
        limits = self.settings.shed_pressures
        limit = limits[min(request.class_rank, len(limits) - 1)]
        if now_s >= self._pressure_until_s:
            pressures = [candidate.pressure() for candidate in self._eligible]
            self._pressure = sum(pressures) / len(pressures)
            self._pressure_until_s = now_s + PRESSURE_INTERVAL_S
        if self._pressure <= limit:
            return
        waits_s = (
            c.predict_wait_s(request.prompt_tokens, now_s) for c in self._eligible
        )
        retry_after_s = max(NO_AGENT_RETRY_AFTER_S, min(waits_s))
        raise RouteRefusedError(RouteRefusedCode.OVERLOADED, retry_after_s)

    def _eligible_candidates(self, now_s: float) -> list[Candidate]:
        """Return the eligible agents, cached until the next ejection ends."""
        if now_s < self._eligible_until_s:
            return self._eligible
        candidates = self.candidates.values()
        self._eligible = [c for c in candidates if c.is_eligible(now_s)]
        ends = [c.ejected_until_s for c in candidates if c.ejected_until_s > now_s]
        self._eligible_until_s = min(ends, default=float("inf"))
        return self._eligible

    def _remove_prefixes(self, candidate: Candidate) -> None:
        for prefix in candidate.confirmed_prefixes:
            names = self._holders[prefix]
            names.pop(candidate.name, None)
            if not names:
                del self._holders[prefix]

    def _invalidate_caches(self) -> None:
        self._eligible_until_s = float("-inf")
        self._pressure_until_s = float("-inf")
