"""Inject faults into the servers of a soak deployment, and move their routes."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

from attrs import define, evolve, field

from boragespring.platform.emulator import (
    CrashPoint,
    EmulatedPlatform,
    EmulatedService,
    RouteSpec,
    ServiceFault,
)
from boragespring.platform.emulator.catalog import (
    FURTHER_SERVICES,
    MODEL_SERVICE,
    PLAIN_SERVICE,
)
from boragespring.platform.names import REGISTRATION_PREFIX
from boragespring.platform.soak.callers import (
    CRASHING_BODY,
    CRASHING_LINES,
    CRASHING_PART,
    DEEP_PART,
    VARYING_BODY,
)
from boragespring.platform.soak.rate_verdict import NamedRate
from boragespring.platform.soak.schedule import (
    LONG_DURATIONS_S,
    SoakFault,
    SoakFaultKind,
)
from boragespring.platform.soak.zone_verdict import ColdTime, ZoneDrain

__all__ = ["FaultHandler", "ServerFaults"]

#: Injects a fault and reverts it after its duration.
FaultHandler = Callable[[SoakFault], Awaitable[None]]

RECLAIM_NOTICE_S = 1.0
UNREGISTER_DELAY_S = 1.0
FURTHER_SERVERS = 3
FAULTY_REPLIES = 12
PAUSE_S = "1.0"
DRAINED_ZONE = "zone-b"
NAMED_RATES_PER_S = (0.3, 1.7, 4.5)
#: Breaking off happens within one of the first events of a stream.
BROKEN_EVENTS_MAX = 20
#: Time until the routes of plain services begin to move, and between two steps.
MOVE_DELAY_S, MOVE_INTERVAL_S = 4.0, 0.7
#: Times for which the entry of a paused server stands in the store, and does not.
ENTRY_THERE_S, ENTRY_GONE_S = 0.8, 0.4
#: Where requests crash their servers: before the head, with it, after some events.
CRASH_POINTS = (
    CrashPoint(0.02),
    CrashPoint(0.1),
    CrashPoint(0.02, has_head=True),
    CrashPoint(0.0, has_head=True, events=6),
)
#: Faults of a service to inject. These exclude `HANG`, which never replies,
#: `UNFRAMED_RESET`, which resets the connection after a body without a
#: ``Content-Length``, and `UNSOUND`, which has a kind of its own.
SERVICE_FAULTS = tuple(
    fault
    for fault in ServiceFault
    if fault
    not in (
        ServiceFault.NONE,
        ServiceFault.HANG,
        ServiceFault.UNFRAMED_RESET,
        ServiceFault.UNSOUND,
    )
)
#: Parts that crash engines, by the kind of the fault.
CRASHING_PARTS = {
    SoakFaultKind.PROMPT_CRASHES: CRASHING_PART,
    SoakFaultKind.DEEP_PROMPT_CRASHES: DEEP_PART,
}


@define(eq=False)
class ServerFaults:
    """Inject the faults of engines and plain services.

    Parameters
    ----------
    platform : EmulatedPlatform
        Platform whose servers are affected.
    named_rates : list of NamedRate
        Rates that servers have named so far.
    drains : list of ZoneDrain
        Drains of zones so far.
    cold_times : list of ColdTime
        Times for which servers have been cold so far.
    """

    platform: EmulatedPlatform
    named_rates: list[NamedRate] = field(factory=list)
    drains: list[ZoneDrain] = field(factory=list)
    cold_times: list[ColdTime] = field(factory=list)
    _has_drained: bool = field(default=False, init=False)
    _crashing_part: str = field(default="", init=False)
    _crashing_kind: SoakFaultKind | None = field(default=None, init=False)
    _first_routes: Sequence[RouteSpec] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._first_routes = self.platform.routes

    @property
    def handlers(self) -> Mapping[SoakFaultKind, FaultHandler]:
        """Handlers by the kinds of faults that they inject."""
        return {
            SoakFaultKind.ENGINE_RECLAIMED: self._reclaim_engine,
            SoakFaultKind.ENGINE_CRASHED: self._crash_engine,
            SoakFaultKind.SERVICE_FAULTS: self._queue_service_faults,
            SoakFaultKind.STREAMS_BROKEN: self._break_streams,
            SoakFaultKind.SERVER_LEAVING: self._state_leaving,
            SoakFaultKind.SERVER_PAUSED: self._pause_service,
            SoakFaultKind.PROMPT_CRASHES: self._crash_by_prompt,
            SoakFaultKind.SERVER_LIMITED: self._name_rate,
            SoakFaultKind.REQUEST_CRASHES: self._crash_by_request,
            SoakFaultKind.ENTRY_RETURNS: self._pause_and_return,
            SoakFaultKind.ROUTES_MOVED: self._move_routes,
            SoakFaultKind.ZONE_DRAINED: self._drain_zone,
            SoakFaultKind.SERVER_COLD: self._turn_cold,
            SoakFaultKind.REPLIES_UNSOUND: self._queue_unsound_replies,
            SoakFaultKind.QUERY_VARIES: self._crash_by_request,
            SoakFaultKind.QUERY_CRASHES: self._crash_by_request,
            SoakFaultKind.DEEP_PROMPT_CRASHES: self._crash_by_prompt,
        }

    async def _drain_zone(self, fault: SoakFault) -> None:
        """Drain a zone with one service and restore it, at most once per run."""
        platform = self.platform
        servers = [
            server
            for server in platform.services.values()
            if server.service == PLAIN_SERVICE
        ]
        server = servers[fault.choice % len(servers)]
        if self._has_drained or server.has_crashed:
            return
        self._has_drained = True
        self._register(server, zone=DRAINED_ZONE)
        platform.drain_zone(DRAINED_ZONE)
        began_at_s = time.monotonic()
        await asyncio.sleep(LONG_DURATIONS_S[fault.kind])
        self.drains.append(ZoneDrain(server.server_id, began_at_s, time.monotonic()))
        platform.restore_zone(DRAINED_ZONE)

    async def _turn_cold(self, fault: SoakFault) -> None:
        """Let one service say that it is cold, unless another one does."""
        services = list(self.platform.services.values())
        server = services[fault.choice % len(services)]
        if self.cold_times or server.has_crashed:
            return
        cold_s = LONG_DURATIONS_S[fault.kind]
        self._register(server, cold_s=cold_s)
        began_at_s = time.monotonic()
        self.cold_times.append(
            ColdTime(server.server_id, began_at_s, began_at_s + cold_s)
        )

    def _register(
        self, server: EmulatedService, zone: str = "zone-a", cold_s: float = 0.0
    ) -> None:
        self.platform.register(
            server.server_id, server.service, server.port, 6, zone, cold_s=cold_s
        )

    async def _move_routes(self, fault: SoakFault) -> None:
        """Move the routes of plain services to further ones, split on their way."""
        platform = self.platform
        is_moving = any(
            server.service in FURTHER_SERVICES for server in platform.services.values()
        )
        if is_moving or platform.routes is not self._first_routes:
            return
        for name in FURTHER_SERVICES:
            for number in range(FURTHER_SERVERS):
                await platform.add_service(f"{name}-{number}", service=name)
        await asyncio.sleep(MOVE_DELAY_S)
        services = (PLAIN_SERVICE, *FURTHER_SERVICES)
        for before, after in itertools.pairwise(services):
            for shares in ((before, after), (after, "")):
                platform.routes = [
                    route
                    if route.service == MODEL_SERVICE
                    else evolve(route, service=shares[0], second_service=shares[1])
                    for route in platform.routes
                ]
                platform.publish_catalog()
                await asyncio.sleep(MOVE_INTERVAL_S)

    async def _reclaim_engine(self, fault: SoakFault) -> None:
        """Stop an engine after a notice, unless it is the last one."""
        engines = self.platform.engines
        names = [name for name, engine in engines.items() if engine.leaves_at_s is None]
        if len(names) > 1:
            name = names[fault.choice % len(names)]
            await self.platform.reclaim(name, RECLAIM_NOTICE_S)

    async def _crash_engine(self, fault: SoakFault) -> None:
        """Stop an engine without notice; its registration is removed later."""
        platform = self.platform
        names = [
            n for n, engine in platform.engines.items() if engine.leaves_at_s is None
        ]
        if len(names) < 2:
            return
        name = names[fault.choice % len(names)]
        platform.engines[name].leaves_at_s = time.monotonic()
        await platform.engines[name].crash()
        await asyncio.sleep(UNREGISTER_DELAY_S)
        platform.store.remove(REGISTRATION_PREFIX + name)

    async def _queue_service_faults(self, fault: SoakFault) -> None:
        """Make the next replies of one service faulty, with varying faults."""
        services = list(self.platform.services.values())
        service = services[fault.choice % len(services)]
        first = fault.choice % len(SERVICE_FAULTS)
        service.faults.extend(
            SERVICE_FAULTS[(first + number) % len(SERVICE_FAULTS)]
            for number in range(FAULTY_REPLIES)
        )

    async def _queue_unsound_replies(self, fault: SoakFault) -> None:
        """Give the next replies of one service heads that are no HTTP."""
        services = list(self.platform.services.values())
        service = services[fault.choice % len(services)]
        service.unsound_number = fault.choice
        service.faults.extend([ServiceFault.UNSOUND] * FAULTY_REPLIES)

    async def _break_streams(self, fault: SoakFault) -> None:
        """Send streams without a length or chunks, and break some off in an event."""
        engines = list(self.platform.engines.values())
        for engine in engines:
            engine.sends_unframed = True
            engine.truncates_at_event = 1 + fault.choice % BROKEN_EVENTS_MAX
        await asyncio.sleep(fault.duration_s)
        for engine in engines:
            engine.sends_unframed = False

    async def _state_leaving(self, fault: SoakFault) -> None:
        """Let one service state that it leaves, unless another one does."""
        services = list(self.platform.services.values())
        if not any(service.states_leaving for service in services):
            services[fault.choice % len(services)].states_leaving = True

    async def _crash_by_prompt(self, fault: SoakFault) -> None:
        """Let runs with one part in their prompts crash their engines.

        The crashes of a run count for one part, so there is no other in the same run.
        """
        part = CRASHING_PARTS[fault.kind]
        self._crashing_part = self._crashing_part or part
        if part != self._crashing_part:
            return
        self.platform.crashing_parts.add(part)
        await asyncio.sleep(LONG_DURATIONS_S[fault.kind])
        self.platform.crashing_parts.clear()

    async def _crash_by_request(self, fault: SoakFault) -> None:
        """Let the runs of one request crash their servers, unless another one does.

        The crashes of a run count for one request, as those by parts do.
        """
        crashing = self.platform.crashing
        self._crashing_kind = self._crashing_kind or fault.kind
        is_other = fault.kind is not self._crashing_kind
        if is_other or crashing.points or crashing.line_points:
            return
        point = CRASH_POINTS[fault.choice % len(CRASH_POINTS)]
        match fault.kind:
            case SoakFaultKind.QUERY_CRASHES:
                crashing.line_points.update(dict.fromkeys(CRASHING_LINES, point))
            case SoakFaultKind.QUERY_VARIES:
                crashing.points[VARYING_BODY] = point
            case _:
                crashing.points[CRASHING_BODY] = point
        await asyncio.sleep(LONG_DURATIONS_S[fault.kind])
        crashing.points.clear()
        crashing.line_points.clear()

    async def _name_rate(self, fault: SoakFault) -> None:
        """Let one service name a rate in its replies, unless another one does."""
        services = list(self.platform.services.values())
        if any(service.rate_limit for service in services):
            return
        service = services[fault.choice % len(services)]
        rate_per_s = NAMED_RATES_PER_S[fault.choice % len(NAMED_RATES_PER_S)]
        service.rate_limit = str(rate_per_s)
        began_at_s = time.monotonic()
        await asyncio.sleep(LONG_DURATIONS_S[fault.kind])
        service.rate_limit = ""
        self.named_rates.append(
            NamedRate(service.server_id, rate_per_s, began_at_s, time.monotonic())
        )

    async def _pause_service(self, fault: SoakFault) -> None:
        """Let one service reject all requests and ask for a pause."""
        services = list(self.platform.services.values())
        service = services[fault.choice % len(services)]
        service.default_fault = ServiceFault.SHED
        service.retry_after = PAUSE_S
        await asyncio.sleep(fault.duration_s)
        service.default_fault = ServiceFault.NONE
        service.retry_after = ""

    async def _pause_and_return(self, fault: SoakFault) -> None:
        """Let a service ask for a pause while its entry leaves and returns."""
        platform = self.platform
        services = [each for each in platform.services.values() if not each.retry_after]
        if not services:
            return
        service = services[fault.choice % len(services)]
        ends_at_s = time.monotonic() + LONG_DURATIONS_S[fault.kind]
        service.default_fault = ServiceFault.SHED
        service.retry_after = str(LONG_DURATIONS_S[fault.kind])
        while time.monotonic() < ends_at_s:
            await asyncio.sleep(ENTRY_THERE_S)
            platform.store.remove(REGISTRATION_PREFIX + service.server_id)
            await asyncio.sleep(ENTRY_GONE_S)
            if service.has_crashed:
                break
            platform.register(service.server_id, service.service, service.port, 6)
        service.default_fault = ServiceFault.NONE
        service.retry_after = ""
