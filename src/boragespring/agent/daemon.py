"""Lifecycle of an agent process."""

import asyncio
from typing import Protocol

from absl import logging

from boragespring.agent.leaving import LeaveReason, Leaving
from boragespring.agent.workload import Workload
from boragespring.answers import AnswerRegistry
from boragespring.answers.messages import ConfirmLeaving, LeavingConfirmed
from boragespring.drain_end import DrainEnd
from boragespring.http import HttpServer
from boragespring.links import Dispatcher, Link, LinkServer
from boragespring.resources import Closable
from boragespring.settings import AgentSettings

__all__ = ["AgentDaemon", "Follower"]


class Follower(Protocol):
    """Background task that observes the backend server while the agent runs."""

    def start(self) -> None:
        """Start the background task."""
        ...

    async def close(self) -> None:
        """Stop the background task."""
        ...


class AgentDaemon:
    """Start, drain and stop the components of an agent.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the agent.
    dispatcher : Dispatcher
        Calls the daemon when a link comes up and at every heartbeat.
    links : LinkServer
        Server for links from entries.
    admin : HttpServer
        HTTP server for metrics, health checks and leave requests.
    answer_registry : AnswerRegistry
        Answers that are in progress or kept for their callers.
    workload : Workload
        Requests that wait or run.
    leaving : Leaving
        Leave state of the agent.
    followers : tuple of Follower
        Background tasks that observe the backend server.
    resources : tuple of Closable
        Closed at the end, in this order.
    """

    def __init__(
        self,
        settings: AgentSettings,
        dispatcher: Dispatcher,
        links: LinkServer,
        admin: HttpServer,
        answer_registry: AnswerRegistry,
        workload: Workload,
        leaving: Leaving,
        followers: tuple[Follower, ...],
        resources: tuple[Closable, ...],
    ) -> None:
        self._settings = settings
        self._links = links
        self._admin = admin
        self._answer_registry = answer_registry
        self._workload = workload
        self._leaving = leaving
        self._followers = followers
        self._resources = resources
        dispatcher.on_up(self._send_state)
        dispatcher.on_tick(self._send_state)

    @property
    def link_port(self) -> int:
        """Port that accepts links from entries."""
        return self._links.port

    @property
    def http_port(self) -> int:
        """HTTP port for metrics and health checks."""
        return self._admin.port

    @property
    def incarnation(self) -> int:
        """Number that identifies this run of the agent process."""
        return self._links.identity.incarnation

    @property
    def running(self) -> int:
        """Number of answers without an outcome."""
        return self._answer_registry.running

    async def start(self) -> None:
        """Open the ports and start the background tasks."""
        await self._links.start()
        await self._admin.start()
        for follower in self._followers:
            follower.start()
        logging.info(
            "event=agent_started name=%s link_port=%d http_port=%d",
            self._settings.name,
            self.link_port,
            self.http_port,
        )

    async def drain(self) -> None:
        """Reject new requests and wait until all answers have an outcome.

        Raises
        ------
        TimeoutError
            If an answer still has no outcome after the stop timeout.
        """
        self._leaving.leave(LeaveReason.SIGNAL)
        await self._confirm_leaving()
        async with asyncio.timeout(self._settings.stop_timeout_s):
            await self._answer_registry.wait_idle()

    async def _confirm_leaving(self) -> None:
        """Wait until no entry has a request in transit to this agent."""
        timeout_s = self._settings.links.heartbeat_deadline_s
        calls = (
            link.call(ConfirmLeaving(), LeavingConfirmed, timeout_s)
            for link in self._links.links
            if link.is_up
        )
        # A link without a timely reply is dead, so the requests in transit on it
        # cannot arrive either.
        await asyncio.gather(*calls, return_exceptions=True)

    def record_drain_end(self, end: DrainEnd) -> None:
        """Log why the drain has ended early, and what is still running."""
        logging.warning(
            "event=drain_ended reason=%s running=%d", end.value, self.running
        )

    async def stop(self) -> None:
        """Close the ports and all resources."""
        self._leaving.stop()
        await self._links.stop()
        await self._admin.stop()
        for resource in (*self._followers, *self._resources):
            await resource.close()
        logging.info("event=agent_stopped cut_off=%d", self._answer_registry.running)

    def _send_state(self, link: Link) -> None:
        link.send(self._workload.state())
        link.send(self._workload.load())
