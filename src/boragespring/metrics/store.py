"""Metrics of calls to the key-value store."""

from collections.abc import Mapping
from functools import partial
from typing import Protocol

from prometheus_client import CollectorRegistry, Gauge

__all__ = ["StoreCallCounts", "StoreMetrics"]


class StoreCallCounts(Protocol):
    """Counters of the rate limiter for store calls."""

    @property
    def made(self) -> Mapping[str, int]:
        """Calls that were made, by kind."""
        ...

    @property
    def delayed(self) -> Mapping[str, int]:
        """Calls that were delayed by the rate limit, by kind."""
        ...

    @property
    def refused(self) -> Mapping[str, int]:
        """Calls that were refused because of the rate limit, by kind."""
        ...


class StoreMetrics:
    """Export the counters of the rate limiter, read at each scrape."""

    def __init__(self, registry: CollectorRegistry, counts: StoreCallCounts) -> None:
        calls = Gauge(
            "boragespring_store_calls",
            "Calls to the key-value store since the start, by kind and outcome.",
            ("kind", "outcome"),
            registry=registry,
        )
        outcomes = {
            "made": counts.made,
            "delayed": counts.delayed,
            "refused": counts.refused,
        }
        for outcome, by_kind in outcomes.items():
            for kind in by_kind:
                calls.labels(str(kind), outcome).set_function(
                    partial(_count, by_kind, kind)
                )


def _count(by_kind: Mapping[str, int], kind: str) -> float:
    return float(by_kind[kind])
