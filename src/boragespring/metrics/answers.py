"""Metrics of answers, by workspace and traffic class."""

from attrs import frozen
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from boragespring.metrics.histogram import HistogramChild, TokenHistogram
from boragespring.metrics.labels import LabelBound

__all__ = ["AnswerHistograms", "AnswerMetrics"]

WORKSPACES_MAX = 500
CLASSES_MAX = 8
TIME_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.36, 0.7, 1.5, 3, 10, 30, 120, 600)
INTERVAL_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.25, 1, 5, 30)
LENGTH_BUCKETS_TOKENS = (4, 16, 64, 256, 1024, 4096, 16384, 65536)


@frozen
class AnswerHistograms:
    """Histograms of one workspace and traffic class, looked up once per answer."""

    first_token_s: Histogram
    token_interval_s: HistogramChild
    stall_s: Histogram
    length_tokens: Histogram


class AnswerMetrics:
    """Histograms and counters of the answers that an entry delivers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._workspaces = LabelBound(WORKSPACES_MAX)
        self._classes = LabelBound(CLASSES_MAX)
        self._histograms: dict[tuple[str, str], AnswerHistograms] = {}
        names = ("workspace", "traffic_class")
        self._first_token_s = Histogram(
            "boragespring_first_token_seconds",
            "Time from request to first token.",
            names,
            buckets=TIME_BUCKETS_S,
            registry=registry,
        )
        self._token_interval_s = TokenHistogram(
            "boragespring_token_interval_seconds",
            "Time between arrivals of tokens.",
            names,
            buckets=INTERVAL_BUCKETS_S,
            registry=registry,
        )
        self._stall_s = Histogram(
            "boragespring_stall_seconds",
            "Time that a started answer produced nothing beyond the interval.",
            names,
            buckets=TIME_BUCKETS_S,
            registry=registry,
        )
        self._length_tokens = Histogram(
            "boragespring_answer_length_tokens",
            "Tokens of an answer.",
            names,
            buckets=LENGTH_BUCKETS_TOKENS,
            registry=registry,
        )
        self.requests = Counter(
            "boragespring_requests",
            "Requests by outcome code.",
            (*names, "code"),
            registry=registry,
        )
        self.running = Gauge(
            "boragespring_answers_running",
            "Answers on their way to callers.",
            registry=registry,
        )
        self.resumes = Counter(
            "boragespring_answer_resumes",
            "Answers resumed on another link.",
            registry=registry,
        )
        self.restarts = Counter(
            "boragespring_answer_restarts",
            "Answers restarted as a new generation.",
            registry=registry,
        )

    def histograms_for(self, workspace: str, traffic_class: str) -> AnswerHistograms:
        """Return the histograms of a workspace and traffic class."""
        key = (self._workspaces.fold(workspace), self._classes.fold(traffic_class))
        histograms = self._histograms.get(key)
        if histograms is None:
            histograms = AnswerHistograms(
                self._first_token_s.labels(*key),
                self._token_interval_s.labels(*key),
                self._stall_s.labels(*key),
                self._length_tokens.labels(*key),
            )
            self._histograms[key] = histograms
        return histograms

    def count_request(self, workspace: str, traffic_class: str, code: str) -> None:
        """Count one request under its outcome code."""
        key = (self._workspaces.fold(workspace), self._classes.fold(traffic_class))
        self.requests.labels(*key, code).inc()
