"""Tests for the HTTP client of plain services."""

import asyncio
import socket
import struct

import pytest

from boragespring.engines import (
    CallNotRunError,
    CallOutcomeUnknownError,
    ServiceCall,
    create_service_client,
)
from boragespring.http.tests.raw_server import get_port, listening
from boragespring.standins import ServiceStandIn

CALL = ServiceCall("POST", "/pickups?stop=4", {"Idempotency-Key": "k1"}, b"{}")


@pytest.fixture
async def client_and_service():
    service = ServiceStandIn()
    await service.start()
    client = create_service_client(service.url)
    yield client, service
    await client.close()
    await service.stop()


async def test_call_runs_once_and_returns_the_complete_reply(client_and_service):
    client, service = client_and_service
    reply = await client.call(CALL)
    assert reply.status == 200 and b'"call": 1' in reply.body
    assert [call.key for call in service.ledger] == ["k1"]
    assert (await client.fetch_load_report()).running == 0


async def test_lost_reply_raises_outcome_unknown_without_a_retry(client_and_service):
    client, service = client_and_service
    service.faults.loses_answers = True
    with pytest.raises(CallOutcomeUnknownError):
        await client.call(CALL)
    assert len(service.ledger) == 1


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_call_whose_connection_breaks_is_not_sent_again_unseen(method):
    received = []

    async def break_connection(reader, writer):
        received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    async with listening(break_connection) as listener:
        client = create_service_client(f"http://127.0.0.1:{get_port(listener)}")
        try:
            with pytest.raises(CallOutcomeUnknownError):
                await client.call(ServiceCall(method, "/pickups", {}, b"{}"))
            await asyncio.sleep(0.05)
            assert len(received) == 1
        finally:
            await client.close()


async def test_refused_connection_raises_call_not_run(client_and_service):
    client, service = client_and_service
    await service.stop()
    with pytest.raises(CallNotRunError):
        await client.call(CALL)
    assert not service.ledger


# Guards against a reply that is cut by the end of its service, and taken as complete.
@pytest.mark.parametrize("end", ["close", "reset", "crash"])
async def test_reply_without_a_length_is_complete_only_if_its_service_goes_on(end):
    async def reply_without_length(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nbooked")
        await writer.drain()
        await asyncio.sleep(0.02)
        if end == "crash":
            listener.close()
        if end == "reset":
            linger = struct.pack("ii", 1, 0)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    async with listening(reply_without_length) as listener:
        client = create_service_client(f"http://127.0.0.1:{get_port(listener)}")
        try:
            if end != "close":
                with pytest.raises(CallOutcomeUnknownError):
                    await client.call(ServiceCall("POST", "/pickups", {}, b""))
            else:
                reply = await client.call(ServiceCall("POST", "/pickups", {}, b""))
                assert reply.body == b"booked"
        finally:
            await client.close()
