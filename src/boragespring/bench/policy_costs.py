"""Benchmark the cost of routing and admission decisions in real time."""

import asyncio
import random
import sys
import time
from collections.abc import Callable

from boragespring.admission import (
    AdmissionQueue,
    AdmissionSettings,
    Ticket,
    TrafficClass,
)
from boragespring.admission.forecast import MemoryForecast
from boragespring.admission.lengths import LengthModels
from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.routing import (
    AgentLoad,
    CacheIndex,
    Placement,
    Router,
    RouteRequest,
    prefix_hashes,
)

__all__ = ["admission_costs", "routing_cost"]

CANDIDATES = 128
REPEATS = 2_000
RUNNING = 256
LENGTH_MODELS = 30
WAITING = 400
US_PER_S = 1e6
#: Memory size that no forecast reaches, so that every horizon is evaluated.
UNREACHABLE_TOKENS = 1e12


def _time_us(action: Callable[[], object], repeats: int) -> float:
    started_s = time.perf_counter()
    for _ in range(repeats):
        action()
    return (time.perf_counter() - started_s) / repeats * US_PER_S


def routing_cost() -> str:
    """Report the time of a routing decision with and without a cached prefix."""
    router = Router("zone-0", rng=random.Random(1))
    router.set_agents(
        Placement(f"agent-{i}", f"zone-{i % 3}") for i in range(CANDIDATES)
    )
    index = CacheIndex(capacity_tokens=1_000_000)
    prompts = [f"{i} " * 2_000 for i in range(100)]
    for prompt in prompts:
        index.record_prompt(prompt)
    for name in router.candidates:
        load = AgentLoad(10, 0, 5_000.0, 10_000, 0, 1_000.0)
        router.update_load(name, load)
        router.update_digest(name, index.digest())
    request = RouteRequest(1, 100, 100)
    prefix_request = RouteRequest(1, 100, 100, prefix_hashes(prompts[-1]))
    request_us = _time_us(lambda: router.choose(request), REPEATS)
    prefix_request_us = _time_us(lambda: router.choose(prefix_request), REPEATS)
    return (
        f"routing among {CANDIDATES} agents: {request_us:.0f} us, "
        f"{prefix_request_us:.0f} us with a prefix that all have cached "
        "(target 50 us)"
    )


def admission_costs() -> str:
    """Report the times of forecast, decision and submit, and the size of a ticket."""
    length_models = LengthModels()
    rng = random.Random(1)
    tickets = [_create_ticket(length_models, rng, number) for number in range(RUNNING)]
    forecast = MemoryForecast(0.1)
    rebuild_us = _time_us(lambda: forecast.rebuild(tickets), 20)
    decide_us = _time_us(lambda: forecast.fits(tickets[0], UNREACHABLE_TOKENS), REPEATS)
    submit_us = run_in_virtual_time(_submit_time_us())
    return (
        f"admission with {RUNNING} generations of {LENGTH_MODELS} length models: "
        f"forecast {rebuild_us:.0f} us, decision {decide_us:.0f} us, submit behind "
        f"{WAITING} waiting {submit_us:.0f} us, {sys.getsizeof(tickets[0])} bytes "
        "per ticket"
    )


def _create_ticket(
    length_models: LengthModels, rng: random.Random, number: int
) -> Ticket:
    workspace = f"workspace-{number % (LENGTH_MODELS // 3)}"
    traffic_class = list(TrafficClass)[number % 3]
    ticket = Ticket(workspace, traffic_class, 200, 4_000)
    ticket.model = length_models.model(workspace, traffic_class)
    ticket.record_tokens(1 + int(rng.expovariate(1 / 300)))
    return ticket


async def _submit_time_us() -> float:
    loop = asyncio.get_running_loop()
    queue = AdmissionQueue(AdmissionSettings(concurrency_max=1), loop.time)
    started_s = time.perf_counter()
    tasks = [
        asyncio.create_task(
            queue.submit(Ticket(f"w{i % 10}", TrafficClass.STANDARD, 10, 10))
        )
        for i in range(WAITING + 1)
    ]
    await asyncio.sleep(0)
    elapsed_s = time.perf_counter() - started_s
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return elapsed_s / WAITING * US_PER_S
