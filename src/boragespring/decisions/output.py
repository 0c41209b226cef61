"""Write log records as JSON lines in a background thread."""

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

#: Maximum time to wait for a slow reader of the log when the process exits.
CLOSE_TIMEOUT_S = 0.5


class _DroppingHandler(QueueHandler):
    """Queue records for the writing thread; drop them when the queue is full."""

    def __init__(self, records: "queue.Queue[logging.LogRecord | None]") -> None:
        super().__init__(records)
        self.dropped_lines = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        # The base class formats a copy of the record here. That is unnecessary, as
        # nothing changes a record once it is queued, and it would cost the calling
        # thread as much as the formatting that the writing thread does.
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped_lines += 1


class _BlockingListener(QueueListener):
    """Wait for a free slot in the queue when the listener is stopped."""

    def __init__(
        self, records: "queue.Queue[logging.LogRecord | None]", writer: logging.Handler
    ) -> None:
        super().__init__(records, writer)
        self._records = records

    def enqueue_sentinel(self) -> None:
        self._records.put(None)


class LogOutput:
    """Thread that writes log lines to a stream.

    A reader of the stream that stalls never blocks the process; lines that do
    not fit into the queue are dropped and counted.

    Parameters
    ----------
    stream : text stream
        Destination of the lines.
    queue_lines : int
        Capacity of the queue.
    process_name : str
        Name of the process, added to each line.
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
        self._listener = _BlockingListener(records, writer)
        self._is_closed = False

    @property
    def dropped_lines(self) -> int:
        """Number of lines that were dropped because the queue was full."""
        return self._handler.dropped_lines

    def start(self) -> None:
        """Route the decision log and the warnings of all libraries to the stream."""
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
        """Flush the queue for at most `CLOSE_TIMEOUT_S`; later calls do nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        close_thread = threading.Thread(target=self._listener.stop, daemon=True)
        close_thread.start()
        close_thread.join(CLOSE_TIMEOUT_S)


def open_log_output(process_name: str, queue_lines: int) -> LogOutput:
    """Start writing the logs of this process to standard output.

    Parameters
    ----------
    process_name : str
        Name of the process, added to each line.
    queue_lines : int
        Capacity of the queue.
    """
    output = LogOutput(sys.stdout, queue_lines, process_name)
    output.start()
    return output
