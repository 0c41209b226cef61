"""The log is bounded, tells failures first, and never waits for its reader."""

import io
import json
import logging
import os
import threading
import time

from boragespring.decisions import DecisionLog, LogOutput, LogSettings
from boragespring.decisions.log import LOGGER_NAME


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


class Kept(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def kept_log(settings, clock):
    kept, logger = Kept(), logging.Logger("kept")
    logger.addHandler(kept)
    return DecisionLog(settings, clock, logger), kept.records


def test_volume_is_bounded_and_what_is_left_out_is_counted():
    clock = Clock()
    log, records = kept_log(LogSettings(lines_per_s=10, burst_lines=20), clock)
    for step in range(1000):
        clock.now_s = step * 0.01
        log.request("answered", f"r{step}")
    assert len(records) <= 20 + 10 * 10
    assert records[-1].suppressed_lines + len(records) >= 990


def test_failures_are_told_when_ordinary_lines_no_longer_are():
    log, records = kept_log(LogSettings(lines_per_s=1, burst_lines=20), Clock())
    for number in range(100):
        log.request("answered", f"r{number}")
    ordinary = len(records)
    log.failure("refused", "bad", reason="overloaded")
    assert ordinary <= 10
    assert records[-1].request_id == "bad"


def test_lines_are_json_with_event_and_inputs():
    stream = io.StringIO()
    output = LogOutput(stream, 100, "gateway-1")
    output.start()
    DecisionLog().state_change("server_joined", server="s1")
    output.close()
    output.close()
    line = json.loads(stream.getvalue().splitlines()[0])
    assert line["event"] == "server_joined"
    assert line["server"] == "s1"
    assert line["process_name"] == "gateway-1"


def test_a_reader_that_does_not_read_blocks_nothing():
    reading, writing = os.pipe()
    stream = os.fdopen(writing, "w")
    output = LogOutput(stream, queue_lines=50, process_name="gateway-1")
    output.start()
    log = DecisionLog(LogSettings(lines_per_s=1e6, burst_lines=100_000))
    longest_s = 0.0
    for number in range(3000):
        begun_s = time.perf_counter()
        log.failure("refused", f"r{number}", text="x" * 200)
        longest_s = max(longest_s, time.perf_counter() - begun_s)
    assert output.dropped_lines > 0
    begun_s = time.perf_counter()
    output.close()
    assert time.perf_counter() - begun_s < 1.0
    assert longest_s < 0.5
    logging.getLogger(LOGGER_NAME).handlers.clear()
    # Free the writing thread, which waits for the pipe.
    threading.Thread(target=_drain, args=(reading,), daemon=True).start()


def _drain(descriptor):
    while os.read(descriptor, 65536):
        pass
