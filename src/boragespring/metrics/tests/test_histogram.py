"""The token histogram exports the same text as the one of prometheus_client."""

from hypothesis import given
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry, Histogram, generate_latest

from boragespring.metrics.histogram import TokenHistogram

BUCKETS = (0.002, 0.5, 1, 30)


@given(st.lists(st.sampled_from((0.0, 0.002, 0.25, 0.5, 1.0, 29.0, 31.0))))
def test_output_matches_prometheus_client(values):
    rendered = []
    for histogram_class in (TokenHistogram, Histogram):
        registry = CollectorRegistry()
        histogram = histogram_class(
            "t", "Help.", ("a", "b"), buckets=BUCKETS, registry=registry
        )
        child = histogram.labels("x", "y")
        for value in values:
            child.observe(value)
        text = generate_latest(registry).decode()
        rendered.append({line for line in text.splitlines() if "_created" not in line})
    assert rendered[0] == rendered[1]
