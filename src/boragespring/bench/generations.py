"""Benchmark policies that place or refuse generations under heavy load.

Gateways place generations by their knowledge of the load of model engines, in
virtual time. The production code makes the decisions; `EngineCore` replaces the
engines, and timers replace the links between gateways. Only the cost of a
placement is measured in real time.
"""

import asyncio
import random
import statistics
from collections.abc import Iterable
from enum import StrEnum

import typer
from attrs import Factory, define, field, frozen

from boragespring.bench.generation_load import (
    Request,
    RequestProfile,
    generate_requests,
)
from boragespring.bench.placement_cost import (
    CANDIDATES,
    ZONES,
    create_servers,
    measure_placement_us,
)
from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.catalog import EngineProfile, RequestKind, Route, ServiceShare
from boragespring.fleet import (
    BackendServer,
)
from boragespring.fleet.model import PeerLoad, RunLoad
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

__all__ = ["FleetSize", "Policy", "interval_p99_s", "measure_policy", "run"]

SEEDS = (1, 2, 3)
#: Interval of the periodic load reports, in seconds.
HEARTBEAT_INTERVAL_S = 0.15
#: Interval between tokens beyond which an answer is late.
INTERVAL_MAX_S = 0.18
RETRIES_MAX = 1
CORE_SETTINGS = EngineCoreSettings(
    memory_tokens=34_272,
    prefill_tokens_per_s=14_000.0,
    prefill_tokens_per_step=112,
    token_interval_s=0.007,
    token_interval_per_run_s=0.00012,
    max_running=24,
    cache_tokens=16,
)
ENGINE_PROFILE = EngineProfile(
    slots=CORE_SETTINGS.max_running, memory_tokens=CORE_SETTINGS.memory_tokens
)


@frozen
class FleetSize:
    """Size of the simulated fleet and delay of its load reports.

    Parameters
    ----------
    engines, gateways : int
        Numbers of model engines and of gateways.
    load_delay_s : float
        Time in seconds until the other gateways know of a placement.
    duration_s : float
        Time in seconds in which requests arrive.
    """

    engines: int = 6
    gateways: int = 5
    load_delay_s: float = 0.012
    duration_s: float = 60.0


class Policy(StrEnum):
    """Policy for placing and refusing generations."""

    LEAST_REQUESTS = "least requests"
    #: Policy of gateways that do not exchange their loads.
    LOCAL_LOAD = "load of the local gateway, never refusing (previous version)"
    SHARED_LOAD = "load of all gateways, refusing"


@define(eq=False)
class _Engine:
    """One simulated engine and the answers that it produces."""

    core: EngineCore = Factory(lambda: EngineCore(CORE_SETTINGS))
    answers: dict[Run, tuple[RunLoad, AnswerRecord, asyncio.Event]] = Factory(dict)
    work_available: asyncio.Event = Factory(asyncio.Event)

    async def decode(self) -> None:
        """Run decoding steps until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            if self.core.is_idle:
                self.work_available.clear()
                await self.work_available.wait()
            await asyncio.sleep(self.core.begin_step())
            for run in self.core.finish_step():
                load, record, done = self.answers[run]
                load.produced_tokens += 1
                record.token_times_s.append(loop.time())
                if run.state is RunState.COMPLETE:
                    del self.answers[run]
                    done.set()


@define(eq=False)
class _GatewaySystem:
    """Simulated gateways and engines."""

    policy: Policy
    size: FleetSize
    placement: PlacementSettings
    rng: random.Random
    engines: dict[str, _Engine] = field(init=False)
    gateways: list[list[BackendServer]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        names = [f"engine-{number}" for number in range(self.size.engines)]
        self.engines = {name: _Engine() for name in names}
        self.gateways = [
            list(create_servers(names, ENGINE_PROFILE.slots))
            for _ in range(self.size.gateways)
        ]

    async def serve(self, request: Request, number: int) -> AnswerRecord:
        """Serve one request and return the record of its answer.

        A refused request is retried once, at the next gateway, after the delay
        that the refusal gives.
        """
        loop = asyncio.get_running_loop()
        record = AnswerRecord("", request.profile.name, loop.time())
        gateway = number % self.size.gateways
        for _ in range(1 + RETRIES_MAX):
            servers = self.gateways[gateway]
            server = self._choose(servers, gateway, request)
            retry_delay_s = self._retry_delay_s(server, request)
            if retry_delay_s is None:
                await self._generate(gateway, server, request, record)
                record.outcome = "ok"
                break
            await asyncio.sleep(retry_delay_s)
            gateway = (gateway + 1) % self.size.gateways
        record.ended_at_s = loop.time()
        return record

    def _choose(
        self, servers: list[BackendServer], gateway: int, request: Request
    ) -> BackendServer:
        if self.policy is Policy.LEAST_REQUESTS:
            return min(
                servers, key=lambda candidate: (candidate.open_runs, self.rng.random())
            )
        now_s = asyncio.get_running_loop().time()
        view = PlacementView(servers, ZONES[gateway % len(ZONES)], now_s)
        call = GenerationCall(request.prompt, ENGINE_PROFILE)
        server = choose_server(call, view, self.placement)
        assert server is not None
        return server

    def _retry_delay_s(self, server: BackendServer, request: Request) -> float | None:
        if self.policy is not Policy.SHARED_LOAD:
            return None
        settings = OverloadSettings()
        wait_s = expected_wait_s(
            server, ENGINE_PROFILE, request.profile.urgency, settings
        )
        route = _create_route(request.profile)
        return refusal_retry_after_s(wait_s, route, settings, self.rng)

    async def _generate(
        self,
        gateway: int,
        server: BackendServer,
        request: Request,
        record: AnswerRecord,
    ) -> None:
        loop = asyncio.get_running_loop()
        prompt = request.prompt
        # Gateways know only the hint of the caller; the engine gets the actual length.
        load = RunLoad(prompt.prompt_tokens, prompt.output_tokens, loop.time())
        run = Run(
            generation_id="",
            request_id="",
            prompt="",
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=request.output_tokens,
            priority=request.profile.urgency,
            max_tokens=prompt.output_max_tokens,
        )
        engine, done = self.engines[server.server_id], asyncio.Event()
        server.runs[str(id(run))] = load
        loop.call_later(self.size.load_delay_s, self._send_load, gateway)
        engine.answers[run] = (load, record, done)
        engine.core.submit(run)
        engine.work_available.set()
        await done.wait()
        del server.runs[str(id(run))]

    async def send_loads(self) -> None:
        """Send the load of each gateway to the others until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for gateway in range(self.size.gateways):
                self._send_load(gateway)

    def _send_load(self, gateway: int) -> None:
        if self.policy is not Policy.SHARED_LOAD:
            return
        for number, servers in enumerate(self.gateways):
            if number == gateway:
                continue
            for local_server, peer_server in zip(
                self.gateways[gateway], servers, strict=True
            ):
                peer_server.peer_loads[str(gateway)] = PeerLoad(
                    *local_server.local_load
                )


@frozen
class PolicyResult:
    """Results of one policy as seen by its callers.

    Parameters
    ----------
    on_time_fraction : float
        Fraction of the requests whose tokens all arrived in time.
    preemptions : int
        Number of preemptions in the engines.
    stall_s : float
        Total time, in seconds, by which tokens exceeded `INTERVAL_MAX_S`.
    interval_p99_s : float
        99th percentile of the time, in seconds, between tokens.
    refused : int
        Number of requests that were still refused when they were retried.
    """

    on_time_fraction: float
    preemptions: int
    stall_s: float
    interval_p99_s: float
    refused: int


def measure_policy(
    policy: Policy,
    demand: float,
    seed: int,
    size: FleetSize | None = None,
    placement: PlacementSettings | None = None,
) -> PolicyResult:
    """Simulate a random load under a policy.

    Parameters
    ----------
    policy : Policy
        Policy of the gateways.
    demand : float
        Load relative to the memory of the engines.
    seed : int
        Seed of the load and of random choices.
    size : FleetSize, optional
        Size of the fleet.
    placement : PlacementSettings, optional
        Weights and limits of the placement.
    """
    # Placement samples servers by the global generator.
    random.seed(f"placement {seed}")
    size = size or FleetSize()
    system = _GatewaySystem(
        policy, size, placement or PlacementSettings(), random.Random(seed)
    )
    requests = generate_requests(demand, seed, size.engines, size.duration_s)
    return run_in_virtual_time(_measure(system, requests))


async def _measure(system: _GatewaySystem, requests: list[Request]) -> PolicyResult:
    loop = asyncio.get_running_loop()
    tasks = [asyncio.create_task(engine.decode()) for engine in system.engines.values()]
    tasks.append(asyncio.create_task(system.send_loads()))
    submitted = []
    started_s = loop.time()
    for number, request in enumerate(requests):
        await asyncio.sleep(max(0.0, started_s + request.arrival_s - loop.time()))
        submitted.append((request, asyncio.create_task(system.serve(request, number))))
    answers = [(request.profile, await task) for request, task in submitted]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return PolicyResult(
        on_time_fraction=statistics.mean(_is_on_time(*answer) for answer in answers),
        preemptions=sum(engine.core.preemptions for engine in system.engines.values()),
        stall_s=sum(record.stall_s(INTERVAL_MAX_S) for _, record in answers),
        interval_p99_s=interval_p99_s(record for _, record in answers),
        refused=sum(record.outcome != "ok" for _, record in answers),
    )


def interval_p99_s(records: Iterable[AnswerRecord]) -> float:
    """Return the 99th percentile of the time, in seconds, between tokens."""
    intervals_s = sorted(
        time_s for record in records for time_s in record.intervals_s()
    )
    return percentile(intervals_s, 0.99)


def _is_on_time(profile: RequestProfile, record: AnswerRecord) -> bool:
    # The queue time ends with the first token, so the objective applies to it.
    if record.outcome != "ok" or record.queue_time_s > profile.objective_s:
        return False
    return max(record.intervals_s(), default=0.0) <= INTERVAL_MAX_S


def _create_route(profile: RequestProfile) -> Route:
    service_shares = (ServiceShare("svc", 1.0),)
    return Route(
        profile.name,
        "",
        "/",
        RequestKind.STREAMING,
        service_shares,
        39.0,  # Timeout in seconds.
        profile.objective_s,
    )


def run() -> None:
    """Print the results of each policy and their ratios to least requests."""
    for demand in (0.7, 1.0, 1.2):
        typer.echo(f"demand {demand} of the memory of the engines, {len(SEEDS)} seeds")
        baseline: PolicyResult | None = None
        for policy in Policy:
            results = [measure_policy(policy, demand, seed) for seed in SEEDS]
            combined = PolicyResult(
                statistics.mean(result.on_time_fraction for result in results),
                sum(result.preemptions for result in results),
                sum(result.stall_s for result in results),
                statistics.mean(result.interval_p99_s for result in results),
                sum(result.refused for result in results),
            )
            baseline = baseline or combined
            typer.echo(f"  {policy.value}: {_describe(combined, baseline)}")
    cost_us = measure_placement_us(ENGINE_PROFILE)
    typer.echo(
        f"placement among {CANDIDATES} servers: {cost_us:.1f} us (target <= 50 us)"
    )


def _describe(result: PolicyResult, baseline: PolicyResult) -> str:
    return ", ".join(
        (
            f"on time {result.on_time_fraction:.3f}"
            f" (x{_ratio(result.on_time_fraction, baseline.on_time_fraction)})",
            f"preemptions {result.preemptions}"
            f" (x{_ratio(result.preemptions, baseline.preemptions)})",
            f"stall {result.stall_s:.1f} s"
            f" (x{_ratio(result.stall_s, baseline.stall_s)})",
            f"inter-token interval p99 {1000 * result.interval_p99_s:.1f} ms"
            f" (x{_ratio(result.interval_p99_s, baseline.interval_p99_s)})",
            f"refused {result.refused}",
        )
    )


def _ratio(value: float, baseline: float) -> str:
    return f"{value / baseline:.2f}" if baseline else "-"
