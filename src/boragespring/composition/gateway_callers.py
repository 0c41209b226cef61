"""Build the budget of the callers of a gateway."""

from boragespring.catalog import CallerLimits
from boragespring.decisions import DecisionLog
from boragespring.http.caller_budget import CallerBudget, Eviction, budget_settings
from boragespring.metrics.gateway import GatewayMetrics
from boragespring.platform.http_server import connection_limits
from boragespring.settings import ProcessSettings

__all__ = ["build_caller_budget"]


def build_caller_budget(
    process: ProcessSettings, metrics: GatewayMetrics, log: DecisionLog
) -> CallerBudget:
    """Return the budget of all callers, which logs and counts evictions."""
    budget = CallerBudget(budget_settings(process))
    # The limits of a configuration follow with its first request.
    budget.allow_request(connection_limits(CallerLimits()).largest_request_bytes)

    def record(eviction: Eviction) -> None:
        metrics.record_evicted(eviction.reason.value, eviction.state.value)
        log.failure(
            "caller_evicted",
            "",
            reason=eviction.reason.value,
            state=eviction.state.value,
            held_bytes=eviction.held_bytes,
            waited_s=eviction.waited_s,
            all_held_bytes=budget.held_bytes,
            connections=budget.connections,
        )

    budget.eviction_hooks.append(record)
    metrics.add_gauge(
        "callers_memory_bytes",
        "Memory that connections of callers hold.",
        lambda: float(budget.held_bytes),
    )
    metrics.add_gauge(
        "callers_connections",
        "Open connections of callers.",
        lambda: float(budget.connections),
    )
    log.lifecycle(
        "callers_limited",
        memory_max_bytes=budget.memory_max_bytes,
        connections_max=budget.settings.connections_max,
    )
    return budget
