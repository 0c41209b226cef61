"""Start, readiness and graceful stop of a gateway."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, Protocol

import attrs
from attrs import define, field

from boragespring.decisions import DecisionLog
from boragespring.forwarding import RequestValidator
from boragespring.settings.gateway import GatewayBounds, GatewaySettings

__all__ = ["CallerServer", "Gateway", "Listener"]

#: Time after the signal during which callers still open connections.
BALANCER_DELAY_S = 3.5
#: Part of the grace that is kept for closing down.
CLOSE_DOWN_S = 0.3
#: Time between two looks at what was learned from the store.
UPKEEP_INTERVAL_S = 0.25


class Listener(Protocol):
    """Server with a port."""

    async def start(self) -> None:
        """Open the port."""
        ...

    async def stop(self) -> None:
        """Close it."""
        ...


class CallerServer(Listener, Protocol):
    """Server for callers."""

    is_leaving: bool

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        ...


@define(eq=False)
class Gateway:
    """One gateway process.

    Parameters
    ----------
    callers : CallerServer
        Server for callers.
    listeners : list of Listener
        Further servers: readiness, metrics, peers.
    loops : sequence of callable
        What runs as long as the process.
    upkeep : sequence of callable
        Short work that is due from time to time.
    reload_hooks : sequence of callable
        What takes over new bounds.
    leave_hooks : sequence of callable
        What is called at the begin of a stop.
    status : callable
        Returns what the status page shows.
    closers : sequence of callable
        What is closed at the end.
    gate : RequestValidator
        Tells whether requests can be served.
    settings : GatewaySettings
        Settings in force.
    log : DecisionLog
        Where starts and stops are told.
    """

    callers: CallerServer
    listeners: list[Listener]
    loops: Sequence[Callable[[], Coroutine[None, None, None]]]
    upkeep: Sequence[Callable[[], None]]
    reload_hooks: Sequence[Callable[[GatewayBounds], None]]
    leave_hooks: Sequence[Callable[[], None]]
    status: Callable[[], dict[str, Any]]
    closers: Sequence[Callable[[], Awaitable[None]]]
    gate: RequestValidator
    settings: GatewaySettings
    log: DecisionLog
    _tasks: list["asyncio.Task[None]"] = field(factory=list)
    _is_leaving: bool = False

    def why_not_ready(self) -> str:
        """Return an empty text when callers are welcome, else the reason."""
        if self._is_leaving:
            return "leaving"
        if not self.gate.is_catalog_usable:
            return "no catalog in force"
        return ""

    def apply(self, settings: GatewaySettings) -> None:
        """Put new settings in force.

        The bounds are taken over; the name, addresses, the store and links stay
        those of the start, and the log names which of them differ.
        """
        before = attrs.asdict(self.settings)
        changed = [
            name
            for name, value in attrs.asdict(settings).items()
            if value != before[name]
        ]
        self.settings = attrs.evolve(self.settings, bounds=settings.bounds)
        for hook in self.reload_hooks:
            hook(settings.bounds)
        self.log.lifecycle(
            "reloaded",
            changed=changed,
            needs_restart=[name for name in changed if name != "bounds"],
        )

    async def start(self) -> None:
        """Open the ports."""
        self._tasks = [asyncio.create_task(loop()) for loop in self.loops]
        self._tasks.append(asyncio.create_task(self._keep_up()))
        for listener in (*self.listeners, self.callers):
            await listener.start()
        self.log.lifecycle("started")

    async def drain(self) -> None:
        """Leave the balancer's rotation and let running requests end.

        Raises
        ------
        TimeoutError
            When requests are still running near the end of the grace.
        """
        begun_s = time.monotonic()
        self._is_leaving = True
        self.callers.is_leaving = True
        self.gate.stop_at(begun_s + self.settings.bounds.stop_grace_s - CLOSE_DOWN_S)
        for hook in self.leave_hooks:
            hook()
        self.log.lifecycle("stopping", grace_s=self.settings.bounds.stop_grace_s)
        async with asyncio.timeout(self.settings.bounds.stop_grace_s - CLOSE_DOWN_S):
            await asyncio.sleep(BALANCER_DELAY_S)
            await self.callers.wait_idle()
        self.log.lifecycle("drained", took_s=round(time.monotonic() - begun_s, 3))

    async def stop(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        for listener in (self.callers, *self.listeners):
            await listener.stop()
        for close in self.closers:
            await close()
        self.log.lifecycle("stopped")

    async def _keep_up(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            for act in self.upkeep:
                act()
