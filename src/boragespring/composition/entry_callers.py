"""Build the server for the callers of an entry."""

from collections.abc import Callable

from absl import logging
from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge

from boragespring.entry.problems import Problem
from boragespring.http import HttpServer
from boragespring.http.caller_budget import CallerBudget, Eviction, budget_settings
from boragespring.http.connection_limits import ConnectionLimits
from boragespring.settings import CallerSettings, EntrySettings

__all__ = ["build_caller_server", "build_problem_record"]

#: Cost in memory of each byte of a body: as received, and as text of up to four bytes
#: for each character.
PARSED_BODY_COST_FACTOR = 6
#: Minimum time in seconds between two log lines about evictions, and about refusals.
LOG_INTERVAL_S = 1.0
#: Refusals by limits on what callers send, which are logged.
LOGGED_CODES = frozenset(
    ("body_too_large", "invalid_body", "out_of_memory", "too_many_values")
)


def build_caller_server(
    settings: EntrySettings, app: web.Application, registry: CollectorRegistry
) -> HttpServer:
    """Return the server for callers, whose memory and connections are bounded."""
    limits = _connection_limits(settings.callers)
    budget = CallerBudget(budget_settings(settings.process))
    budget.allow_request(limits.largest_request_bytes)
    evicted = Counter(
        "boragespring_evicted_callers",
        "Connections of callers that were evicted, by what there was too little of"
        " and what they waited for.",
        ("reason", "state"),
        registry=registry,
    )

    def record(eviction: Eviction) -> None:
        evicted.labels(eviction.reason.value, eviction.state.value).inc()
        logging.log_every_n_seconds(
            logging.WARNING,
            "event=caller_evicted reason=%s state=%s held_bytes=%d waited_s=%.3f"
            " all_held_bytes=%d connections=%d",
            LOG_INTERVAL_S,
            eviction.reason.value,
            eviction.state.value,
            eviction.held_bytes,
            eviction.waited_s,
            budget.held_bytes,
            budget.connections,
        )

    budget.eviction_hooks.append(record)
    _add_gauges(budget, registry)
    logging.info(
        "event=callers_limited memory_max_bytes=%d connections_max=%d",
        budget.memory_max_bytes,
        budget.settings.connections_max,
    )
    return HttpServer(settings.http, app, limits, budget)


def build_problem_record(registry: CollectorRegistry) -> Callable[[Problem], None]:
    """Return a function that counts error responses, and logs some of them."""
    problems = Counter(
        "boragespring_problems",
        "Error responses to callers, by code.",
        ("code",),
        registry=registry,
    )

    def record(problem: Problem) -> None:
        problems.labels(problem.code).inc()
        if problem.code in LOGGED_CODES:
            logging.log_every_n_seconds(
                logging.WARNING,
                "event=request_refused code=%s message=%s",
                LOG_INTERVAL_S,
                problem.code,
                problem.message,
            )

    return record


def _connection_limits(callers: CallerSettings) -> ConnectionLimits:
    return ConnectionLimits(
        header_bytes=callers.header_max_bytes,
        body_bytes=callers.body_max_bytes,
        header_timeout_s=callers.header_timeout_s,
        idle_timeout_s=callers.idle_timeout_s,
        body_cost_factor=PARSED_BODY_COST_FACTOR,
    )


def _add_gauges(budget: CallerBudget, registry: CollectorRegistry) -> None:
    held_bytes = Gauge(
        "boragespring_callers_memory_bytes",
        "Memory that connections of callers hold.",
        registry=registry,
    )
    held_bytes.set_function(lambda: float(budget.held_bytes))
    connections = Gauge(
        "boragespring_callers_connections",
        "Open connections of callers.",
        registry=registry,
    )
    connections.set_function(lambda: float(budget.connections))
