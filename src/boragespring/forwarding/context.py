"""What all parts of forwarding share."""

from collections.abc import Callable

from attrs import frozen

from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet
from boragespring.forwarding.messages import BackendCalls
from boragespring.forwarding.placement import PlacementSettings
from boragespring.forwarding.retry_budget import RetryBudget
from boragespring.metrics.gateway import GatewayMetrics

__all__ = ["ForwardingContext"]


def _notify_nobody() -> None:
    """Stand in where there are no other gateways."""


@frozen
class ForwardingContext:
    """Parts that forwarding needs.

    Parameters
    ----------
    fleet : Fleet
        Backend servers.
    calls : BackendCalls
        How they are called.
    budget : RetryBudget
        Bound on repeats.
    log : DecisionLog
        Where decisions are told.
    zone : str
        Availability zone of this gateway.
    placement : PlacementSettings
        Weights of placing.
    metrics : GatewayMetrics
        Counters and histograms.
    notify_loads : callable
        Called when a run was placed, so that other gateways learn of it.
    """

    fleet: Fleet
    calls: BackendCalls
    budget: RetryBudget
    log: DecisionLog
    zone: str
    placement: PlacementSettings
    metrics: GatewayMetrics
    notify_loads: Callable[[], None] = _notify_nobody
