"""Local deployment whose daemons can be killed, paused and disconnected."""

import asyncio
import itertools
import time
from http import HTTPStatus
from types import TracebackType

import aiohttp
from absl import logging

from boragespring.agent import AgentDaemon
from boragespring.composition.agent import build_agent
from boragespring.composition.entry import build_entry
from boragespring.entry import EntryDaemon
from boragespring.faults.hosting import HostedDaemon
from boragespring.faults.relay import Relay
from boragespring.local import LocalAccounts, LocalDeployment, LocalSettings
from boragespring.settings import (
    CallerSettings,
    ClaimSettings,
    LinkSettings,
    ServerSettings,
)
from boragespring.settings.agent import AnswerSettings
from boragespring.standins import (
    EngineCoreSettings,
    EngineDialect,
    ServiceStandInSettings,
)
from boragespring.store.instances import InstanceRole

__all__ = ["FaultDeployment", "fault_settings"]

LOOPBACK = "127.0.0.1"
READY_POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 10.0


def fault_settings() -> LocalSettings:
    """Return the settings of a small deployment with short timeouts."""
    return LocalSettings(
        entries=2,
        dialects=(EngineDialect.VLLM, EngineDialect.SGLANG),
        plain_services=2,
        core=EngineCoreSettings(token_interval_s=0.004),
        service=ServiceStandInSettings(latency_s=0.03),
        links=LinkSettings(
            heartbeat_interval_s=0.1,
            heartbeat_deadline_s=0.8,
            connect_timeout_s=0.5,
            reconnect_delay_s=0.02,
            reconnect_delay_max_s=0.1,
        ),
        answers=AnswerSettings(
            buffer_max_tokens=64, resume_timeout_s=4.5, retention_s=6.0
        ),
        callers=CallerSettings(window_tokens=32, resume_timeout_s=4.0),
        claims=ClaimSettings(store_timeout_s=1.0, retention_s=600.0),
        stop_timeout_s=10.0,
    )


class FaultDeployment(LocalDeployment):
    """Local deployment with one event loop per daemon and a relay for each agent.

    The inherited `agents` and `entries` stay empty.

    Parameters
    ----------
    settings : LocalSettings or None
        Settings of the deployment; `fault_settings()` by default.

    Attributes
    ----------
    hosted_agents, hosted_entries : dict
        Daemons by name. A killed daemon stays in the instance list until it is
        replaced, since the instance list of the platform lags behind.
    relays : dict
        Relays in front of the agents' link ports, by agent name.
    balanced_entries : set of str
        Names of the entries that the load balancer sends requests to.
    """

    def __init__(self, settings: LocalSettings | None = None) -> None:
        super().__init__(settings or fault_settings())
        self.hosted_agents: dict[str, HostedDaemon[AgentDaemon]] = {}
        self.hosted_entries: dict[str, HostedDaemon[EntryDaemon]] = {}
        self.relays: dict[str, Relay] = {}
        self.balanced_entries: set[str] = set()
        self._servers: dict[str, tuple[str, ServerSettings]] = {}
        self._entry_numbers = itertools.count(self.settings.entries)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        entries = (host.stop() for host in self.hosted_entries.values())
        await asyncio.gather(*entries)
        await asyncio.gather(*(host.stop() for host in self.hosted_agents.values()))
        await asyncio.gather(*(relay.stop() for relay in self.relays.values()))
        await super().__aexit__(kind, error, trace)

    @property
    def live_entries(self) -> list[EntryDaemon]:
        """Entries that have been neither killed nor stopped."""
        return [host.daemon for host in self.hosted_entries.values() if host.is_alive]

    @property
    def live_agents(self) -> list[AgentDaemon]:
        """Agents that have been neither killed nor stopped."""
        return [host.daemon for host in self.hosted_agents.values() if host.is_alive]

    def entry_url(self, number: int) -> str | None:
        """Return the URL of a balanced entry, or None if there is none.

        Parameters
        ----------
        number : int
            Index of the entry, taken modulo the number of balanced entries.
        """
        names = sorted(self.balanced_entries)
        if not names:
            return None
        return self.hosted_entries[names[number % len(names)]].daemon.url

    async def wait_ready(self) -> None:
        """Wait until every balanced entry is ready, that is, linked to its agents.

        Raises
        ------
        TimeoutError
            If an entry is not ready in time.
        """
        for name in sorted(self.balanced_entries):
            if not await self._wait_entry_ready(name):
                raise TimeoutError(f"{name} is not ready after {READY_TIMEOUT_S} s")

    async def replace_agent(self, name: str) -> None:
        """Start a new agent for the same server if the agent has ended."""
        if self.hosted_agents[name].is_alive:
            return
        relay = self.relays[name]
        zone, server = self._servers[name]
        await self.start_agent(name, zone, server)
        await relay.stop()

    async def replace_entry(self, name: str) -> None:
        """Remove a balanced entry that has ended and add a new one instead."""
        if self.hosted_entries[name].is_alive or name not in self.balanced_entries:
            return
        self.balanced_entries.discard(name)
        self.deregister_instance(name)
        await self.add_entry()

    async def add_entry(self) -> None:
        """Start another entry and add it to the load balancer once it is ready."""
        name = f"entry-{next(self._entry_numbers)}"
        await self.start_entry(name, self.settings.zones[0])
        self.balanced_entries.discard(name)
        if not await self._wait_entry_ready(name):
            # Faults of the run can delay it; the run goes on.
            logging.warning("event=entry_not_ready entry=%s", name)
        self.balanced_entries.add(name)

    async def _wait_entry_ready(self, name: str) -> bool:
        """Return whether an entry becomes ready in time, or True if it has ended."""
        url = self.hosted_entries[name].daemon.url
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline_s:
                try:
                    async with session.get(f"{url}/readyz") as response:
                        if response.status == HTTPStatus.OK:
                            return True
                except aiohttp.ClientError:
                    return True
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        return False

    async def start_agent(self, name: str, zone: str, server: ServerSettings) -> None:
        """Start an agent on its own event loop and list it with its relay's port."""
        self._servers[name] = (zone, server)
        settings = self.agent_settings(name, zone, server)

        async def build() -> AgentDaemon:
            agent = build_agent(settings)
            await agent.start()
            return agent

        host = HostedDaemon(build)
        agent = await host.start()
        relay = Relay(LOOPBACK, agent.link_port)
        await relay.start()
        self.hosted_agents[name] = host
        self.relays[name] = relay
        ports = (relay.port, agent.http_port)
        self.register_instance(name, InstanceRole.AGENT, server.service, zone, ports)

    async def start_entry(self, name: str, zone: str) -> EntryDaemon:
        """Start an entry on its own event loop and list it."""
        settings = self.entry_settings(name, zone)

        async def build() -> EntryDaemon:
            entry = build_entry(settings, LocalAccounts())
            await entry.start()
            return entry

        host = HostedDaemon(build)
        entry = await host.start()
        self.hosted_entries[name] = host
        self.balanced_entries.add(name)
        ports = (entry.link_port, entry.http_port)
        self.register_instance(name, InstanceRole.ENTRY, "", zone, ports)
        return entry
