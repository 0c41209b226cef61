"""Generation and replay of request traces, and the measures of a replay."""

from boragespring.replay.errors import ReplayError, TraceError
from boragespring.replay.generate import Deployment, TraceSettings, generate_trace
from boragespring.replay.measures import AnswerRecord, GroupMeasures, measure
from boragespring.replay.trace import TraceRequest, read_trace, write_trace

__all__ = [
    "AnswerRecord",
    "Deployment",
    "GroupMeasures",
    "ReplayError",
    "TraceError",
    "TraceRequest",
    "TraceSettings",
    "generate_trace",
    "measure",
    "read_trace",
    "write_trace",
]
