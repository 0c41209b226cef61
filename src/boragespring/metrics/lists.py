"""Metrics of the active lists."""

from typing import Protocol

from prometheus_client import CollectorRegistry, Gauge

__all__ = ["ActiveLists", "ListsCounters", "ListsMetrics"]


class ListsCounters(Protocol):
    """Counters of offered versions, by outcome."""

    @property
    def accepted(self) -> int:
        """Versions that became active."""
        ...

    @property
    def stale_refused(self) -> int:
        """Versions refused because they are older than the active one."""
        ...

    @property
    def forks_refused(self) -> int:
        """Versions refused because their history differs from the active one."""
        ...

    @property
    def invalid_refused(self) -> int:
        """Versions refused because their document is invalid."""
        ...


class ActiveLists(Protocol):
    """Holder of the active version."""

    @property
    def version(self) -> int:
        """Number of the active version, or 0 if there is none."""
        ...

    @property
    def counters(self) -> ListsCounters:
        """Counters since the start of the process."""
        ...


class ListsMetrics:
    """Export the active version and the outcomes of offered versions."""

    def __init__(self, registry: CollectorRegistry, lists: ActiveLists) -> None:
        version = Gauge(
            "boragespring_lists_version",
            "Version of the lists in force.",
            registry=registry,
        )
        version.set_function(lambda: float(lists.version))
        offers = Gauge(
            "boragespring_lists_offers",
            "Offered versions since the start, by outcome.",
            ("outcome",),
            registry=registry,
        )
        counters = lists.counters
        offers.labels("accepted").set_function(lambda: float(counters.accepted))
        offers.labels("stale").set_function(lambda: float(counters.stale_refused))
        offers.labels("fork").set_function(lambda: float(counters.forks_refused))
        offers.labels("invalid").set_function(lambda: float(counters.invalid_refused))
