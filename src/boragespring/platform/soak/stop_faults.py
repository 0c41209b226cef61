"""Stop the gateways of a soak deployment in series, and change others beside."""

import asyncio
import random
import signal
from collections.abc import Mapping

from attrs import define, field

from boragespring.platform.names import REGISTRATION_PREFIX
from boragespring.platform.soak.deployment import SoakDeployment
from boragespring.platform.soak.schedule import SoakFault, SoakFaultKind
from boragespring.platform.soak.server_faults import FaultHandler
from boragespring.platform.soak.soak_gateway import SoakGateway

__all__ = ["StopFaults"]

#: Number of gateways that a series stops, and time between two SIGTERMs of it.
SERIES_MAX = 8
SERIES_INTERVAL_MIN_S, SERIES_INTERVAL_MAX_S = 1.0, 2.0
#: Time within which all gateways get their SIGTERM at once.
ALL_WITHIN_S = 1.0
#: Time for which a stopped gateway is away at most.
DOWN_MAX_S = 3.0
#: Time from SIGTERM to what happens to the process besides.
DURING_MIN_S, DURING_MAX_S = 0.3, 6.0
FREEZE_MIN_S, FREEZE_MAX_S = 0.3, 3.0
#: Time between two changes beside the stops, and their number.
CHANGE_INTERVAL_MIN_S, CHANGE_INTERVAL_MAX_S = 0.5, 2.0
CHANGES = 8
#: The same for crashes beside the stops.
CRASH_INTERVAL_MIN_S, CRASH_INTERVAL_MAX_S = 1.0, 5.0
CRASHES = 4
RECLAIM_NOTICE_S = 1.5
UNREGISTER_DELAY_S = 1.0


@define(eq=False)
class StopFaults:
    """Stop gateways in series, and change engines and the configuration beside.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment to inject the faults into.
    """

    deployment: SoakDeployment
    _added_engines: int = field(default=0, init=False)

    @property
    def handlers(self) -> Mapping[SoakFaultKind, FaultHandler]:
        """Handlers by the kinds of faults that they inject."""
        return {
            SoakFaultKind.STOP_SERIES: self._stop_series,
            SoakFaultKind.ALL_STOPPED: self._stop_all,
            SoakFaultKind.STOP_RELOADED: self._stop_and_reload,
            SoakFaultKind.STOP_FROZEN: self._stop_and_freeze,
            SoakFaultKind.STOP_REPEATED: self._stop_twice,
            SoakFaultKind.CHANGE_SERIES: self._change_in_series,
            SoakFaultKind.CRASH_SERIES: self._crash_in_series,
        }

    async def _stop_series(self, fault: SoakFault) -> None:
        """Stop gateways one after another, without waiting for the ones before."""
        rng = random.Random(fault.choice)
        gateways = list(self.deployment.gateways)
        rng.shuffle(gateways)
        # In half of the series one gateway goes on.
        count = min(len(gateways) - fault.choice % 2, SERIES_MAX)
        async with asyncio.TaskGroup() as group:
            for gateway in gateways[:count]:
                down_s = rng.uniform(0.0, DOWN_MAX_S)
                group.create_task(self.deployment.stop(gateway, down_s))
                await asyncio.sleep(
                    rng.uniform(SERIES_INTERVAL_MIN_S, SERIES_INTERVAL_MAX_S)
                )

    async def _stop_all(self, fault: SoakFault) -> None:
        rng = random.Random(fault.choice)

        async def stop(gateway: SoakGateway) -> None:
            await asyncio.sleep(rng.uniform(0.0, ALL_WITHIN_S))
            await self.deployment.stop(gateway)

        await asyncio.gather(*map(stop, self.deployment.gateways))

    async def _stop_and_reload(self, fault: SoakFault) -> None:
        """Let a gateway read its settings again, before its stop and in it."""
        rng = random.Random(fault.choice)
        gateway = self._gateway(fault)

        async def reload(gateway: SoakGateway) -> None:
            await asyncio.sleep(rng.uniform(DURING_MIN_S, DURING_MAX_S))
            self.deployment.signal(gateway, signal.SIGHUP)

        if gateway.is_in_rotation and not gateway.fault_lock.locked():
            self.deployment.signal(gateway, signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0.0, DURING_MIN_S))
        await self.deployment.stop(gateway, during=reload)

    async def _stop_and_freeze(self, fault: SoakFault) -> None:
        """Suspend a gateway in its stop, maybe until it is killed."""
        rng = random.Random(fault.choice)

        async def freeze(gateway: SoakGateway) -> None:
            await asyncio.sleep(rng.uniform(DURING_MIN_S, DURING_MAX_S))
            duration_s = rng.uniform(FREEZE_MIN_S, FREEZE_MAX_S)
            await self.deployment.suspend(gateway, duration_s)

        await self.deployment.stop(self._gateway(fault), during=freeze)

    async def _stop_twice(self, fault: SoakFault) -> None:
        rng = random.Random(fault.choice)

        async def stop_again(gateway: SoakGateway) -> None:
            await asyncio.sleep(rng.uniform(DURING_MIN_S, DURING_MAX_S))
            self.deployment.signal(gateway, signal.SIGTERM)

        await self.deployment.stop(self._gateway(fault), during=stop_again)

    async def _change_in_series(self, fault: SoakFault) -> None:
        """Change the configuration, engines and settings one after another."""
        rng = random.Random(fault.choice)
        platform = self.deployment.platform
        for _ in range(CHANGES):
            await asyncio.sleep(
                rng.uniform(CHANGE_INTERVAL_MIN_S, CHANGE_INTERVAL_MAX_S)
            )
            change = rng.choice(("catalog", "engine", "reload"))
            if change == "catalog":
                platform.publish_catalog()
            elif change == "engine":
                await self._replace_engine(rng)
            else:
                self._reload(rng.choice(self.deployment.gateways))

    def _reload(self, gateway: SoakGateway) -> None:
        # Until the signal handler is installed, SIGHUP would end the process.
        if gateway.has_been_ready:
            self.deployment.signal(gateway, signal.SIGHUP)

    async def _replace_engine(self, rng: random.Random) -> None:
        """Add an engine, and stop another one after a notice."""
        name = self._running_engine(rng)
        await self._add_engine()
        if name:
            self.deployment.platform.reclaim(name, RECLAIM_NOTICE_S)

    def _running_engine(self, rng: random.Random) -> str:
        """Return the name of an engine that does not leave; empty if none."""
        engines = self.deployment.platform.engines
        names = [name for name, engine in engines.items() if engine.leaves_at_s is None]
        return rng.choice(names) if names else ""

    async def _add_engine(self) -> None:
        self._added_engines += 1
        await self.deployment.platform.add_engine(f"added-{self._added_engines}")

    async def _crash_in_series(self, fault: SoakFault) -> None:
        """Let engines crash one after another; new ones take their places."""
        rng = random.Random(fault.choice)
        platform = self.deployment.platform
        for _ in range(CRASHES):
            await asyncio.sleep(rng.uniform(CRASH_INTERVAL_MIN_S, CRASH_INTERVAL_MAX_S))
            name = self._running_engine(rng)
            await self._add_engine()
            if name:
                engine = platform.engines[name]
                engine.leaves_at_s = 0.0
                await engine.crash()
                await asyncio.sleep(UNREGISTER_DELAY_S)
                platform.store.remove(REGISTRATION_PREFIX + name)

    def _gateway(self, fault: SoakFault) -> SoakGateway:
        return self.deployment.gateways[fault.choice % len(self.deployment.gateways)]
