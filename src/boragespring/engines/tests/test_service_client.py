"""Tests for the HTTP client of plain services."""

import pytest

from boragespring.engines import (
    CallNotRunError,
    CallOutcomeUnknownError,
    ServiceCall,
    create_service_client,
)
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


async def test_refused_connection_raises_call_not_run(client_and_service):
    client, service = client_and_service
    await service.stop()
    with pytest.raises(CallNotRunError):
        await client.call(CALL)
    assert not service.ledger
