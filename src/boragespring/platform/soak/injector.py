"""Inject the faults of a schedule into a soak deployment.

Those of the servers are in `server_faults`.
"""

import asyncio
import signal
import time

from attrs import define, field

from boragespring.platform.emulator import StoreMode
from boragespring.platform.soak.deployment import (
    CATALOG_DELAY_S,
    SoakDeployment,
)
from boragespring.platform.soak.schedule import SoakFault, SoakFaultKind
from boragespring.platform.soak.server_faults import FaultHandler, ServerFaults
from boragespring.platform.soak.soak_gateway import SoakGateway
from boragespring.platform.soak.stop_faults import StopFaults
from boragespring.platform.soak.verdict import KeyRemoval

__all__ = ["SoakInjector"]

ALL_DOWN_S = 0.3
ROLLING_STOP_MAX = 3
STORE_DELAY_S = 0.3
#: Time after the return of the store in which servers and operator write again.
REWRITE_DELAY_S = 0.8
#: Tolerance beyond the time bound within which a change has to take effect.
CHANGE_TOLERANCE_S = 0.5
#: Faults under which some gateway may not receive a change within that bound.
CHANGE_DELAYING_KINDS = frozenset(
    (
        SoakFaultKind.STORE_BUSY,
        SoakFaultKind.STORE_SILENT,
        SoakFaultKind.STORE_RESETS,
        SoakFaultKind.STORE_SLOW,
        SoakFaultKind.HISTORY_COMPACTED,
        SoakFaultKind.STORE_UNREACHABLE,
        SoakFaultKind.STORE_REPLIES_LOST,
        SoakFaultKind.FROZEN,
        SoakFaultKind.STORE_RESTORED,
        SoakFaultKind.STOP_FROZEN,
    )
)


@define(eq=False)
class SoakInjector:
    """Inject each fault of a schedule and revert it after its duration.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment to inject the faults into.
    faults : tuple of SoakFault
        All faults of the run.
    removals : list of KeyRemoval
        API keys that were removed so far.
    server_faults : ServerFaults
        Injects the faults of engines and plain services.
    """

    deployment: SoakDeployment
    faults: tuple[SoakFault, ...]
    removals: list[KeyRemoval] = field(factory=list)
    server_faults: ServerFaults = field(init=False)
    _store_lock: asyncio.Lock = field(factory=asyncio.Lock)
    _handlers: dict[SoakFaultKind, FaultHandler] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.server_faults = ServerFaults(self.deployment.platform)
        self._handlers = {
            **self.server_faults.handlers,
            **StopFaults(self.deployment).handlers,
            SoakFaultKind.STOPPED: self._stop,
            SoakFaultKind.ROLLING_STOP: self._stop_sequentially,
            SoakFaultKind.KILLED: self._kill,
            SoakFaultKind.ALL_KILLED: self._kill_all,
            SoakFaultKind.FROZEN: self._freeze,
            SoakFaultKind.RELOADED: self._reload,
            SoakFaultKind.STORE_BUSY: self._store_mode_handler(StoreMode.BUSY),
            SoakFaultKind.STORE_SILENT: self._store_mode_handler(StoreMode.SILENT),
            SoakFaultKind.STORE_RESETS: self._store_mode_handler(StoreMode.RESETTING),
            SoakFaultKind.STORE_SLOW: self._slow_store,
            SoakFaultKind.HISTORY_COMPACTED: self._compact_history,
            SoakFaultKind.STORE_UNREACHABLE: self._block_store,
            SoakFaultKind.STORE_REPLIES_LOST: self._drop_replies,
            SoakFaultKind.CATALOG_CHANGED: self._change_catalog,
            SoakFaultKind.KEY_REMOVED: self._remove_selected_key,
            SoakFaultKind.STORE_RESTORED: self._restore_store,
        }

    @property
    def delays_changes(self) -> bool:
        """Whether some gateway may not receive a change of the store in time."""
        return any(fault.kind in CHANGE_DELAYING_KINDS for fault in self.faults)

    async def run(self) -> None:
        """Inject all faults, each at its start time."""
        async with asyncio.TaskGroup() as group:
            for fault in self.faults:
                group.create_task(self._inject(fault))

    async def _inject(self, fault: SoakFault) -> None:
        await asyncio.sleep(fault.start_s)
        await self._handlers[fault.kind](fault)

    def _gateway(self, fault: SoakFault) -> SoakGateway:
        return self.deployment.gateways[fault.choice % len(self.deployment.gateways)]

    async def _stop(self, fault: SoakFault) -> None:
        await self.deployment.stop(self._gateway(fault))

    async def _stop_sequentially(self, fault: SoakFault) -> None:
        """Restart gateways one after another while the catalog changes."""
        has_other_stops = self.deployment.shape.has_stops
        for gateway in self.deployment.gateways[:ROLLING_STOP_MAX]:
            self.deployment.platform.publish_catalog()
            # `stop` also starts the gateway again.
            await self.deployment.stop(gateway)
            await self.deployment.wait_ready(
                gateways=[gateway] if has_other_stops else ()
            )

    async def _kill(self, fault: SoakFault) -> None:
        await self.deployment.kill(self._gateway(fault), fault.duration_s)

    async def _kill_all(self, fault: SoakFault) -> None:
        """Kill all gateways right after the store acknowledged a change."""
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
        # Until the signal handler is installed, SIGHUP would end the process.
        async with gateway.fault_lock:
            if gateway.is_in_rotation:
                self.deployment.signal(gateway, signal.SIGHUP)

    def _store_mode_handler(self, mode: StoreMode) -> FaultHandler:
        async def set_mode(fault: SoakFault) -> None:
            store = self.deployment.platform.store
            async with self._store_lock:
                store.mode = mode
                # Wakes pending watches, whose connections the store then resets.
                store.keyspace.wake()
                await asyncio.sleep(fault.duration_s)
                store.mode = StoreMode.SERVING

        return set_mode

    async def _slow_store(self, fault: SoakFault) -> None:
        store = self.deployment.platform.store
        store.delay_s = STORE_DELAY_S
        await asyncio.sleep(fault.duration_s)
        store.delay_s = 0.0

    async def _compact_history(self, fault: SoakFault) -> None:
        """Change the catalog while no gateway is connected, then compact the store.

        The change is then no longer in the history that the gateways watch.
        """
        for gateway in self.deployment.gateways:
            gateway.relay.resets = True
            gateway.relay.reset()
        self.deployment.platform.publish_catalog()
        keyspace = self.deployment.platform.store.keyspace
        keyspace.compact(keyspace.revision)
        for gateway in self.deployment.gateways:
            gateway.relay.restore()

    async def _block_store(self, fault: SoakFault) -> None:
        """Reset all connections between one gateway and the store."""
        relay = self._gateway(fault).relay
        relay.resets = True
        relay.reset()
        await asyncio.sleep(fault.duration_s)
        relay.restore()

    async def _drop_replies(self, fault: SoakFault) -> None:
        """Drop the replies of the store to one gateway, but not its requests."""
        relay = self._gateway(fault).relay
        relay.drops_replies = True
        await asyncio.sleep(fault.duration_s)
        relay.restore()
        relay.reset()

    async def _change_catalog(self, fault: SoakFault) -> None:
        self.deployment.platform.publish_catalog()

    async def _remove_selected_key(self, fault: SoakFault) -> None:
        self._remove_key(fault.choice)

    def _remove_key(self, choice: int) -> None:
        """Remove one key of the workspace "coop", at most once per run.

        Calls with its other key still succeed.
        """
        platform = self.deployment.platform
        key = f"key-{1 + choice % 2}"
        if self.removals or key not in platform.keys["coop"]:
            return
        platform.keys["coop"].remove(key)
        platform.publish_catalog()
        now_s = time.monotonic()
        bound_s = CATALOG_DELAY_S + CHANGE_TOLERANCE_S
        effective_at_s = float("inf") if self.delays_changes else now_s + bound_s
        self.removals.append(KeyRemoval(key, now_s, effective_at_s))

    async def _restore_store(self, fault: SoakFault) -> None:
        """Let the store return from a copy of the time at which the fault began."""
        platform = self.deployment.platform
        copied_at = platform.store.keyspace.revision
        await asyncio.sleep(fault.duration_s)
        async with self._store_lock:
            platform.store.mode = StoreMode.RESETTING
            platform.store.keyspace.wake()
            await asyncio.sleep(ALL_DOWN_S)
            keyspace = platform.store.keyspace
            # Another return may have gone back beyond the copy meanwhile.
            if keyspace.compacted_revision <= copied_at <= keyspace.revision:
                keyspace.restore(copied_at)
            platform.store.mode = StoreMode.SERVING
        await asyncio.sleep(REWRITE_DELAY_S)
        platform.publish_catalog()
        platform.register_again()
