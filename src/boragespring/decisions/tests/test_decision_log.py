"""Rate limit of the log, precedence of failures, and slow readers."""

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


class RecordingHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def recording_log(settings, clock):
    handler, logger = RecordingHandler(), logging.Logger("kept")
    logger.addHandler(handler)
    return DecisionLog(settings, clock, logger), handler.records


def test_rate_is_limited_and_suppressed_lines_are_counted():
    clock = Clock()
    log, records = recording_log(LogSettings(lines_per_s=10, burst_lines=20), clock)
    for step in range(1000):
        clock.now_s = step * 0.01
        log.request("answered", f"r{step}")
    assert len(records) <= 20 + 10 * 10
    assert records[-1].suppressed_lines + len(records) >= 990


def test_failures_are_logged_while_ordinary_lines_are_suppressed():
    log, records = recording_log(LogSettings(lines_per_s=1, burst_lines=20), Clock())
    for index in range(100):
        log.request("answered", f"r{index}")
    ordinary_lines = len(records)
    log.failure("refused", "bad", reason="overloaded")
    assert ordinary_lines <= 10
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


def test_stalled_reader_does_not_block_logging_or_close():
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w")
    output = LogOutput(stream, queue_lines=50, process_name="gateway-1")
    output.start()
    log = DecisionLog(LogSettings(lines_per_s=1e6, burst_lines=100_000))
    longest_s = 0.0
    for index in range(3000):
        started_s = time.perf_counter()
        log.failure("refused", f"r{index}", text="x" * 200)
        longest_s = max(longest_s, time.perf_counter() - started_s)
    assert output.dropped_lines > 0
    started_s = time.perf_counter()
    output.close()
    assert time.perf_counter() - started_s < 1.0
    assert longest_s < 0.5
    logging.getLogger(LOGGER_NAME).handlers.clear()
    # Drain the pipe to release the writing thread, which is blocked on it.
    threading.Thread(target=_drain, args=(read_end,), daemon=True).start()


def _drain(descriptor):
    while os.read(descriptor, 65536):
        pass
