"""Build an agent's admission queue and the followers of its backend server."""

from prometheus_client import CollectorRegistry

from boragespring.admission import (
    AdmissionPolicy,
    AdmissionQueue,
    AdmissionSettings,
    BoundedOverflow,
    FairQueueSettings,
    NoAdmission,
    WorstCase,
    overflow_probability,
)
from boragespring.agent.cache_follower import CacheFollower
from boragespring.agent.daemon import Follower
from boragespring.agent.load_monitor import LoadMonitor
from boragespring.agent.workload import Workload
from boragespring.engines import EngineClient, ServiceClient
from boragespring.metrics.admission import AdmissionMetrics
from boragespring.settings import AgentSettings

__all__ = ["PLAIN_VENDOR", "build_followers", "build_queue"]

#: Value of the setting `server.vendor` for a service that is not an inference engine.
PLAIN_VENDOR = "plain"


def build_queue(settings: AgentSettings, registry: CollectorRegistry) -> AdmissionQueue:
    """Return the admission queue of the backend server and register its metrics."""
    metrics = AdmissionMetrics(registry)
    queue = AdmissionQueue(_admission_settings(settings), metrics=metrics)
    metrics.add_gauge(
        "admission_running",
        "Requests that run at the backend server.",
        lambda: len(queue.running),
    )
    metrics.add_gauge(
        "admission_waiting", "Requests that wait in the agent.", lambda: queue.waiting
    )
    metrics.add_gauge(
        "admission_used_tokens",
        "Memory that the running requests hold, by the agent's own count.",
        lambda: queue.used_tokens,
    )
    return queue


def build_followers(
    settings: AgentSettings,
    server: EngineClient | ServiceClient,
    workload: Workload,
    registry: CollectorRegistry,
) -> tuple[Follower, ...]:
    """Return the followers of the backend server's load and prefix cache.

    The cache is followed only if the settings name an address for its events.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the agent.
    server : EngineClient or ServiceClient
        Client of the backend server, from which load reports are read.
    workload : Workload
        Receives the load reports and the content of the cache.
    registry : CollectorRegistry
        Registry for the metrics of the load reports.
    """
    interval_s = settings.server.load_report_interval_s
    monitor = LoadMonitor(server, workload.queue, interval_s, registry)
    url = settings.server.cache_events_url
    return (monitor, CacheFollower(url, workload.cache)) if url else (monitor,)


def _admission_settings(settings: AgentSettings) -> AdmissionSettings:
    is_plain = settings.server.vendor == PLAIN_VENDOR
    queue = settings.queue
    return AdmissionSettings(
        memory_tokens=0 if is_plain else settings.server.memory_tokens,
        concurrency_max=settings.server.concurrency_max,
        queue_max=queue.waiting_max,
        prefill_max_tokens=queue.prefill_max_tokens,
        policy=_policy(settings),
        fairness=FairQueueSettings(ageing_time_s=queue.ageing_time_s),
    )


def _policy(settings: AgentSettings) -> AdmissionPolicy:
    match settings.queue.policy:
        case "none":
            return NoAdmission()
        case "worst_case":
            return WorstCase()
        case "bounded_chance":
            weights = settings.weights
            return BoundedOverflow(
                overflow_probability(
                    weights.preemption, weights.stall, weights.tail_latency
                )
            )
