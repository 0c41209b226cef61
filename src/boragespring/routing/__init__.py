"""Routing of requests from an entry to the agents of a service."""

from boragespring.routing.ejection import EjectionSettings
from boragespring.routing.errors import (
    RouteRefusedCode,
    RouteRefusedError,
    RoutingError,
)
from boragespring.routing.loads import AgentLoad
from boragespring.routing.policies import (
    LeastRequests,
    PredictedWait,
    RoundRobin,
    RouteRequest,
    RoutingPolicy,
)
from boragespring.routing.prefixes import (
    CacheDigest,
    CacheIndex,
    PrefixHash,
    prefix_hashes,
)
from boragespring.routing.router import RouteOutcome, Router, RouterSettings
from boragespring.routing.subset import Placement, SubsetSettings, select_subset

__all__ = [
    "AgentLoad",
    "CacheDigest",
    "CacheIndex",
    "EjectionSettings",
    "LeastRequests",
    "Placement",
    "PredictedWait",
    "PrefixHash",
    "RoundRobin",
    "RouteOutcome",
    "RouteRefusedCode",
    "RouteRefusedError",
    "RouteRequest",
    "Router",
    "RouterSettings",
    "RoutingError",
    "RoutingPolicy",
    "SubsetSettings",
    "select_subset",
    "prefix_hashes",
]
