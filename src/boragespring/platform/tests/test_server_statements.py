"""What backend servers state about themselves with their replies."""

import asyncio

import pytest

from boragespring.platform import names
from boragespring.platform.emulator import ServiceFault
from boragespring.platform.emulator.deployment import MODEL_SERVICE, PLAIN_SERVICE
from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    log_records,
    prompt_headers,
    read_events,
    request_headers,
    wait_until,
)

LONG_PROMPT_HEADERS = prompt_headers(1000, 400)


async def send_until_leaving(session, process, services):
    """Send calls until a server that leaves has replied to one of them."""
    for number in range(20):
        await fetch_status(session, process, "/look/x", request_id=f"first-{number}")
        if any(service.received for service in services):
            return
    raise AssertionError("no call reached the leaving server")


@pytest.mark.parametrize("fault", [ServiceFault.NONE, ServiceFault.SHED])
async def test_server_that_states_its_leaving_gets_no_further_calls(session, fault):
    async with deployment(services=2, gateways=2) as platform:
        leaving = platform.services["desk-0"]
        leaving.states_leaving = True
        leaving.default_fault = fault
        await send_until_leaving(session, platform.gateways[0], [leaving])
        received = len(leaving.received)
        # Its next heartbeat in the store does not take back what it stated.
        platform.register("desk-0", PLAIN_SERVICE, leaving.port, 6)
        await asyncio.sleep(0.3)
        for number in range(12):
            process = platform.gateways[number % 2]
            assert await fetch_status(session, process, request_id=f"r{number}") == 200
        assert len(leaving.received) == received


async def test_statement_of_another_server_at_the_address_is_not_believed(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        service = platform.services["desk-0"]
        service.states_leaving = True
        service.faults.append(ServiceFault.OTHER_SERVER)
        await fetch_status(session, process, request_id="r1")
        service.states_leaving = False
        assert not log_records(process, "server_leaving")
        assert await fetch_status(session, process, request_id="r2") == 200


async def test_leaving_is_believed_for_one_process_of_the_server_only(session):
    async with deployment(services=2) as platform:
        process = platform.gateways[0]
        restarted = platform.services["desk-0"]
        restarted.states_leaving = True
        await send_until_leaving(session, process, [restarted])
        await wait_until(lambda: log_records(process, "server_leaving"))
        restarted.states_leaving = False
        platform.register("desk-0", PLAIN_SERVICE, restarted.port, 6, born=2)
        await wait_until(lambda: len(log_records(process, "server_joined")) == 3)
        received = len(restarted.received)
        for number in range(12):
            assert await fetch_status(session, process, request_id=f"r{number}") == 200
        assert len(restarted.received) > received


async def test_streams_move_off_a_server_that_states_its_leaving(session):
    async with deployment(engines=2, gateways=2) as platform:
        url = platform.gateways[0].url + "/draft/x"

        async def read_stream(request_id):
            headers = request_headers(
                request_id, remaining_ms=20_000, **LONG_PROMPT_HEADERS
            )
            async with session.post(url, headers=headers, data=b"p") as response:
                return await read_events(response)

        first = asyncio.create_task(read_stream("s1"))
        engines = platform.engines.values()
        await wait_until(lambda: any(engine.runs for engine in engines))
        leaving = next(engine for engine in engines if engine.runs)
        leaving.states_leaving = True
        # The reply to this stream, at its head, is the first that says so.
        others = [engine for engine in engines if engine is not leaving]
        for engine in others:
            platform.register(
                engine.server_id, MODEL_SERVICE, engine.port, 24, state="draining"
            )
        await asyncio.sleep(0.1)
        second = asyncio.create_task(read_stream("s2"))
        await wait_until(lambda: len(leaving.started_run_ids) == 2)
        for engine in others:
            platform.register(engine.server_id, MODEL_SERVICE, engine.port, 24)
        assert await first == list(range(1, 101))
        assert await second == list(range(1, 101))
        assert all(
            log_records(process, "server_leaving") for process in platform.gateways
        )
        moved = [
            headers
            for engine in others
            for headers in engine.received_headers
            if names.COPY_SOURCE.lower() in headers
        ]
        assert len(moved) == 2
