"""Metrics of the links between processes."""

from prometheus_client import CollectorRegistry, Counter, Gauge

__all__ = ["LinkMetrics"]


class LinkMetrics:
    """Counters and gauges for all links of a process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.open_links = Gauge(
            "boragespring_links_open", "Links that are up.", registry=registry
        )
        self.sent_bytes = Counter(
            "boragespring_link_sent_bytes", "Bytes sent on links.", registry=registry
        )
        self.received_bytes = Counter(
            "boragespring_link_received_bytes",
            "Bytes received on links.",
            registry=registry,
        )
        self.silent_links = Counter(
            "boragespring_links_silent",
            "Links closed after silence past the deadline.",
            registry=registry,
        )
        self.local_pauses = Counter(
            "boragespring_link_own_pauses",
            "Heartbeats that this process sent late because it was paused.",
            registry=registry,
        )
        self.protocol_errors = Counter(
            "boragespring_link_protocol_errors",
            "Links closed after bytes that are no messages.",
            registry=registry,
        )
        self.handler_errors = Counter(
            "boragespring_link_handler_errors",
            "Messages whose handler failed.",
            registry=registry,
        )
        self.unusable_messages = Counter(
            "boragespring_link_unusable_messages",
            "Messages left out because of a value that cannot be used.",
            registry=registry,
        )
        self.failed_dials = Counter(
            "boragespring_link_failed_dials",
            "Connections that could not be opened.",
            registry=registry,
        )

    def counts(self) -> dict[str, int]:
        """Return the counts for the status page."""
        reported: dict[str, Counter | Gauge] = {
            "open": self.open_links,
            "silent": self.silent_links,
            "own_pauses": self.local_pauses,
            "protocol_errors": self.protocol_errors,
            "failed_dials": self.failed_dials,
        }
        return {
            name: int(next(iter(metric.collect())).samples[0].value)
            for name, metric in reported.items()
        }
