"""Bring about the faults of a schedule."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

from boragespring.platform.emulator import ServiceFault, StoreMode
from boragespring.platform.names import REGISTRATION_PREFIX
from boragespring.platform.soak.deployment import (
    CATALOG_DELAY_S,
    SoakDeployment,
    SoakGateway,
)
from boragespring.platform.soak.schedule import SoakFault, SoakKind
from boragespring.platform.soak.verdict import KeyRemoval

__all__ = ["SoakInjector"]

ALL_DOWN_S = 0.3
STORE_DELAY_S = 0.3
RECLAIM_NOTICE_S = 1.0
ENGINE_BACK_S = 1.0
FAULTY_REPLIES = 12
#: Time beyond the bound within which a change has to be in force.
CHANGE_SLACK_S = 0.5
#: Kinds in which some gateway cannot hear a change in time.
UNHEARD_KINDS = frozenset(
    (
        SoakKind.STORE_BUSY,
        SoakKind.STORE_SILENT,
        SoakKind.STORE_RESETS,
        SoakKind.STORE_SLOW,
        SoakKind.HISTORY_GONE,
        SoakKind.TURNED_AWAY,
        SoakKind.STORE_DEAF,
        SoakKind.FROZEN,
    )
)
SERVICE_FAULTS = tuple(
    one
    for one in ServiceFault
    if one not in (ServiceFault.NONE, ServiceFault.HANG, ServiceFault.UNFRAMED_RESET)
)


@define(eq=False)
class SoakInjector:
    """Run each fault of a schedule: begin, wait, undo.

    Parameters
    ----------
    deployment : SoakDeployment
        Where the faults happen.
    faults : tuple of SoakFault
        All faults of the run.
    """

    deployment: SoakDeployment
    faults: tuple[SoakFault, ...]
    removals: list[KeyRemoval] = field(factory=list)
    _store_lock: asyncio.Lock = field(factory=asyncio.Lock)
    _by_kind: dict[SoakKind, Callable[[SoakFault], Awaitable[None]]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._by_kind = {
            SoakKind.STOPPED: self._stop,
            SoakKind.STOPPED_IN_TURN: self._stop_in_turn,
            SoakKind.KILLED: self._kill,
            SoakKind.ALL_KILLED: self._kill_all,
            SoakKind.FROZEN: self._freeze,
            SoakKind.RELOADED: self._reload,
            SoakKind.STORE_BUSY: self._store_mode(StoreMode.BUSY),
            SoakKind.STORE_SILENT: self._store_mode(StoreMode.SILENT),
            SoakKind.STORE_RESETS: self._store_mode(StoreMode.RESETTING),
            SoakKind.STORE_SLOW: self._slow_store,
            SoakKind.HISTORY_GONE: self._drop_history,
            SoakKind.TURNED_AWAY: self._turn_away,
            SoakKind.STORE_DEAF: self._drop_replies,
            SoakKind.CHANGED: self._change,
            SoakKind.KEY_TAKEN: self._take_key,
            SoakKind.ENGINE_RECLAIMED: self._reclaim,
            SoakKind.ENGINE_CRASHED: self._crash,
            SoakKind.SERVICE_FAULTS: self._spoil_replies,
        }

    async def run(self) -> None:
        """Bring about all faults, each at its time."""
        async with asyncio.TaskGroup() as group:
            for fault in self.faults:
                group.create_task(self._run(fault))

    async def _run(self, fault: SoakFault) -> None:
        await asyncio.sleep(fault.at_s)
        await self._by_kind[fault.kind](fault)

    def _gateway(self, fault: SoakFault) -> SoakGateway:
        return self.deployment.gateways[fault.choice % len(self.deployment.gateways)]

    async def _stop(self, fault: SoakFault) -> None:
        await self.deployment.stop(self._gateway(fault))

    async def _stop_in_turn(self, fault: SoakFault) -> None:
        """Stop all, one after the other, while the catalog changes."""
        for gateway in self.deployment.gateways:
            self.deployment.platform.publish_catalog()
            await self.deployment.stop(gateway)
            await self.deployment.wait_ready()

    async def _kill(self, fault: SoakFault) -> None:
        await self.deployment.kill(self._gateway(fault), fault.duration_s)

    async def _kill_all(self, fault: SoakFault) -> None:
        """Kill all gateways right after a change was acknowledged."""
        self._remove_key(fault.choice)
        await asyncio.gather(
            *(
                self.deployment.kill(gateway, ALL_DOWN_S)
                for gateway in self.deployment.gateways
            )
        )

    async def _freeze(self, fault: SoakFault) -> None:
        await self.deployment.freeze(self._gateway(fault), fault.duration_s)

    async def _reload(self, fault: SoakFault) -> None:
        gateway = self._gateway(fault)
        # Before its handler stands, the signal would end the process.
        async with gateway.busy:
            if gateway.is_in_rotation:
                self.deployment.signal(gateway, signal.SIGHUP)

    def _store_mode(self, mode: StoreMode) -> Callable[[SoakFault], Awaitable[None]]:
        async def run(fault: SoakFault) -> None:
            store = self.deployment.platform.store
            async with self._store_lock:
                store.mode = mode
                store.keyspace.wake()
                await asyncio.sleep(fault.duration_s)
                store.mode = StoreMode.SERVING

        return run

    async def _slow_store(self, fault: SoakFault) -> None:
        store = self.deployment.platform.store
        store.delay_s = STORE_DELAY_S
        await asyncio.sleep(fault.duration_s)
        store.delay_s = 0.0

    async def _drop_history(self, fault: SoakFault) -> None:
        """Change something unheard, then forget the change."""
        for gateway in self.deployment.gateways:
            gateway.relay.resets = True
            gateway.relay.reset()
        self.deployment.platform.publish_catalog()
        keyspace = self.deployment.platform.store.keyspace
        keyspace.compact(keyspace.revision)
        for gateway in self.deployment.gateways:
            gateway.relay.heal()

    async def _turn_away(self, fault: SoakFault) -> None:
        relay = self._gateway(fault).relay
        relay.resets = True
        relay.reset()
        await asyncio.sleep(fault.duration_s)
        relay.heal()

    async def _drop_replies(self, fault: SoakFault) -> None:
        relay = self._gateway(fault).relay
        relay.drops_replies = True
        await asyncio.sleep(fault.duration_s)
        relay.heal()
        relay.reset()

    async def _change(self, fault: SoakFault) -> None:
        self.deployment.platform.publish_catalog()

    async def _take_key(self, fault: SoakFault) -> None:
        self._remove_key(fault.choice)

    def _remove_key(self, choice: int) -> None:
        """Take a key away; two of three stay, so that service goes on."""
        platform = self.deployment.platform
        key = f"key-{1 + choice % 2}"
        if self.removals or key not in platform.keys["coop"]:
            return
        platform.keys["coop"].remove(key)
        platform.publish_catalog()
        now_s = time.monotonic()
        is_unheard = any(fault.kind in UNHEARD_KINDS for fault in self.faults)
        bound_s = CATALOG_DELAY_S + CHANGE_SLACK_S
        known_at_s = float("inf") if is_unheard else now_s + bound_s
        self.removals.append(KeyRemoval(key, now_s, known_at_s))

    async def _reclaim(self, fault: SoakFault) -> None:
        """Take an engine away after a notice, unless it is the last one."""
        engines = self.deployment.platform.engines
        names = [name for name, one in engines.items() if one.leaves_at_s is None]
        if len(names) > 1:
            name = names[fault.choice % len(names)]
            await self.deployment.platform.reclaim(name, RECLAIM_NOTICE_S)

    async def _crash(self, fault: SoakFault) -> None:
        """End an engine without a notice; its entry lapses later."""
        platform = self.deployment.platform
        names = [n for n, one in platform.engines.items() if one.leaves_at_s is None]
        if len(names) < 2:
            return
        name = names[fault.choice % len(names)]
        platform.engines[name].leaves_at_s = time.monotonic()
        await platform.engines[name].crash()
        await asyncio.sleep(ENGINE_BACK_S)
        platform.store.remove(REGISTRATION_PREFIX + name)

    async def _spoil_replies(self, fault: SoakFault) -> None:
        services = list(self.deployment.platform.services.values())
        service = services[fault.choice % len(services)]
        first = fault.choice % len(SERVICE_FAULTS)
        service.faults.extend(
            SERVICE_FAULTS[(first + number) % len(SERVICE_FAULTS)]
            for number in range(FAULTY_REPLIES)
        )
