"""Startup, readiness, reload and graceful shutdown of a gateway."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence
from typing import Any, Protocol

import attrs
from absl import logging
from attrs import define, field

from boragespring.decisions import DecisionLog
from boragespring.drain_end import DrainEnd
from boragespring.event_loop import sleep_until_tick
from boragespring.forwarding import RequestTracker, RequestValidator
from boragespring.settings.gateway import GatewayBounds, GatewaySettings

__all__ = ["CallerServer", "Gateway", "Listener"]

#: Time after the stop signal during which the load balancer, which has to notice
#: the failed readiness check first, still directs callers to this gateway.
BALANCER_DELAY_S = 3.5
#: Part of the grace period before whose begin each request must have an answer, or the
#: first part of one. A process that is slow just then still sends the last answers.
ANSWER_RESERVE_S = 0.6
#: Part of the grace period that is reserved for closing ports and connections.
CLOSE_RESERVE_S = 0.3
#: Time between two calls of the maintenance functions.
MAINTENANCE_INTERVAL_S = 0.2
#: Delay before a background loop that failed is started again.
LOOP_RESTART_DELAY_S = 1.0


class Listener(Protocol):
    """Server that listens on a port."""

    async def start(self) -> None:
        """Open the port."""
        ...

    async def stop(self) -> None:
        """Close the port and its connections."""
        ...


class CallerServer(Listener, Protocol):
    """Server that accepts the requests of callers.

    Parameters
    ----------
    is_leaving : bool
        Whether the gateway is stopping; callers are then asked to close their
        connections.
    """

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
        Server for the requests of callers.
    listeners : list of Listener
        Further servers, such as those for readiness, metrics and peers.
    loops : sequence of callable
        Coroutine functions that run until the gateway stops.
    maintenance : sequence of callable
        Short functions that are called periodically.
    reload_hooks : sequence of callable
        Functions that apply new bounds after a reload.
    leave_hooks : sequence of callable
        Functions that are called at the start of a shutdown.
    end_hooks : sequence of callable
        Functions that answer all requests that have no answer yet; called close to
        the end of the grace period, and before the connections are closed.
    status : callable
        Returns the content of the status page.
    close_hooks : sequence of callable
        Coroutine functions that release resources at the end of a shutdown.
    validator : RequestValidator
        Validator of requests; the gateway is ready while it has a usable
        catalog.
    tracker : RequestTracker
        Tracks the requests that are open.
    settings : GatewaySettings
        Active settings.
    log : DecisionLog
        Log for start, reload and shutdown.
    """

    callers: CallerServer
    listeners: list[Listener]
    loops: Sequence[Callable[[], Coroutine[None, None, None]]]
    maintenance: Sequence[Callable[[], None]]
    reload_hooks: Sequence[Callable[[GatewayBounds], None]]
    leave_hooks: Sequence[Callable[[], None]]
    end_hooks: Sequence[Callable[[], None]]
    status: Callable[[], dict[str, Any]]
    close_hooks: Sequence[Callable[[], Awaitable[None]]]
    validator: RequestValidator
    tracker: RequestTracker
    settings: GatewaySettings
    log: DecisionLog
    _tasks: list["asyncio.Task[None]"] = field(factory=list)
    _is_leaving: bool = False

    def why_not_ready(self) -> str:
        """Return why the gateway is not ready; an empty string if it is."""
        if self._is_leaving:
            return "leaving"
        if not self.validator.is_catalog_usable:
            return "no catalog in force"
        return ""

    def apply(self, settings: GatewaySettings) -> None:
        """Apply the reloadable part of new settings.

        Only the bounds take effect at once. Changes of any other setting need a
        restart, and the log line names them.
        """
        previous = attrs.asdict(self.settings)
        changed = [
            name
            for name, value in attrs.asdict(settings).items()
            if value != previous[name]
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
        """Start the background tasks and open the ports."""
        loops = (*self.loops, self._run_maintenance)
        self._tasks = [asyncio.create_task(self._supervise(loop)) for loop in loops]
        for listener in (*self.listeners, self.callers):
            await listener.start()
        self.log.lifecycle("started")

    async def drain(self) -> None:
        """Fail the readiness check and wait for running requests to end.

        Raises
        ------
        TimeoutError
            If requests are still running close to the end of the grace period.
        """
        started_s = time.monotonic()
        grace_s = self.settings.bounds.stop_grace_s
        answer_s = grace_s - ANSWER_RESERVE_S
        self._is_leaving = True
        self.callers.is_leaving = True
        self.tracker.begin_stop()
        self.validator.stop_at(started_s + answer_s)
        asyncio.get_running_loop().call_later(answer_s, self._end_unanswered)
        _call_each(self.leave_hooks)
        self.log.lifecycle(
            "stopping",
            grace_s=grace_s,
            has_other_gateway=self.validator.has_other_gateway(),
            **attrs.asdict(self.tracker.summarize()),
        )
        async with asyncio.timeout(grace_s - CLOSE_RESERVE_S):
            await asyncio.sleep(BALANCER_DELAY_S)
            await self.callers.wait_idle()
        # A request can still arrive on an open connection before the ports are closed,
        # which would interrupt it.
        self.validator.stop_at(time.monotonic())
        self.log.lifecycle("drained", took_s=round(time.monotonic() - started_s, 3))

    def record_drain_end(self, end: DrainEnd) -> None:
        """Log why the drain has ended early, and which requests are open."""
        self.tracker.begin_end(end.value)
        self.log.lifecycle(
            "drain_ended",
            reason=end.value,
            **attrs.asdict(self.tracker.summarize()),
        )

    async def stop(self) -> None:
        """Cancel the background tasks and close all ports and resources."""
        for task in self._tasks:
            task.cancel()
        self.tracker.begin_end()
        self._end_unanswered()
        # This waits for a moment, in which the last answers are sent.
        await self.callers.stop()
        for listener in self.listeners:
            await listener.stop()
        for close in self.close_hooks:
            await close()
        self.log.lifecycle("stopped")

    def _end_unanswered(self) -> None:
        _call_each(self.end_hooks)

    async def _supervise(self, loop: Callable[[], Coroutine[None, None, None]]) -> None:
        """Run a background loop, and start it again after an unexpected error.

        Without this, a gateway would stay ready while it learns nothing more.
        """
        while True:
            try:
                return await loop()
            except Exception as error:
                logging.exception("event=loop_failed loop=%s", loop.__qualname__)
                self.log.lifecycle(
                    "loop_failed", loop=loop.__qualname__, reason=repr(error)[:300]
                )
            await asyncio.sleep(LOOP_RESTART_DELAY_S)

    async def _run_maintenance(self) -> None:
        while True:
            await sleep_until_tick(MAINTENANCE_INTERVAL_S)
            for maintain in self.maintenance:
                maintain()


def _call_each(hooks: Iterable[Callable[[], None]]) -> None:
    """Call the hooks of a stop; one that fails prevents neither others nor the stop."""
    for hook in hooks:
        try:
            hook()
        except Exception:
            logging.exception("event=stop_hook_failed hook=%r", hook)
