"""Life of an agent process."""

import asyncio
from typing import Protocol

from absl import logging

from boragespring.agent.leaving import LeaveReason, Leaving
from boragespring.agent.workload import Workload
from boragespring.answers import AnswerRegistry
from boragespring.answers.messages import ConfirmLeaving, LeavingConfirmed
from boragespring.http import HttpServer
from boragespring.links import Dispatcher, Link, LinkServer
from boragespring.resources import Closable
from boragespring.settings import AgentSettings

__all__ = ["AgentDaemon", "Follower"]


class Follower(Protocol):
    """Task that follows the backend server while the agent runs."""

    def start(self) -> None:
        """Start to follow."""
        ...

    async def close(self) -> None:
        """Stop to follow."""
        ...


class AgentDaemon:
    """Start, drain and stop the parts of an agent."""

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
        """Port on which the agent takes links."""
        return self._links.port

    @property
    def http_port(self) -> int:
        """Port of metrics and health."""
        return self._admin.port

    @property
    def incarnation(self) -> int:
        """Number of this start of the agent."""
        return self._links.identity.incarnation

    @property
    def running(self) -> int:
        """Number of answers that have no outcome yet."""
        return self._answer_registry.running

    async def start(self) -> None:
        """Open the ports."""
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
        """Refuse new work and wait until all that runs has ended.

        Raises
        ------
        TimeoutError
            When something still runs after the stop timeout.
        """
        self._leaving.leave(LeaveReason.SIGNAL)
        await self._confirm_leaving()
        async with asyncio.timeout(self._settings.stop_timeout_s):
            await self._answer_registry.wait_idle()

    async def _confirm_leaving(self) -> None:
        """Wait until no entry has work for this agent on its way."""
        timeout_s = self._settings.links.heartbeat_deadline_s
        calls = (
            link.call(ConfirmLeaving(), LeavingConfirmed, timeout_s)
            for link in self._links.links
            if link.is_up
        )
        # A link that gives no reply in time is dead, with all that was on it.
        await asyncio.gather(*calls, return_exceptions=True)

    async def stop(self) -> None:
        """Close the ports and all that is left."""
        self._leaving.stop()
        await self._links.stop()
        await self._admin.stop()
        for resource in (*self._followers, *self._resources):
            await resource.close()
        logging.info("event=agent_stopped cut_off=%d", self._answer_registry.running)

    def _send_state(self, link: Link) -> None:
        link.send(self._workload.state())
        link.send(self._workload.load())
