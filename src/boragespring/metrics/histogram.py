"""Histogram that is cheap enough to observe a value for every token."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from itertools import accumulate

from prometheus_client import CollectorRegistry
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

__all__ = ["HistogramChild", "TokenHistogram"]


class HistogramChild:
    """Bucket counts and sum for one combination of label values.

    Parameters
    ----------
    bounds : sequence of float
        Upper bounds of the buckets in ascending order, without infinity.
    """

    __slots__ = ("_bounds", "counts", "total")

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Add one value."""
        self.counts[bisect_left(self._bounds, value)] += 1
        self.total += value


class TokenHistogram(Collector):
    """Histogram without locks, for use in a single thread.

    The histogram of `prometheus_client` takes several locks for each
    observation, which is a large part of the cost of relaying a token.

    Parameters
    ----------
    name, documentation : str
        Name and help text, as in `prometheus_client`.
    label_names : sequence of str
        Names of the labels.
    buckets : sequence of float
        Upper bounds in ascending order, without infinity.
    registry : CollectorRegistry
        Registry that exports the histogram.
    """

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: Sequence[str],
        buckets: Sequence[float],
        registry: CollectorRegistry,
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._label_names = label_names
        self._bounds = tuple(buckets)
        self._children: dict[tuple[str, ...], HistogramChild] = {}
        registry.register(self)

    def labels(self, *values: str) -> HistogramChild:
        """Return the child for a combination of label values."""
        if values not in self._children:
            self._children[values] = HistogramChild(self._bounds)
        return self._children[values]

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yield the metric in the form that `prometheus_client` exports."""
        family = HistogramMetricFamily(
            self._name, self._documentation, labels=self._label_names
        )
        bounds = [str(float(bound)) for bound in (*self._bounds, float("inf"))]
        bounds[-1] = "+Inf"
        for values, child in self._children.items():
            cumulative_counts = accumulate(child.counts)
            family.add_metric(
                values,
                list(zip(bounds, cumulative_counts, strict=True)),
                sum_value=child.total,
            )
        yield family
