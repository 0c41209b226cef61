"""Lifecycle of an entry process."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging

from boragespring.answers import AnswerTable
from boragespring.claims import ClaimedCalls
from boragespring.drain_end import DrainEnd
from boragespring.entry.gate import RequestGate
from boragespring.http import HttpServer
from boragespring.links import LinkServer
from boragespring.membership import AgentPeers
from boragespring.resources import Closable
from boragespring.settings import EntrySettings

__all__ = ["EntryDaemon"]


class EntryDaemon:
    """Start, drain and stop the components of an entry.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    http : HttpServer
        HTTP server for callers, health checks and metrics.
    links : LinkServer
        Server for links from other entries.
    peers : AgentPeers
        Links to the agents.
    table : AnswerTable
        Answers in progress.
    claims : ClaimedCalls
        Calls to plain services that must run at most once.
    gate : RequestGate
        Counts requests in progress and rejects new ones once closed.
    resources : tuple of Closable
        Closed after the servers, in this order.
    background : tuple of callable
        Return the coroutines of further background tasks.
    """

    def __init__(
        self,
        settings: EntrySettings,
        http: HttpServer,
        links: LinkServer,
        peers: AgentPeers,
        table: AnswerTable,
        claims: ClaimedCalls,
        gate: RequestGate,
        resources: tuple[Closable, ...],
        background: tuple[Callable[[], Coroutine[Any, Any, None]], ...] = (),
    ) -> None:
        self._settings = settings
        self._http = http
        self._links = links
        self._peers = peers
        self._table = table
        self._claims = claims
        self._gate = gate
        self._resources = resources
        self._background = background
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def http_port(self) -> int:
        """HTTP port that callers connect to."""
        return self._http.port

    @property
    def link_port(self) -> int:
        """Port that accepts links from other entries."""
        return self._links.port

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self._settings.http.host}:{self.http_port}"

    @property
    def running(self) -> int:
        """Number of answers in progress and of unresolved claims."""
        return len(self._table) + len(self._claims)

    async def start(self) -> None:
        """Open the ports and start the background tasks."""
        await self._links.start()
        await self._http.start()
        for run in (self._peers.run, *self._background):
            task = asyncio.create_task(run())
            task.add_done_callback(_log_failure)
            self._tasks.append(task)
        logging.info(
            "event=entry_started name=%s http_port=%d",
            self._settings.name,
            self.http_port,
        )

    async def drain(self) -> None:
        """Serve requests for the grace time, then finish those in progress.

        Raises
        ------
        TimeoutError
            If a request is still in progress after the stop timeout.
        """
        logging.info("event=entry_leaving running=%d", self._gate.in_progress)
        self._gate.leave()
        await asyncio.sleep(self._settings.leave_grace_s)
        self._gate.close()
        await self._http.stop_listening()
        async with asyncio.timeout(self._settings.stop_timeout_s):
            await self._gate.wait_idle()
            await self._claims.wait_idle()

    def record_drain_end(self, end: DrainEnd) -> None:
        """Log why the drain has ended early, and what is still running."""
        logging.warning(
            "event=drain_ended reason=%s running=%d", end.value, self.running
        )

    async def stop(self) -> None:
        """Cancel the background tasks and close all ports and resources."""
        cut_off = len(self._table)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._http.stop()
        await self._links.stop()
        for resource in self._resources:
            await resource.close()
        logging.info("event=entry_stopped cut_off=%d", cut_off)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logging.error("event=entry_task_failed", exc_info=task.exception())
