"""Prometheus metrics of the daemons."""

from boragespring.metrics.answers import AnswerMetrics
from boragespring.metrics.labels import LabelBound
from boragespring.metrics.links import LinkMetrics

__all__ = ["AnswerMetrics", "LabelBound", "LinkMetrics"]
