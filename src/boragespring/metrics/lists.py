"""Metrics of the lists in force."""

from typing import Protocol

from prometheus_client import CollectorRegistry, Gauge

__all__ = ["ActiveLists", "ListsCounters", "ListsMetrics"]


class ListsCounters(Protocol):
    """Counts of offered versions."""

    @property
    def accepted(self) -> int:
        """Versions that came into force."""
        ...

    @property
    def stale_refused(self) -> int:
        """Older versions that were refused."""
        ...

    @property
    def forks_refused(self) -> int:
        """Versions of another branch that were refused."""
        ...

    @property
    def invalid_refused(self) -> int:
        """Versions with a wrong document."""
        ...


class ActiveLists(Protocol):
    """Holder of the version in force."""

    @property
    def version(self) -> int:
        """Number of the version in force; 0 for none."""
        ...

    @property
    def counters(self) -> ListsCounters:
        """Counts since the start."""
        ...


class ListsMetrics:
    """Show the version in force and what was refused."""

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
