"""Metrics of a gateway, by workspace, kind of request and outcome."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from boragespring.metrics.labels import LabelBound

__all__ = ["GatewayMetrics"]

WORKSPACES_MAX = 500
TIME_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.36, 0.7, 1.5, 3, 6, 15, 40)
PAUSE_BUCKETS_S = (0.02, 0.035, 0.06, 0.1, 0.18, 0.3, 0.6, 1.5, 4)


class GatewayMetrics:
    """Counters and histograms of requests, streams and moves."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._workspaces = LabelBound(WORKSPACES_MAX)
        names = ("workspace", "kind")
        self._requests = Counter(
            "boragespring_gateway_requests",
            "Requests by final outcome.",
            (*names, "outcome"),
            registry=registry,
        )
        self._answer_s = Histogram(
            "boragespring_gateway_answer_seconds",
            "Time from arrival to the end of the answer.",
            names,
            buckets=TIME_BUCKETS_S,
            registry=registry,
        )
        self._first_event_s = Histogram(
            "boragespring_gateway_first_event_seconds",
            "Time from arrival to the first event of a stream.",
            names,
            buckets=TIME_BUCKETS_S,
            registry=registry,
        )
        self._pause_s = Histogram(
            "boragespring_gateway_longest_pause_seconds",
            "Longest pause between two events of a stream.",
            names,
            buckets=PAUSE_BUCKETS_S,
            registry=registry,
        )
        self._stream_ends = Counter(
            "boragespring_gateway_stream_ends",
            "Ends of streams, by how the server's reply marks its end and whether it"
            " ended within an event.",
            ("end", "framing", "within_event"),
            registry=registry,
        )
        self._cut_by_stop = Counter(
            "boragespring_gateway_cut_by_stop",
            "Requests that the end of the process interrupted, by what they waited"
            " for.",
            ("kind", "stage"),
            registry=registry,
        )
        self._retries = Counter(
            "boragespring_gateway_repeats",
            "Requests sent to a further server, by what the one before did.",
            ("outcome",),
            registry=registry,
        )
        self._evicted = Counter(
            "boragespring_gateway_evicted_callers",
            "Connections of callers that were evicted, by what there was too little of"
            " and what they waited for.",
            ("reason", "state"),
            registry=registry,
        )
        self._held_back = Counter(
            "boragespring_gateway_starts_held_back",
            "Placements at which a cold server took no further request.",
            registry=registry,
        )
        self._moves = Counter(
            "boragespring_gateway_moves",
            "Runs moved off leaving servers, by outcome.",
            ("outcome",),
            registry=registry,
        )

    def record_ended(
        self, workspace: str, kind: str, outcome: str, duration_s: float
    ) -> None:
        """Record a request that has ended, with its duration in seconds."""
        labels = (self._workspaces.fold(workspace), kind)
        self._requests.labels(*labels, outcome).inc()
        self._answer_s.labels(*labels).observe(duration_s)

    def record_stream(
        self, workspace: str, kind: str, first_event_s: float, longest_pause_s: float
    ) -> None:
        """Record the time to the first event and the longest pause of a stream."""
        labels = (self._workspaces.fold(workspace), kind)
        self._first_event_s.labels(*labels).observe(first_event_s)
        self._pause_s.labels(*labels).observe(longest_pause_s)

    def record_stream_end(
        self, end: str, framing: str, *, is_event_unterminated: bool
    ) -> None:
        """Count a stream by its end and by the end of the last server's reply."""
        within_event = "yes" if is_event_unterminated else "no"
        self._stream_ends.labels(end, framing, within_event).inc()

    def record_cut_by_stop(self, kind: str, stage: str) -> None:
        """Count a request that the end of the process interrupted."""
        self._cut_by_stop.labels(kind, stage).inc()

    def record_retry(self, outcome: str) -> None:
        """Count a retry on another server, by the outcome of the previous attempt."""
        self._retries.labels(outcome).inc()

    def record_evicted(self, reason: str, state: str) -> None:
        """Count a connection that was evicted."""
        self._evicted.labels(reason, state).inc()

    def record_held_back(self) -> None:
        """Count a placement at which the rate of a cold server was used up."""
        self._held_back.inc()

    def record_move(self, outcome: str) -> None:
        """Count an attempt to move a run, by outcome."""
        self._moves.labels(outcome).inc()

    def add_gauge(
        self, name: str, documentation: str, read: Callable[[], float]
    ) -> None:
        """Register a gauge whose value is read at each scrape."""
        gauge = Gauge(
            f"boragespring_gateway_{name}", documentation, registry=self._registry
        )
        gauge.set_function(read)
