"""Inject the faults of a schedule into a deployment."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from attrs import define, field

from boragespring.faults.deployment import FaultDeployment
from boragespring.faults.hosting import DaemonKilledError
from boragespring.faults.schedule import Fault, FaultKind
from boragespring.standins import EngineStandIn

__all__ = ["FaultInjector"]

STORE_DELAY_S = 0.3
LOST_REPLIES = 3
BIND_ATTEMPTS_MAX = 50
BIND_RETRY_DELAY_S = 0.1

T = TypeVar("T")


def _select(items: Sequence[T], fault: Fault) -> T:
    return items[fault.choice % len(items)]


async def _start_engine(engine: EngineStandIn) -> None:
    """Start an engine, and retry while another socket still uses its port."""
    for _ in range(BIND_ATTEMPTS_MAX):
        try:
            await engine.start()
        except OSError:
            await asyncio.sleep(BIND_RETRY_DELAY_S)
            continue
        return
    raise TimeoutError(f"port {engine.port} of the engine is still in use")


@define(eq=False)
class FaultInjector:
    """Inject faults and revert each after its duration.

    Parameters
    ----------
    deployment : FaultDeployment
        Deployment to inject the faults into.
    """

    deployment: FaultDeployment
    _engine_lock: asyncio.Lock = field(init=False, factory=asyncio.Lock)
    _handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._handlers = {
            FaultKind.AGENT_KILLED: self._kill_agent,
            FaultKind.ENTRY_KILLED: self._kill_entry,
            FaultKind.AGENT_PAUSED: self._pause_agent,
            FaultKind.ENTRY_PAUSED: self._pause_entry,
            FaultKind.LINKS_SILENT: self._silence_links,
            FaultKind.STORE_DOWN: self._make_store_unavailable,
            FaultKind.STORE_SLOW: self._slow_store,
            FaultKind.STORE_REPLIES_LOST: self._lose_store_replies,
            FaultKind.CALLERS_DISCONNECT: self._do_nothing,
            FaultKind.ENGINE_CRASHED: self._kill_engine,
            FaultKind.ENGINE_RECLAIMED: self._reclaim_engine,
            FaultKind.ENGINE_FROZEN: self._freeze_engine,
            FaultKind.SERVICE_REPLIES_LOST: self._lose_service_replies,
            FaultKind.AGENT_DRAINED: self._drain_agent,
            FaultKind.ENTRY_DRAINED: self._drain_entry,
        }

    async def run(self, fault: Fault) -> None:
        """Inject a fault at its start time and revert it after its duration."""
        await asyncio.sleep(fault.start_s)
        await self._handlers[fault.kind](fault)

    async def _do_nothing(self, fault: Fault) -> None:
        """Do nothing: the plans of the callers make them disconnect."""

    async def _kill_agent(self, fault: Fault) -> None:
        name = _select(sorted(self.deployment.hosted_agents), fault)
        await self.deployment.hosted_agents[name].kill()
        await asyncio.sleep(fault.duration_s)
        await self.deployment.replace_agent(name)

    async def _drain_agent(self, fault: Fault) -> None:
        name = _select(sorted(self.deployment.hosted_agents), fault)
        host = self.deployment.hosted_agents[name]
        if host.is_alive:
            await host.drain()
        await asyncio.sleep(fault.duration_s)
        await self.deployment.replace_agent(name)

    async def _kill_entry(self, fault: Fault) -> None:
        name = _select(sorted(self.deployment.hosted_entries), fault)
        await self.deployment.hosted_entries[name].kill()
        await asyncio.sleep(fault.duration_s)
        await self.deployment.replace_entry(name)

    async def _drain_entry(self, fault: Fault) -> None:
        name = _select(sorted(self.deployment.hosted_entries), fault)
        self.deployment.balanced_entries.discard(name)
        host = self.deployment.hosted_entries[name]
        await self.deployment.add_entry()
        if host.is_alive:
            await host.drain()

    async def _pause_agent(self, fault: Fault) -> None:
        name = _select(sorted(self.deployment.hosted_agents), fault)
        self.deployment.hosted_agents[name].pause(fault.duration_s)

    async def _pause_entry(self, fault: Fault) -> None:
        name = _select(sorted(self.deployment.hosted_entries), fault)
        self.deployment.hosted_entries[name].pause(fault.duration_s)

    async def _silence_links(self, fault: Fault) -> None:
        name = _select(sorted(self.deployment.relays), fault)
        self.deployment.relays[name].silence()

    async def _make_store_unavailable(self, fault: Fault) -> None:
        faults = self.deployment.store.faults
        faults.down = True
        await asyncio.sleep(fault.duration_s)
        faults.down = False

    async def _slow_store(self, fault: Fault) -> None:
        faults = self.deployment.store.faults
        faults.delay_s = STORE_DELAY_S
        await asyncio.sleep(fault.duration_s)
        faults.delay_s = 0.0

    async def _lose_store_replies(self, fault: Fault) -> None:
        self.deployment.store.faults.lost_answers += LOST_REPLIES

    async def _kill_engine(self, fault: Fault) -> None:
        engine = _select(self.deployment.engines, fault)
        async with self._engine_lock:
            await engine.stop()
            await asyncio.sleep(fault.duration_s)
            await _start_engine(engine)

    async def _reclaim_engine(self, fault: Fault) -> None:
        """Stop an engine after a notice during which its agent drains."""
        number = fault.choice % len(self.deployment.engines)
        engine = self.deployment.engines[number]
        host = self.deployment.hosted_agents[f"agent-{number}"]
        if not host.is_alive:
            return
        drain = asyncio.create_task(host.drain())
        await asyncio.sleep(fault.duration_s)
        async with self._engine_lock:
            await engine.stop()
            with contextlib.suppress(DaemonKilledError):
                await drain
            await _start_engine(engine)
        await self.deployment.replace_agent(f"agent-{number}")

    async def _freeze_engine(self, fault: Fault) -> None:
        engine = _select(self.deployment.engines, fault)
        engine.faults.is_frozen = True
        await asyncio.sleep(fault.duration_s)
        engine.faults.is_frozen = False

    async def _lose_service_replies(self, fault: Fault) -> None:
        service = _select(self.deployment.services, fault)
        service.faults.loses_answers = True
        await asyncio.sleep(fault.duration_s)
        service.faults.loses_answers = False
