"""Dependencies shared by the classes that forward requests."""

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
    """Do nothing; the default for a gateway without peers."""


@frozen
class ForwardingContext:
    """Dependencies shared by the classes that forward requests.

    Parameters
    ----------
    fleet : Fleet
        Known backend servers and their load.
    calls : BackendCalls
        Client for the backend servers.
    budget : RetryBudget
        Limit on the number of retries.
    log : DecisionLog
        Log of forwarding decisions.
    zone : str
        Availability zone of this gateway.
    placement : PlacementSettings
        Weights used to choose a server.
    metrics : GatewayMetrics
        Counters and histograms.
    notify_loads : callable
        Called after the load of a server has changed, to update other gateways.
    """

    fleet: Fleet
    calls: BackendCalls
    budget: RetryBudget
    log: DecisionLog
    zone: str
    placement: PlacementSettings
    metrics: GatewayMetrics
    notify_loads: Callable[[], None] = _notify_nobody
