"""Emulated deployment on loopback: store, backend servers and gateways."""

import asyncio
import itertools
import json
import time
from collections.abc import Iterable, Sequence
from typing import Any

from attrs import define, field

from boragespring.composition.gateway import build_gateway
from boragespring.decisions import DecisionLog
from boragespring.gateway import Gateway
from boragespring.platform import names
from boragespring.platform.emulator.catalog import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    STANDARD_ROUTES,
    RouteSpec,
    route_document,
    service_documents,
)
from boragespring.platform.emulator.crash_point import CrashingRequests
from boragespring.platform.emulator.engine import EmulatedEngine
from boragespring.platform.emulator.engine_spec import EngineSpec
from boragespring.platform.emulator.service import EmulatedService
from boragespring.platform.emulator.store import EmulatedStore
from boragespring.settings import AddressSettings, LinkSettings
from boragespring.settings.gateway import (
    GatewayBounds,
    GatewaySettings,
    GatewayStoreSettings,
)

__all__ = ["EmulatedPlatform", "GatewayProcess"]

_LOOPBACK = "127.0.0.1"
FAST_LINKS = LinkSettings(0.05, 0.6, 0.5, 0.05, 0.2)


@define(eq=False)
class GatewayProcess:
    """Gateway of the deployment with its settings.

    It takes the place of a gateway process but runs in the current event loop.

    Parameters
    ----------
    settings : GatewaySettings
        Settings, including the listening addresses.
    gateway : Gateway
        The running gateway.
    metadata : dict
        Objects that a test associates with the gateway, such as its log records.
    """

    settings: GatewaySettings
    gateway: Gateway
    metadata: dict[str, Any] = field(factory=dict)

    @property
    def url(self) -> str:
        """Base URL for callers."""
        callers = self.settings.callers
        return f"http://{callers.host}:{callers.port}"


@define(eq=False)
class EmulatedPlatform:
    """Store, backend servers and gateways that run in the current event loop.

    Parameters
    ----------
    store : EmulatedStore
        Store that holds the catalog and the server registrations.
    routes : sequence of RouteSpec
        Routes of the catalog.
    keys : dict of str to list of str
        API keys by workspace.
    host : str
        Host name that the routes match and callers send.
    limits : dict
        Limits on the size of requests in the platform's spelling, in bytes.
    version : int
        Version of the catalog that was written last.
    catalog_times_s : list of float
        Monotonic times in seconds at which catalogs were written.
    engine_spec : EngineSpec
        Speed and size of the engines that are added.
    engines, services : dict
        Running servers by name.
    crashing_parts : set of str
        Identifiers of the prompt parts with which a run crashes its engine.
    part_crash_times_s : list of float
        Monotonic times in seconds of the crashes that such parts caused.
    crashing : CrashingRequests
        Requests that crash each server that runs them.
    restart_delay_s : float
        Time in seconds after which a server that crashed is replaced by a new one.
    keeps_identity : bool
        Whether the new server has the identity and the address of the one before.
    gateways : list of GatewayProcess
        Running gateways.
    """

    store: EmulatedStore = field(factory=EmulatedStore)
    routes: Sequence[RouteSpec] = STANDARD_ROUTES
    keys: dict[str, list[str]] = field(factory=lambda: {"coop": ["key-1"]})
    host: str = "desk.example"
    limits: dict[str, int] = field(
        factory=lambda: {"header_bytes": 16384, "body_bytes": 65536}
    )
    version: int = 1
    catalog_times_s: list[float] = field(factory=list)
    engine_spec: EngineSpec = EngineSpec()
    engines: dict[str, EmulatedEngine] = field(factory=dict)
    services: dict[str, EmulatedService] = field(factory=dict)
    crashing_parts: set[str] = field(factory=set)
    part_crash_times_s: list[float] = field(factory=list)
    crashing: CrashingRequests = field(init=False)
    restart_delay_s: float = 0.5
    keeps_identity: bool = False
    gateways: list[GatewayProcess] = field(factory=list)
    _born: dict[str, int] = field(factory=dict)
    _restarts: "set[asyncio.Task[None]]" = field(factory=set)
    _engines_by_address: dict[str, EmulatedEngine] = field(factory=dict)
    _sequences: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        """Let crashes by requests be followed by restarts."""
        self.crashing = CrashingRequests(self._on_crash)

    @property
    def crash_times_s(self) -> list[float]:
        """Monotonic times in seconds of the crashes that runs caused."""
        return [*self.part_crash_times_s, *self.crashing.crash_times_s]

    async def start(self, engines: int = 0, services: int = 0) -> None:
        """Start the store and the given number of servers; write the catalog."""
        await self.store.start()
        for number in range(engines):
            await self.add_engine(f"engine-{number}")
        for number in range(services):
            await self.add_service(f"desk-{number}")
        self.publish_catalog()

    async def stop(self) -> None:
        """Stop all gateways, servers and the store."""
        for restart in self._restarts:
            restart.cancel()
        for process in self.gateways:
            await process.gateway.stop()
        for engine in list(self.engines.values()):
            await engine.stop()
        for service in self.services.values():
            await service.stop()
        await self.store.stop()

    def publish_catalog(self) -> None:
        """Write the current routes and keys to the store as a new catalog version.

        Versions increase but are not consecutive.
        """
        self.version += 3
        self.catalog_times_s.append(time.monotonic())
        document = {
            "version": self.version,
            "routes": [route_document(self.host, route) for route in self.routes],
            "services": service_documents(self.engine_spec),
            "limits": self.limits,
            "tenants": [
                {"name": name, "api_keys": keys} for name, keys in self.keys.items()
            ],
        }
        self.store.put(names.CATALOG_KEY, json.dumps(document).encode())

    async def add_engine(
        self, name: str, zone: str = "zone-a", port: int = 0
    ) -> EmulatedEngine:
        """Start a model engine and register it; 0 stands for any free port."""
        engine = EmulatedEngine(
            name,
            self.engine_spec,
            self._engines_by_address,
            crashing_parts=self.crashing_parts,
            crash_hook=self._on_crash,
            crashing=self.crashing,
            port=port,
        )
        await engine.start()
        self.engines[name] = engine
        self.register(name, MODEL_SERVICE, engine.port, engine.spec.slots, zone)
        return engine

    def _on_crash(self, server: EmulatedEngine | EmulatedService) -> None:
        is_by_part = isinstance(server, EmulatedEngine) and (
            not server.is_crashed_by_request
        )
        times_s = self.part_crash_times_s if is_by_part else self.crashing.crash_times_s
        times_s.append(time.monotonic())
        restart = asyncio.create_task(self._replace(server))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _replace(self, crashed: EmulatedEngine | EmulatedService) -> None:
        """Replace a crashed server by a new process."""
        number = len(self.crash_times_s)
        await asyncio.sleep(self.restart_delay_s)
        if self.keeps_identity:
            name, port = crashed.server_id, crashed.port
        else:
            self.store.remove(names.REGISTRATION_PREFIX + crashed.server_id)
            name, port = f"{crashed.server_id.partition('.')[0]}.{number}", 0
        self._born[name] = 1 + number
        if isinstance(crashed, EmulatedEngine):
            await self.add_engine(name, port=port)
        else:
            await self.add_service(name, port=port, service=crashed.service)

    async def add_service(
        self,
        name: str,
        zone: str = "zone-a",
        port: int = 0,
        service: str = PLAIN_SERVICE,
    ) -> EmulatedService:
        """Start a server of a plain service and register it."""
        server = EmulatedService(name, service, crashing=self.crashing, port=port)
        await server.start()
        self.services[name] = server
        self.register(name, service, server.port, 6, zone)
        return server

    def register(
        self,
        name: str,
        service: str,
        port: int,
        slots: int,
        zone: str = "zone-a",
        state: str = "ready",
        born: int | None = None,
        cold_s: float = 0.0,
    ) -> None:
        """Write the registration of a server to the store.

        Parameters
        ----------
        name : str
            Identity of the server.
        service : str
            Service that it belongs to.
        port : int
            Its port on the loopback address.
        slots : int
            Number of requests that it runs concurrently.
        zone : str
            Its availability zone.
        state : str
            Its state in the platform's spelling, such as ``"draining"``.
        born : int or None
            Time of its start in milliseconds; as before if None.
        cold_s : float
            Time in seconds for which it stays cold.
        """
        if born is not None:
            self._born[name] = born
        entry = {
            "service": service,
            "address": f"{_LOOPBACK}:{port}",
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "cold_remaining_ms": round(cold_s * 1000),
            "sequence": next(self._sequences),
            "born": self._born.get(name, 1),
        }
        key = names.REGISTRATION_PREFIX + name
        self.store.put(key, json.dumps(entry).encode())

    def drain_zone(self, zone: str) -> None:
        """Ask that the servers of a zone get nothing new."""
        self.store.put(names.DRAINED_ZONE_PREFIX + zone, b"{}")

    def restore_zone(self, zone: str) -> None:
        """Take back the request to send nothing to the servers of a zone."""
        self.store.remove(names.DRAINED_ZONE_PREFIX + zone)

    def register_again(self) -> None:
        """Write the registrations of all running servers again."""
        for name, engine in self.engines.items():
            state = "ready" if engine.leaves_at_s is None else "draining"
            if engine.address in self._engines_by_address:
                self.register(
                    name, MODEL_SERVICE, engine.port, engine.spec.slots, state=state
                )
        for name, server in self.services.items():
            self.register(name, server.service, server.port, 6)

    def reclaim(self, name: str, notice_s: float) -> "asyncio.Task[None]":
        """Announce that an engine leaves, and stop it when the notice has elapsed.

        Parameters
        ----------
        name : str
            Engine to stop.
        notice_s : float
            Time between the announcement and the stop, in seconds.

        Returns
        -------
        asyncio.Task
            Task that ends when the engine is stopped and unregistered.
        """
        engine = self.engines[name]
        engine.leaves_at_s = time.monotonic() + notice_s
        self.register(
            name, MODEL_SERVICE, engine.port, engine.spec.slots, state="draining"
        )

        async def stop_after_notice() -> None:
            await asyncio.sleep(notice_s)
            await engine.crash()
            self.store.remove(names.REGISTRATION_PREFIX + name)

        return asyncio.create_task(stop_after_notice())

    async def add_gateway(
        self,
        name: str,
        ports: Iterable[int],
        log: DecisionLog | None = None,
        seeds: Sequence[int] = (),
        bounds: GatewayBounds | None = None,
        store_url: str = "",
        ejects_outliers: bool = False,
    ) -> GatewayProcess:
        """Start a gateway.

        Parameters
        ----------
        name : str
            Name of the gateway.
        ports : iterable of int
            Four free ports: callers, readiness, peers and metrics.
        log : DecisionLog or None
            Decision log of the gateway; a new one by default.
        seeds : sequence of int
            Peer ports of gateways to contact first.
        bounds : GatewayBounds or None
            Time bounds of the gateway; the defaults if None.
        store_url : str
            URL of the store; the emulated store if empty.
        ejects_outliers : bool
            Whether servers are judged by the outcomes of their requests.
        """
        callers, readiness, peers, metrics = (
            AddressSettings(_LOOPBACK, port) for port in ports
        )
        settings = GatewaySettings(
            name=name,
            availability_zone="zone-a",
            region="region",
            callers=callers,
            readiness=readiness,
            peers=peers,
            metrics=metrics,
            store=GatewayStoreSettings(store_url or f"http://{self.store.address}"),
            bounds=bounds or GatewayBounds(),
            seeds=tuple(AddressSettings(_LOOPBACK, port) for port in seeds),
            links=FAST_LINKS,
            ejects_outliers=ejects_outliers,
        )
        gateway = build_gateway(settings, log or DecisionLog())
        await gateway.start()
        process = GatewayProcess(settings, gateway)
        self.gateways.append(process)
        return process
