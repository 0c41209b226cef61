"""Translate the routing settings of an entry into those of its routers."""

from boragespring.routing import (
    LeastRequests,
    PredictedWait,
    RoundRobin,
    RouterSettings,
    RoutingPolicy,
)
from boragespring.settings import RoutingSettings

__all__ = ["router_settings"]


def router_settings(settings: RoutingSettings) -> RouterSettings:
    """Return router settings, with a new instance of the configured policy."""
    return RouterSettings(policy=_policy(settings))


def _policy(settings: RoutingSettings) -> RoutingPolicy:
    match settings.policy:
        case "round_robin":
            return RoundRobin()
        case "least_requests":
            return LeastRequests()
        case "predicted_wait":
            return PredictedWait(zone_penalty_s=settings.zone_penalty_s)
