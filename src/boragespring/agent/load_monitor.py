"""Periodic reading of the load report of the backend server."""

import asyncio
import time
from collections.abc import Callable

from absl import logging
from prometheus_client import CollectorRegistry, Counter

from boragespring.admission import AdmissionQueue
from boragespring.engines import (
    EngineClient,
    EngineError,
    LoadReport,
    LoadReportError,
    LoadReportFault,
    ServiceClient,
)

__all__ = ["LoadMonitor"]

#: Age in read intervals after which the last usable report expires.
AGE_MAX_INTERVALS = 5.0


class LoadMonitor:
    """Read the load report periodically, count faults and expire old reports.

    Parameters
    ----------
    server : EngineClient or ServiceClient
        Client of the backend server.
    queue : AdmissionQueue
        Receives the reports.
    interval_s : float
        Time in seconds between two reads.
    registry : CollectorRegistry
        Registry for the counter of faults.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        server: EngineClient | ServiceClient,
        queue: AdmissionQueue,
        interval_s: float,
        registry: CollectorRegistry,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._server = server
        self._queue = queue
        self._interval_s = interval_s
        self._clock = clock
        self._report: LoadReport | None = None
        self._task: asyncio.Task[None] | None = None
        self._faults = Counter(
            "boragespring_load_report_faults",
            "Load reports that could not be used.",
            ("fault",),
            registry=registry,
        )

    @property
    def report(self) -> LoadReport | None:
        """Last usable report, or None if it is too old."""
        report = self._report
        if report is None:
            return None
        age_s = self._clock() - report.received_at_s
        return report if age_s <= AGE_MAX_INTERVALS * self._interval_s else None

    def start(self) -> None:
        """Start the periodic reads."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the periodic reads."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def read(self) -> None:
        """Read one report and pass it to the admission queue."""
        was_known = self.report is not None
        try:
            self._report = await self._server.fetch_load_report()
        except EngineError as error:
            self._record_fault(error, was_known)
            return
        if not was_known:
            logging.info("event=load_report_read")
        self._queue.apply_report(self._report)

    async def _run(self) -> None:
        while True:
            await self.read()
            await asyncio.sleep(self._interval_s)

    def _record_fault(self, error: EngineError, was_known: bool) -> None:
        fault = LoadReportFault.UNREACHABLE
        if isinstance(error, LoadReportError):
            fault = error.fault
        self._faults.labels(fault.value).inc()
        if self.report is not None:
            return
        self._queue.discard_report()
        if was_known:
            logging.warning("event=load_report_lost error=%s", error)
