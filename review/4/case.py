"""A gateway that stops takes a stream that it can't finish, and cuts it."""

import asyncio
import random
import signal

from harness import (
    STREAM_ROUTE,
    Case,
    CouldNotRun,
    Worker,
    route,
    run,
    stream_handler,
)

#: Time of the late requests after SIGTERM; requests up to 3 s after it are excused.
SENT_AFTER_SIGTERM_S = 5.5
#: Time to the first event at a quiet worker, and at one where much waits.
QUIET_FIRST_S, BUSY_FIRST_S = 0.3, 2.5
#: A short stream: 3 events, and a time budget of 6 s.
EVENTS, GAP_S = 3, 0.03
BUDGET_MS = 6000
#: A long stream, which began before the SIGTERM and ends 7 s after it.
LONG_EVENTS, LONG_GAP_S = 67, 0.1
LONG_BUDGET_MS = 39_000
CHANNELS = 4
LONG_ROUTE = route(
    "/plan/",
    "streaming",
    "models",
    39_000,
    latency_goal_ms=1800,
    gap_target_ms=180,
    sticky=True,
)


def generation_headers(output_tokens: int = 4 * EVENTS) -> dict[str, str]:
    own = f"{random.getrandbits(32):08x}"
    return {
        "Boragespring-Model": "m",
        "Boragespring-Token-Counts": f"2550,{output_tokens}",
        "Boragespring-Prompt-Prefix": f"5c1e07a2:350,{own}:2200",
    }


async def play(case: Case) -> bool:
    platform = case.platform
    await platform.start()
    platform.configure([STREAM_ROUTE, LONG_ROUTE])
    first_s = [QUIET_FIRST_S]
    short = stream_handler(lambda: first_s[0], EVENTS, GAP_S)
    long = stream_handler(lambda: QUIET_FIRST_S, LONG_EVENTS, LONG_GAP_S)

    async def handle(worker, request, writer) -> None:
        handler = long if request.target == "/plan/1" else short
        await handler(worker, request, writer)

    workers = [Worker(f"i-{n}", "models", handle, case.record) for n in range(2)]
    for worker in workers:
        await worker.start()
        platform.register(worker)
    gateway = case.gateway("front-quito-a-1")
    await gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(0.5)
    clients = [case.client(gateway, f"client-{n}") for n in range(CHANNELS)]

    async def send(client):
        return await client.send(
            "/draft/1", b"summary", generation_headers(), budget_ms=BUDGET_MS
        )

    # Each client has a kept channel, which has served a request.
    for answer in await asyncio.gather(*map(send, clients)):
        if answer.status != 200 or not answer.is_complete:
            raise CouldNotRun(f"no first answer: {answer}")
    # A long stream runs meanwhile, so that the process goes on for as long.
    long_stream = asyncio.create_task(
        case.client(gateway, "client-long").send(
            "/plan/1", b"plan", generation_headers(4 * LONG_EVENTS), LONG_BUDGET_MS
        )
    )
    await asyncio.sleep(0.2)
    if case.has_trouble:
        gateway.signal(signal.SIGTERM)
    first_s[0] = BUSY_FIRST_S
    await asyncio.sleep(SENT_AFTER_SIGTERM_S)
    ran_before = {run_id for worker in workers for run_id in worker.runs}
    answers = await asyncio.gather(*map(send, clients))
    await long_stream
    ran = {run_id for worker in workers for run_id in worker.runs} - ran_before
    lost = [answer for answer in answers if answer.request_id in ran and answer.error]
    case.record(
        f"{len(ran)} of {CHANNELS} late requests were passed on to a worker;"
        f" {len(lost)} of these have no complete answer"
    )
    return bool(lost)


run(__file__, play)
