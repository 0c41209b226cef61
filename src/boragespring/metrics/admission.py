"""Metrics of an agent's admission queue, by workspace and traffic class."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from boragespring.metrics.labels import LabelBound

__all__ = ["AdmissionMetrics"]

WORKSPACES_MAX = 500
CLASSES_MAX = 8
QUEUE_TIME_BUCKETS_S = (0.005, 0.05, 0.2, 0.5, 1, 3, 10, 30, 120, 600)


class AdmissionMetrics:
    """Queue times, refusals and gauges of the admission queue."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._workspaces = LabelBound(WORKSPACES_MAX)
        self._classes = LabelBound(CLASSES_MAX)
        names = ("workspace", "traffic_class")
        self._queue_time_s = Histogram(
            "boragespring_queue_time_seconds",
            "Time from arrival at the agent to admission.",
            names,
            buckets=QUEUE_TIME_BUCKETS_S,
            registry=registry,
        )
        self._refusals = Counter(
            "boragespring_admission_refusals",
            "Requests refused as not run, by code.",
            (*names, "code"),
            registry=registry,
        )

    def add_gauge(
        self, name: str, documentation: str, read: Callable[[], float]
    ) -> None:
        """Register a gauge whose value is read at each scrape."""
        gauge = Gauge(f"boragespring_{name}", documentation, registry=self._registry)
        gauge.set_function(read)

    def record_admitted(
        self, workspace: str, traffic_class: str, queue_time_s: float
    ) -> None:
        """Record a request that was admitted."""
        labels = self._labels(workspace, traffic_class)
        self._queue_time_s.labels(*labels).observe(queue_time_s)

    def record_refused(self, workspace: str, traffic_class: str, code: str) -> None:
        """Record a request that was refused."""
        self._refusals.labels(*self._labels(workspace, traffic_class), code).inc()

    def _labels(self, workspace: str, traffic_class: str) -> tuple[str, str]:
        return self._workspaces.fold(workspace), self._classes.fold(traffic_class)
