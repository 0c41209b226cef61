"""Tests of the final lines and of the summary of open requests."""

import logging

import pytest
from attrs import frozen
from prometheus_client import CollectorRegistry

from boragespring.decisions import DecisionLog
from boragespring.forwarding import (
    Refusal,
    RefusalReason,
    RequestStage,
    RequestTracker,
)
from boragespring.metrics.gateway import GatewayMetrics


@frozen
class Run:
    server_id: str = "s2"
    events: int = 3
    moves: int = 1
    stage: RequestStage = RequestStage.BETWEEN_SERVERS

    def silent_s(self, now_s):
        return 0.25


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def parts():
    logger, lines = logging.Logger("test"), []
    logger.addFilter(lines.append)
    registry, clock = CollectorRegistry(), Clock()
    metrics = GatewayMetrics(registry)
    tracker = RequestTracker(DecisionLog(logger=logger), metrics, clock)
    return tracker, clock, lines, registry


def test_request_between_two_servers_at_the_end_is_told_from_one_at_a_server(parts):
    tracker, clock, lines, registry = parts
    for name in ("r1", "r2"):
        progress = tracker.open(name, 20.0)
        progress.admit("draft", "streaming", "coop", clock.now_s + 10.0)
        progress.send("s1")
        progress.run = Run() if name == "r2" else None
        clock.now_s += 2.0
        if name == "r1":
            tracker.begin_stop()
    open_requests = tracker.summarize()
    assert open_requests.by_kind == {"streaming": {"sent": 1, "between_servers": 1}}
    tracker.begin_end("stop_timeout")
    tracker.interrupted(progress)
    [line] = lines
    assert (line.getMessage(), line.outcome) == ("answered", "cut")
    assert (line.stage, line.server, line.silent_s) == ("between_servers", "s2", 0.25)
    assert (line.left_s, line.arrived_after_stop_s, line.sends) == (8.0, 0.0, 1)
    labels = {"kind": "streaming", "stage": "between_servers"}
    name = "boragespring_gateway_cut_by_stop_total"
    assert registry.get_sample_value(name, labels) == 1


def test_request_has_one_final_line_if_its_caller_leaves_while_it_is_refused(parts):
    tracker, _, lines, _ = parts
    progress = tracker.open("r1", 20.0)
    tracker.refused(progress, Refusal(RefusalReason.TOO_LARGE, was_not_run=True))
    progress.has_caller_left = True
    tracker.interrupted(progress)
    assert [record.getMessage() for record in lines] == ["refused"]
    assert tracker.summarize().count == 0
