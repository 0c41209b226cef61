"""Simulate the entries, agents and engines of one service in virtual time.

Routers, admission queues and the load reports of agents are the production
classes. Function calls and timers replace the links, and `EngineCore` replaces
the HTTP interface of an engine.
"""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from attrs import Factory, define, field, frozen

from boragespring.admission import (
    AdmissionQueue,
    AdmissionRefusedError,
    AdmissionSettings,
    Ticket,
    TrafficClass,
)
from boragespring.agent.workload import Workload
from boragespring.replay.measures import AnswerRecord
from boragespring.replay.trace import TraceRequest
from boragespring.routing import (
    CacheIndex,
    Placement,
    RouteOutcome,
    Router,
    RouteRefusedError,
    RouteRequest,
    RouterSettings,
    prefix_hashes,
)
from boragespring.standins.engine_core import (
    CACHE_BLOCK_TOKENS,
    EngineCore,
    EngineCoreSettings,
    Run,
    RunState,
)

__all__ = ["PolicySystem", "SystemSettings", "replay_trace"]

ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_INTERVAL_S = 0.5
DIGEST_INTERVAL_S = 2.0
LINK_DELAY_S = 0.002
CACHE_EVENT_INTERVAL_S = 0.2


@frozen
class SystemSettings:
    """Size and policies of a simulated system.

    Parameters
    ----------
    core : EngineCoreSettings
        Size and speed of each engine.
    engines, entries : int
        Number of engines, each with its agent, and of entries.
    admission : AdmissionSettings
        Settings of the admission queue of each agent; its memory is that of the
        engine.
    router : RouterSettings
        Settings of the router of each entry. Systems must not share the policy.
    cache_event_lag_s : float
        Delay, in seconds, of cache events.
    cache_event_loss_probability : float
        Probability that the cache events of an interval are lost.
    weights : dict of str to float
        Plan weight of each workspace; 1 if absent.
    seed : int
        Seed of the random choices.
    """

    core: EngineCoreSettings
    engines: int = 6
    entries: int = 3
    admission: AdmissionSettings = Factory(AdmissionSettings)
    router: RouterSettings = Factory(RouterSettings)
    cache_event_lag_s: float = 0.2
    cache_event_loss_probability: float = 0.0
    weights: dict[str, float] = Factory(dict)
    seed: int = 0


@define(eq=False)
class _Server:
    """One simulated engine and its agent."""

    name: str
    core: EngineCore
    workload: Workload
    cache: CacheIndex
    answers: dict[Run, tuple[Ticket, AnswerRecord, asyncio.Event]] = Factory(dict)
    work_available: asyncio.Event = Factory(asyncio.Event)


@define(eq=False)
class PolicySystem:
    """Simulated entries, agents and engines.

    Parameters
    ----------
    settings : SystemSettings
        Size and policies of the system.

    Attributes
    ----------
    servers : dict
        Engines with their agents, by name.
    routers : list of Router
        Router of each entry.
    """

    settings: SystemSettings
    servers: dict[str, _Server] = field(init=False, factory=dict)
    routers: list[Router] = field(init=False, factory=list)
    _rng: random.Random = field(init=False)
    _tasks: list[asyncio.Task[None]] = field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.settings.seed)

    def start(self) -> None:
        """Start the engines and the periodic load and cache reports."""
        clock = asyncio.get_running_loop().time
        placements = [
            Placement(f"engine-{i}", ZONES[i % len(ZONES)])
            for i in range(self.settings.engines)
        ]
        for placement in placements:
            queue = AdmissionQueue(self.settings.admission, clock)
            server = _Server(
                placement.name,
                EngineCore(self.settings.core),
                Workload(queue),
                CacheIndex(self.settings.core.cache_tokens),
            )
            self.servers[placement.name] = server
            self._spawn(self._decode(server))
            self._spawn(self._send_loads(server))
            self._spawn(self._send_cache_digests(server))
        for number in range(self.settings.entries):
            rng = random.Random(f"{self.settings.seed}:{number}")
            zone = ZONES[number % len(ZONES)]
            router = Router(zone, self.settings.router, rng, clock)
            router.set_agents(placements)
            self.routers.append(router)

    async def stop(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def serve(self, request: TraceRequest, number: int) -> AnswerRecord:
        """Route, admit and generate one request and return its record.

        Parameters
        ----------
        request : TraceRequest
            Request to serve.
        number : int
            Position of the request in the trace, which selects the entry.
        """
        loop = asyncio.get_running_loop()
        record = AnswerRecord(
            request.workspace,
            request.traffic_class,
            loop.time(),
            prompt_tokens=request.prompt_tokens,
        )
        router = self.routers[number % len(self.routers)]
        prompt = request.prompt(number)
        excluded: set[str] = set()
        while not record.outcome:
            await self._attempt(router, request, prompt, record, excluded)
        record.ended_at_s = loop.time()
        return record

    async def _attempt(
        self,
        router: Router,
        request: TraceRequest,
        prompt: str,
        record: AnswerRecord,
        excluded: set[str],
    ) -> None:
        ticket = Ticket(
            request.workspace,
            TrafficClass(request.traffic_class),
            request.prompt_tokens,
            request.max_tokens,
            self.settings.weights.get(request.workspace, 1.0),
        )
        route_request = RouteRequest(
            ticket.traffic_class.rank,
            request.prompt_tokens,
            request.max_tokens,
            prefix_hashes(prompt),
        )
        try:
            name = router.choose(route_request, frozenset(excluded))
        except RouteRefusedError as error:
            record.outcome = error.code
            return
        excluded.add(name)
        await asyncio.sleep(LINK_DELAY_S)
        try:
            await self._generate(self.servers[name], request, prompt, ticket, record)
        except AdmissionRefusedError as error:
            if len(excluded) == len(self.servers):
                record.outcome = error.code
        finally:
            router.record_outcome(name, RouteOutcome.ABANDONED)

    async def _generate(
        self,
        server: _Server,
        request: TraceRequest,
        prompt: str,
        ticket: Ticket,
        record: AnswerRecord,
    ) -> None:
        await server.workload.queue.submit(ticket)
        run = Run(
            generation_id="",
            request_id="",
            prompt=prompt,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            priority=ticket.traffic_class.rank,
            max_tokens=request.max_tokens,
        )
        done = asyncio.Event()
        server.answers[run] = (ticket, record, done)
        server.cache.record_prompt(prompt)
        server.core.submit(run)
        server.work_available.set()
        await done.wait()
        ticket.finish()
        record.preemptions = run.preemptions
        record.outcome = "ok"

    async def _decode(self, server: _Server) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if server.core.is_idle:
                server.work_available.clear()
                await server.work_available.wait()
            await asyncio.sleep(server.core.begin_step())
            now_s = loop.time()
            for run in server.core.finish_step():
                ticket, record, done = server.answers[run]
                ticket.record_tokens(1)
                record.token_times_s.append(now_s)
                if run.state is RunState.COMPLETE:
                    del server.answers[run]
                    done.set()

    async def _send_loads(self, server: _Server) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, HEARTBEAT_INTERVAL_S))
        while True:
            load = server.workload.load()
            await asyncio.sleep(LINK_DELAY_S)
            for router in self.routers:
                router.update_load(server.name, load)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S - LINK_DELAY_S)

    async def _send_cache_digests(self, server: _Server) -> None:
        events_per_digest = round(DIGEST_INTERVAL_S / CACHE_EVENT_INTERVAL_S)
        while True:
            for _ in range(events_per_digest):
                await asyncio.sleep(CACHE_EVENT_INTERVAL_S)
                self._process_cache_events(server)
            for router in self.routers:
                router.update_digest(server.name, server.cache.digest())

    def _process_cache_events(self, server: _Server) -> None:
        removed = len(server.core.cache.removed)
        server.core.cache.stored.clear()
        server.core.cache.removed.clear()
        if self._rng.random() < self.settings.cache_event_loss_probability:
            server.cache.record_gap()
            return
        loop = asyncio.get_running_loop()
        lag_s = self.settings.cache_event_lag_s
        loop.call_later(
            lag_s, server.cache.record_eviction, CACHE_BLOCK_TOKENS * removed
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))


async def replay_trace(
    settings: SystemSettings, trace: list[TraceRequest]
) -> tuple[list[AnswerRecord], PolicySystem]:
    """Replay the generations of a trace.

    Parameters
    ----------
    settings : SystemSettings
        Size and policies of the system.
    trace : list of TraceRequest
        Requests in order of time. Calls of plain services are skipped.

    Returns
    -------
    list of AnswerRecord
        Answers as the callers received them, in order of the requests.
    PolicySystem
        The stopped system.
    """
    loop = asyncio.get_running_loop()
    system = PolicySystem(settings)
    system.start()
    started_s = loop.time()
    tasks = []
    for number, request in enumerate(r for r in trace if not r.service):
        await asyncio.sleep(max(0.0, started_s + request.time_s - loop.time()))
        tasks.append(asyncio.create_task(system.serve(request, number)))
    records = await asyncio.gather(*tasks)
    await system.stop()
    return list(records), system
