"""An entry that cannot be read stops all that a gateway learns from the store."""

import asyncio

from harness import RECOVERY_S, Case, CouldNotRun, Worker, plain_handler, run

WORKERS = 3
#: Requests before and after the restart.
REQUESTS = 12
#: Bytes that are no JSON document; the store takes values up to 1 MiB.
UNREADABLE_BYTES = b"[" * 100_000


async def send_requests(case: Case, gateways) -> int:
    served = 0
    for number in range(REQUESTS):
        gateway = gateways[number % len(gateways)]
        client = case.client(gateway, f"client-{number} of {gateway.name}")
        try:
            answer = await client.send("/look/1", b"stop 7")
            served += answer.is_complete and answer.status == 200
        except (OSError, TimeoutError) as error:
            case.record(f"client-{number} got no channel: {error}")
        client.close()
        await asyncio.sleep(0.1)
    return served


async def play(case: Case) -> bool:
    platform = case.platform
    await platform.start()
    platform.configure()
    for number in range(WORKERS):
        worker = Worker(f"i-{number}", "desk", plain_handler(), case.record)
        await worker.start()
        platform.register(worker)
    gateways = [case.gateway(f"front-quito-a-{number}") for number in (1, 2)]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(1.0)
    served_before = await send_requests(case, gateways)
    if served_before < REQUESTS:
        raise CouldNotRun(f"only {served_before} requests served before the fault")
    if case.has_trouble:
        platform.store.put("servers/i-0badc0de", UNREADABLE_BYTES)
        case.record(
            f"store: another writer's entry servers/i-0badc0de of"
            f" {len(UNREADABLE_BYTES)} bytes that cannot be read"
        )
    await asyncio.sleep(4.0)
    # The final fault of the day: all processes are killed, and started again.
    for gateway in gateways:
        await gateway.kill()
    await asyncio.sleep(0.5)
    for gateway in gateways:
        await gateway.start()
    await asyncio.sleep(RECOVERY_S + 3.0)
    served_after = await send_requests(case, gateways)
    for gateway in gateways:
        case.record(
            f"{gateway.name}: ready: {await gateway.is_ready()},"
            f" runs: {gateway.process.returncode is None}"
        )
    case.record(f"served before {served_before}, after {served_after} of {REQUESTS}")
    return served_after < REQUESTS / 4


run(__file__, play)
