"""Run stand-ins, agents and entries on loopback ports in one process."""

from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

from attrs import Factory, evolve, frozen

from boragespring.agent import AgentDaemon
from boragespring.composition.agent import build_agent
from boragespring.composition.entry import build_entry
from boragespring.entry import EntryDaemon
from boragespring.lists import ListsDocument
from boragespring.local.lists import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    LocalAccounts,
    put_lists,
)
from boragespring.settings import (
    AddressSettings,
    AgentSettings,
    CallerSettings,
    ClaimSettings,
    EntrySettings,
    LinkSettings,
    PlacementSettings,
    PlatformSettings,
    QueueSettings,
    ServerSettings,
)
from boragespring.settings.agent import AnswerSettings
from boragespring.standins import (
    EngineCoreSettings,
    EngineDialect,
    EngineStandIn,
    EngineStandInSettings,
    ServiceStandIn,
    ServiceStandInSettings,
)
from boragespring.standins.store import StoreStandIn, StoreStandInSettings
from boragespring.store.instances import Instance, InstanceRole, InstanceState

__all__ = ["LocalDeployment", "LocalSettings"]

LOOPBACK = "127.0.0.1"


@frozen
class LocalSettings:
    """Size, settings and timing of a local deployment.

    Parameters
    ----------
    entries : int
        Number of entries.
    dialects : tuple of EngineDialect
        API dialects. One engine with its agent is started for each.
    plain_services : int
        Number of plain services, each with its agent.
    core : EngineCoreSettings
        Memory and speed of the engines.
    lists : ListsDocument or None
        Lists to write to the store. If None, the entries use fixed accounts.
    service : ServiceStandInSettings
        Settings of the plain services.
    store : StoreStandInSettings
        Settings of the store.
    links : LinkSettings
        Timing of the links, by default shorter than that of `LinkSettings`.
    answers : AnswerSettings
        Settings of the agents for kept answers.
    callers : CallerSettings
        Settings of the entries for requests of callers.
    queue : QueueSettings
        Settings of the agents' admission queues.
    claims : ClaimSettings
        Settings of the entries for claims.
    instance_poll_interval_s : float
        Seconds between two reads of the instance list.
    leave_grace_s : float
        Intended as the grace period of a leaving entry in seconds. It is not passed
        on: the entries use the default of `EntrySettings`.
    stop_timeout_s : float
        Maximum duration of a drain in seconds.
    zones : tuple of str
        Availability zones, assigned to the instances in turn.
    """

    entries: int = 1
    dialects: tuple[EngineDialect, ...] = (EngineDialect.VLLM,)
    plain_services: int = 1
    core: EngineCoreSettings = Factory(EngineCoreSettings)
    lists: ListsDocument | None = None
    service: ServiceStandInSettings = Factory(ServiceStandInSettings)
    store: StoreStandInSettings = Factory(StoreStandInSettings)
    links: LinkSettings = Factory(
        lambda: LinkSettings(
            heartbeat_interval_s=0.1,
            heartbeat_deadline_s=0.5,
            reconnect_delay_s=0.02,
            reconnect_delay_max_s=0.2,
        )
    )
    answers: AnswerSettings = Factory(AnswerSettings)
    callers: CallerSettings = Factory(CallerSettings)
    queue: QueueSettings = Factory(QueueSettings)
    claims: ClaimSettings = Factory(ClaimSettings)
    instance_poll_interval_s: float = 0.05
    leave_grace_s: float = 0.05
    stop_timeout_s: float = 30.0
    zones: tuple[str, ...] = ("quito-a", "quito-b", "ibarra-c")


class LocalDeployment:
    """Asynchronous context manager that runs a deployment.

    Parameters
    ----------
    settings : LocalSettings or None
        Size, settings and timing; None selects the defaults.

    Attributes
    ----------
    store : StoreStandIn
        Stand-in for the store, the instance list and the weight store.
    engines, services : list
        Stand-ins of the backend servers.
    agents : dict
        Agents by name: ``agent-N`` for engines, ``service-N`` for plain services.
    entries : dict
        Entries by name.
    """

    def __init__(self, settings: LocalSettings | None = None) -> None:
        self.settings = settings or LocalSettings()
        self.store = StoreStandIn(self.settings.store)
        self.engines: list[EngineStandIn] = []
        self.services: list[ServiceStandIn] = []
        self.agents: dict[str, AgentDaemon] = {}
        self.entries: dict[str, EntryDaemon] = {}
        self._instances: dict[str, Instance] = {}
        self._exit_stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self.store.start()
        self._exit_stack.push_async_callback(self.store.stop)
        if self.settings.lists is not None:
            await put_lists(self.store.keyspace, self.settings.lists)
        for index, dialect in enumerate(self.settings.dialects):
            await self._add_engine(index, dialect)
        for index in range(self.settings.plain_services):
            await self._add_service(index)
        for index in range(self.settings.entries):
            await self.start_entry(f"entry-{index}", self._zone(index))
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for entry in tuple(self.entries.values()):
            await entry.stop()
        for agent in tuple(self.agents.values()):
            await agent.stop()
        await self._exit_stack.aclose()

    @property
    def platform(self) -> PlatformSettings:
        """Platform settings with the addresses of the stand-in."""
        return PlatformSettings(
            store_urls=[self.store.url],
            instances_url=self.store.url,
            weight_store_url=self.store.url,
            call_timeout_s=1.0,
            instance_poll_interval_s=self.settings.instance_poll_interval_s,
        )

    def _zone(self, index: int) -> str:
        return self.settings.zones[index % len(self.settings.zones)]

    def _placement(self, zone: str) -> PlacementSettings:
        return PlacementSettings("local", "local-1", zone)

    async def _add_engine(self, index: int, dialect: EngineDialect) -> None:
        engine = EngineStandIn(
            EngineStandInSettings(dialect=dialect, core=self.settings.core, seed=index)
        )
        await engine.start()
        self._exit_stack.push_async_callback(engine.stop)
        self.engines.append(engine)
        server = ServerSettings(
            service=ENGINE_SERVICE,
            vendor=str(dialect.value),  # type: ignore[arg-type]
            url=engine.url,
            memory_tokens=self.settings.core.memory_tokens,
        )
        await self.start_agent(f"agent-{index}", self._zone(index), server)

    async def _add_service(self, index: int) -> None:
        service = ServiceStandIn(self.settings.service)
        await service.start()
        self._exit_stack.push_async_callback(service.stop)
        self.services.append(service)
        server = ServerSettings(service=PLAIN_SERVICE, vendor="plain", url=service.url)
        await self.start_agent(f"service-{index}", self._zone(index), server)

    def agent_settings(
        self, name: str, zone: str, server: ServerSettings
    ) -> AgentSettings:
        """Return the settings of an agent for a backend server."""
        return AgentSettings(
            name=name,
            placement=self._placement(zone),
            http=AddressSettings(LOOPBACK),
            link=AddressSettings(LOOPBACK),
            platform=self.platform,
            server=server,
            links=self.settings.links,
            answers=self.settings.answers,
            queue=self.settings.queue,
            stop_timeout_s=self.settings.stop_timeout_s,
        )

    def entry_settings(self, name: str, zone: str) -> EntrySettings:
        """Return the settings of an entry."""
        return EntrySettings(
            name=name,
            placement=self._placement(zone),
            http=AddressSettings(LOOPBACK),
            link=AddressSettings(LOOPBACK),
            platform=self.platform,
            links=self.settings.links,
            callers=self.settings.callers,
            claims=self.settings.claims,
            leave_grace_s=self.settings.leave_grace_s,
            stop_timeout_s=self.settings.stop_timeout_s,
        )

    async def start_agent(self, name: str, zone: str, server: ServerSettings) -> None:
        """Start an agent for a backend server and register its instance."""
        agent = build_agent(self.agent_settings(name, zone, server))
        await agent.start()
        self.agents[name] = agent
        ports = (agent.link_port, agent.http_port)
        self.register_instance(name, InstanceRole.AGENT, server.service, zone, ports)

    async def start_entry(self, name: str, zone: str) -> EntryDaemon:
        """Start an entry and register its instance."""
        accounts = LocalAccounts() if self.settings.lists is None else None
        entry = build_entry(self.entry_settings(name, zone), accounts)
        await entry.start()
        self.entries[name] = entry
        ports = (entry.link_port, entry.http_port)
        self.register_instance(name, InstanceRole.ENTRY, "", zone, ports)
        return entry

    async def stop_entry(self, name: str) -> None:
        """Stop an entry without a drain and deregister its instance."""
        await self.entries.pop(name).stop()
        self.deregister_instance(name)

    async def stop_agent(self, name: str) -> None:
        """Stop an agent without a drain and deregister its instance."""
        await self.agents.pop(name).stop()
        self.deregister_instance(name)

    def register_instance(
        self,
        name: str,
        role: InstanceRole,
        service: str,
        zone: str,
        ports: tuple[int, int],
    ) -> None:
        """Add an instance to the instance list, or replace the one of that name.

        Parameters
        ----------
        name : str
            Name of the instance.
        role : InstanceRole
            Role of the instance.
        service : str
            Service of an agent's backend server; empty for an entry.
        zone : str
            Availability zone.
        ports : tuple of int
            Link port and HTTP port.
        """
        link_port, http_port = ports
        self._instances[name] = Instance(
            name, role, service, "local-1", zone, LOOPBACK, link_port, http_port
        )
        self.store.put_instances(tuple(self._instances.values()))

    def set_instance_state(self, name: str, state: InstanceState) -> None:
        """Set the state of an instance in the instance list."""
        self._instances[name] = evolve(self._instances[name], state=state)
        self.store.put_instances(tuple(self._instances.values()))

    def deregister_instance(self, name: str) -> None:
        """Remove an instance from the instance list."""
        self._instances.pop(name)
        self.store.put_instances(tuple(self._instances.values()))
