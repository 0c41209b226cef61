"""Write log lines as JSON to a stream without blocking the process."""

import atexit
import logging
import queue
import sys
import threading
from logging.handlers import QueueHandler, QueueListener
from typing import TextIO

from absl import logging as absl_logging
from pythonjsonlogger.json import JsonFormatter

from boragespring.decisions.log import LOGGER_NAME

__all__ = ["LogOutput", "open_log_output"]

#: Longest wait for a reader of the log at the end of the process.
CLOSE_TIMEOUT_S = 0.5


class _DroppingHandler(QueueHandler):
    """Hand records to the writing thread; drop them when it is behind."""

    def __init__(self, records: "queue.Queue[logging.LogRecord | None]") -> None:
        super().__init__(records)
        self.dropped_lines = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        # The writing thread formats the record, which this process no longer
        # changes; the copy that the base class makes would cost as much.
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped_lines += 1


class _WaitingListener(QueueListener):
    """Wait for room when the listener is ended while the queue is full."""

    def __init__(
        self, records: "queue.Queue[logging.LogRecord | None]", writer: logging.Handler
    ) -> None:
        super().__init__(records, writer)
        self._records = records

    def enqueue_sentinel(self) -> None:
        self._records.put(None)


class LogOutput:
    """Thread that writes the lines; a reader that stands still costs lines only.

    Parameters
    ----------
    stream : text stream
        Where lines go.
    queue_lines : int
        Lines that may wait.
    process_name : str
        Name of the process, written with each line.
    """

    def __init__(self, stream: TextIO, queue_lines: int, process_name: str) -> None:
        records: queue.Queue[logging.LogRecord | None] = queue.Queue(queue_lines)
        self._handler = _DroppingHandler(records)
        writer = logging.StreamHandler(stream)
        writer.setFormatter(
            JsonFormatter(
                "%(message)s %(levelname)s",
                rename_fields={"message": "event", "levelname": "level"},
                static_fields={"process_name": process_name},
                timestamp="time",
            )
        )
        self._listener = _WaitingListener(records, writer)
        self._is_closed = False

    @property
    def dropped_lines(self) -> int:
        """Lines that a slow reader has cost."""
        return self._handler.dropped_lines

    def start(self) -> None:
        """Send the decisions and the errors of all libraries to the stream."""
        logger = logging.getLogger(LOGGER_NAME)
        logger.handlers = [self._handler]
        logger.propagate = False
        logger.setLevel(logging.INFO)
        root = logging.getLogger()
        root.handlers = [self._handler]
        root.setLevel(logging.WARNING)
        absl_logger = absl_logging.get_absl_logger()
        absl_logger.handlers = [self._handler]
        absl_logger.propagate = False
        self._listener.start()
        atexit.register(self.close)

    def close(self) -> None:
        """Write what waits, for a bounded time; later calls do nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        closer = threading.Thread(target=self._listener.stop, daemon=True)
        closer.start()
        closer.join(CLOSE_TIMEOUT_S)


def open_log_output(process_name: str, queue_lines: int) -> LogOutput:
    """Start writing the logs of this process to standard output."""
    output = LogOutput(sys.stdout, queue_lines, process_name)
    output.start()
    return output
