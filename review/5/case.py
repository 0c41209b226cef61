"""A stream goes on at another worker while the first one still works on it."""

import asyncio
import time

from engine import BUDGET_MS, PLAN, Engine, plan_headers
from harness import Case, CouldNotRun, run

#: Time of a copy, which is queued behind other moves on the links.
COPY_S = 0.8
#: Time in the second copy at which the answer is lost.
LOST_AFTER_S = 0.3
#: Time until the worker that leaves ends, by its report.
LEAVES_IN_S = 8.0
#: Bound of the rule.
OVERLAP_MAX_S = 0.4


async def play(case: Case) -> bool:
    platform = case.platform
    await platform.start()
    platform.configure([PLAN])
    engines = [Engine(f"i-{n}", case.record, COPY_S) for n in range(2)]
    for engine in engines:
        await engine.start()
        platform.register(engine)
    for engine in engines:
        engine.peers = {e.address: e for e in engines if e is not engine}
    gateway = case.gateway("front-quito-a-1")
    await gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(0.5)
    client = case.client(gateway)
    run_id = "9c41d07be2a35f68"
    request = asyncio.create_task(
        client.send("/plan/1", b"plan", plan_headers(1), BUDGET_MS, request_id=run_id)
    )
    await asyncio.sleep(2.0)
    source = next(engine for engine in engines if run_id in engine.made)
    other = next(engine for engine in engines if engine is not source)
    # Planned: the worker is emptied and will be taken away.
    source.leaves_at_s = time.monotonic() + LEAVES_IN_S
    platform.register(source, "draining")
    try:
        async with asyncio.timeout(5.0):
            await source.second_copy.wait()
    except TimeoutError:
        raise CouldNotRun("the gateway made no second copy") from None
    await asyncio.sleep(LOST_AFTER_S)
    if case.has_trouble:
        source.lose_answer(run_id)
    await request
    while any(run_id in e.made and run_id not in e.works_until_s for e in engines):
        await asyncio.sleep(0.1)
    if run_id not in other.works_from_s:
        return False
    overlap_s = source.works_until_s[run_id] - other.works_from_s[run_id]
    case.record(f"both workers worked on the run for {overlap_s:.2f} s")
    return overlap_s > OVERLAP_MAX_S


run(__file__, play)
