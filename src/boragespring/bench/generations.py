"""Compare ways of placing and refusing generations under heavy load.

Gateways place by what they know of model engines, on virtual time. The parts
that decide are the product's own; `EngineCore` stands for the engines, and
timers for the links between gateways. Only the cost of placing is in real time.
"""

import asyncio
import random
import statistics
import time
from collections.abc import Iterable, Iterator
from enum import StrEnum

import typer
from attrs import Factory, define, field, frozen

from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.catalog import EngineProfile, RequestKind, Route, ServiceShare
from boragespring.decisions import DecisionLog, LogSettings
from boragespring.fleet import (
    BackendServer,
    Fleet,
    FleetSettings,
    Registration,
    ServerAddress,
)
from boragespring.fleet.model import PeerLoad, RunLoad
from boragespring.forwarding.messages import PromptShape
from boragespring.forwarding.overload import (
    OverloadSettings,
    expected_wait_s,
    refusal_retry_after_s,
)
from boragespring.forwarding.placement import (
    GenerationCall,
    PlacementSettings,
    PlacementView,
    choose_server,
)
from boragespring.replay.measures import AnswerRecord, percentile
from boragespring.standins.engine_core import (
    EngineCore,
    EngineCoreSettings,
    Run,
    RunState,
)

__all__ = ["Policy", "measure_policy", "run"]

ENGINES, GATEWAYS = 6, 5
DURATION_S = 60.0
SEEDS = (1, 2, 3)
ZONES = ("zone-a", "zone-b", "zone-c")
#: Time until other gateways know of a placing, and until they know the rest.
NOTICE_S, HEARTBEAT_S = 0.012, 0.15
#: Pause between tokens beyond which an answer is late.
PAUSE_MAX_S = 0.18
RETURNS_MAX = 1
CANDIDATES = 128
COST_ROUNDS = 2000
CORE = EngineCoreSettings(
    memory_tokens=34_272,
    prefill_tokens_per_s=14_000.0,
    prefill_tokens_per_step=112,
    token_interval_s=0.007,
    token_interval_per_run_s=0.00012,
    max_running=24,
    cache_tokens=16,
)
ENGINE = EngineProfile(slots=CORE.max_running, memory_tokens=CORE.memory_tokens)


@frozen
class Kind:
    """One kind of request of the load.

    Parameters
    ----------
    name : str
        Its name.
    per_s : float
        Requests a second for each engine, at demand 1.
    prompt_tokens, output_tokens : int
        Mean lengths; both are spread, and the hint is right at the median.
    objective_s : float
        Time to the first token.
    urgency : int
        Rank, 0 the most urgent.
    """

    name: str
    per_s: float
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    urgency: int


#: Long answers beside long prompts with short answers; at demand 1 the engines'
#: memory is just full.
KINDS = (
    Kind("long answer", 0.75, 3_000, 930, 1.8, 1),
    Kind("short answer", 1.05, 2_200, 12, 1.5, 0),
)


class Policy(StrEnum):
    """Way of placing and refusing."""

    LEAST = "least requests"
    ALONE = "by own load, never refusing (the version before)"
    SHARED = "by all gateways' loads, refusing"


@frozen
class Request:
    """One generation of the load."""

    kind: Kind
    at_s: float
    prompt: PromptShape
    output_tokens: int


@define(eq=False)
class _Engine:
    """One engine, and the answers that it produces."""

    core: EngineCore = Factory(lambda: EngineCore(CORE))
    answers: dict[Run, tuple[RunLoad, AnswerRecord, asyncio.Event]] = Factory(dict)
    wake: asyncio.Event = Factory(asyncio.Event)

    async def decode(self) -> None:
        """Produce tokens until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            if self.core.is_idle:
                self.wake.clear()
                await self.wake.wait()
            await asyncio.sleep(self.core.begin_step())
            for run in self.core.finish_step():
                load, record, done = self.answers[run]
                load.produced_tokens += 1
                record.token_times_s.append(loop.time())
                if run.state is RunState.COMPLETE:
                    del self.answers[run]
                    done.set()


@define(eq=False)
class _System:
    """Gateways before engines."""

    policy: Policy
    chance: random.Random
    engines: dict[str, _Engine] = field(init=False)
    gateways: list[list[BackendServer]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        names = [f"engine-{number}" for number in range(ENGINES)]
        self.engines = {name: _Engine() for name in names}
        self.gateways = [list(_servers(names)) for _ in range(GATEWAYS)]

    async def serve(self, request: Request, number: int) -> AnswerRecord:
        """Serve one request; a refused one returns once."""
        loop = asyncio.get_running_loop()
        record = AnswerRecord("", request.kind.name, loop.time())
        chosen_gateway = number % GATEWAYS
        for _ in range(1 + RETURNS_MAX):
            servers = self.gateways[chosen_gateway]
            server = self._choose(servers, chosen_gateway, request)
            pause_s = self._pause_s(server, request)
            if pause_s is None:
                await self._generate(chosen_gateway, server, request, record)
                record.outcome = "ok"
                break
            await asyncio.sleep(pause_s)
            chosen_gateway = (chosen_gateway + 1) % GATEWAYS
        record.ended_at_s = loop.time()
        return record

    def _choose(
        self, servers: list[BackendServer], gateway: int, request: Request
    ) -> BackendServer:
        if self.policy is Policy.LEAST:
            return min(servers, key=lambda one: (one.open_runs, self.chance.random()))
        now_s = asyncio.get_running_loop().time()
        view = PlacementView(servers, ZONES[gateway % len(ZONES)], now_s)
        load = GenerationCall(request.prompt, ENGINE)
        server = choose_server(load, view, PlacementSettings())
        assert server is not None
        return server

    def _pause_s(self, server: BackendServer, request: Request) -> float | None:
        if self.policy is not Policy.SHARED:
            return None
        settings = OverloadSettings()
        wait_s = expected_wait_s(server, ENGINE, request.kind.urgency, settings)
        route = _route(request.kind)
        return refusal_retry_after_s(wait_s, route, settings, self.chance)

    async def _generate(
        self,
        gateway: int,
        server: BackendServer,
        request: Request,
        record: AnswerRecord,
    ) -> None:
        loop = asyncio.get_running_loop()
        prompt = request.prompt
        load = RunLoad(prompt.prompt_tokens, prompt.output_tokens, loop.time())
        run = Run(
            generation_id="",
            request_id="",
            prompt="",
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=request.output_tokens,
            priority=request.kind.urgency,
            max_tokens=prompt.output_max_tokens,
        )
        engine, done = self.engines[server.server_id], asyncio.Event()
        server.runs[str(id(run))] = load
        loop.call_later(NOTICE_S, self._tell, gateway)
        engine.answers[run] = (load, record, done)
        engine.core.submit(run)
        engine.wake.set()
        await done.wait()
        del server.runs[str(id(run))]

    async def tell_loads(self) -> None:
        """Tell all loads with each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for gateway in range(GATEWAYS):
                self._tell(gateway)

    def _tell(self, gateway: int) -> None:
        if self.policy is not Policy.SHARED:
            return
        now_s = asyncio.get_running_loop().time()
        for number, servers in enumerate(self.gateways):
            if number == gateway:
                continue
            for own, theirs in zip(self.gateways[gateway], servers, strict=True):
                theirs.peer_loads[str(gateway)] = PeerLoad(*own.local_load, now_s)


@frozen
class Figures:
    """What the callers of one policy saw."""

    on_time_share: float
    preemptions: int
    stall_s: float
    interval_p99_s: float
    refused: int


def measure_policy(policy: Policy, demand: float, seed: int) -> Figures:
    """Play the load of a seed under a policy."""
    return run_in_virtual_time(_measure(policy, demand, seed))


async def _measure(policy: Policy, demand: float, seed: int) -> Figures:
    loop = asyncio.get_running_loop()
    system = _System(policy, random.Random(seed))
    tasks = [asyncio.create_task(one.decode()) for one in system.engines.values()]
    tasks.append(asyncio.create_task(system.tell_loads()))
    served = []
    begun_s = loop.time()
    for number, request in enumerate(_draw(demand, seed)):
        await asyncio.sleep(max(0.0, begun_s + request.at_s - loop.time()))
        served.append((request, asyncio.create_task(system.serve(request, number))))
    answers = [(request.kind, await task) for request, task in served]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    intervals_s = [time_s for _, one in answers for time_s in one.intervals_s()]
    return Figures(
        on_time_share=statistics.mean(_is_on_time(*answer) for answer in answers),
        preemptions=sum(one.core.preemptions for one in system.engines.values()),
        stall_s=sum(one.stall_s(PAUSE_MAX_S) for _, one in answers),
        interval_p99_s=percentile(intervals_s, 99),
        refused=sum(one.outcome != "ok" for _, one in answers),
    )


def _is_on_time(kind: Kind, record: AnswerRecord) -> bool:
    if record.outcome != "ok" or record.queue_time_s > kind.objective_s:
        return False
    return max(record.intervals_s(), default=0.0) <= PAUSE_MAX_S


def _draw(demand: float, seed: int) -> list[Request]:
    chance = random.Random(f"load {seed}")
    return sorted(
        (one for kind in KINDS for one in _draw_kind(kind, demand, chance)),
        key=lambda one: one.at_s,
    )


def _draw_kind(kind: Kind, demand: float, chance: random.Random) -> Iterator[Request]:
    at_s = 0.0
    while True:
        at_s += chance.expovariate(kind.per_s * demand * ENGINES)
        if at_s > DURATION_S:
            return
        prompt_tokens = round(kind.prompt_tokens * chance.uniform(0.6, 1.4))
        output_tokens = 1 + round(kind.output_tokens * chance.uniform(0.2, 1.8))
        hint_tokens = 1 + round(output_tokens * chance.lognormvariate(0.0, 0.5))
        prompt = PromptShape(
            prompt_tokens, 3 * kind.output_tokens, output_hint_tokens=hint_tokens
        )
        yield Request(kind, at_s, prompt, output_tokens)


def _servers(names: Iterable[str]) -> Iterator[BackendServer]:
    address = ServerAddress("127.0.0.1", 1)
    for number, name in enumerate(names):
        zone = ZONES[number % len(ZONES)]
        yield BackendServer(Registration(name, "svc", address, zone, ENGINE.slots), 0.0)


def _route(kind: Kind) -> Route:
    shares = (ServiceShare("svc", 1.0),)
    return Route(
        kind.name, "", "/", RequestKind.STREAMING, shares, 39.0, kind.objective_s
    )


def measure_cost_us() -> float:
    """Return the median time of one placing among many candidates."""
    fleet = Fleet(FleetSettings(), DecisionLog(LogSettings(lines_per_s=0.0)))
    for server in _servers(f"engine-{number}" for number in range(CANDIDATES)):
        fleet.register(server.registration)
    for server in fleet.servers:
        server.runs = {str(n): RunLoad(3000, 900.0, 0.0, 4) for n in range(2)}
        server.peer_loads = {str(n): PeerLoad(2, 8e3, 0.0, 0.0) for n in range(4)}
    load, settings = GenerationCall(PromptShape(3000, 900), ENGINE), PlacementSettings()
    times_s = []
    for _ in range(COST_ROUNDS):
        begun_s = time.perf_counter()
        view = PlacementView(fleet.candidates("svc"), ZONES[0], 1.0)
        choose_server(load, view, settings)
        times_s.append(time.perf_counter() - begun_s)
    return 1e6 * statistics.median(times_s)


def run() -> None:
    """Print each policy's figures, and their ratios to least requests."""
    for demand in (0.7, 1.0, 1.2):
        typer.echo(f"demand {demand} of the engines' memory, {len(SEEDS)} seeds")
        base: Figures | None = None
        for policy in Policy:
            figures = [measure_policy(policy, demand, seed) for seed in SEEDS]
            total = Figures(
                statistics.mean(one.on_time_share for one in figures),
                sum(one.preemptions for one in figures),
                sum(one.stall_s for one in figures),
                statistics.mean(one.interval_p99_s for one in figures),
                sum(one.refused for one in figures),
            )
            base = base or total
            typer.echo(f"  {policy.value}: {_describe(total, base)}")
    typer.echo(f"placing among {CANDIDATES}: {measure_cost_us():.1f} us (at most 50)")


def _describe(figures: Figures, base: Figures) -> str:
    return ", ".join(
        (
            f"on time {figures.on_time_share:.3f}"
            f" (x{_ratio(figures.on_time_share, base.on_time_share)})",
            f"preemptions {figures.preemptions}"
            f" (x{_ratio(figures.preemptions, base.preemptions)})",
            f"stall {figures.stall_s:.1f} s (x{_ratio(figures.stall_s, base.stall_s)})",
            f"p99 between tokens {1000 * figures.interval_p99_s:.1f} ms"
            f" (x{_ratio(figures.interval_p99_s, base.interval_p99_s)})",
            f"refused {figures.refused}",
        )
    )


def _ratio(value: float, base: float) -> str:
    return f"{value / base:.2f}" if base else "-"
