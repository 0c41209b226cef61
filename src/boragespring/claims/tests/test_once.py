"""End-to-end tests of claimed calls: duplicates, lost entries, lost agents."""

import asyncio

import aiohttp
import pytest

from boragespring.answers.messages import SubmitCall
from boragespring.claims import RunOnceMemory, SpentReason
from boragespring.claims.operations import ClaimOperations
from boragespring.claims.record import claim_key, new_record, request_digest
from boragespring.faults import FaultDeployment
from boragespring.local import LOCAL_API_KEY
from boragespring.store.store import ABSENT_REVISION, ConditionalWrite

PATH = "services/app-transporte/confirmations"
KEY = {"Idempotency-Key": "k1"}


@pytest.fixture
async def deployment():
    async with FaultDeployment() as running:
        await running.wait_ready()
        yield running


@pytest.fixture
async def session():
    headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
    async with aiohttp.ClientSession(headers=headers) as opened:
        yield opened


def url(deployment, number):
    return f"{deployment.entry_url(number)}/{PATH}"


def runs_of(deployment, body="b"):
    return [
        call
        for service in deployment.services
        for call in service.ledger
        if call.body == body
    ]


async def post(session, address, body="b", headers=KEY):
    async with session.post(address, data=body, headers=headers) as response:
        return response.status, await response.read()


async def test_duplicates_at_both_entries_get_the_same_outcome(deployment, session):
    answers = await asyncio.gather(
        *(post(session, url(deployment, number)) for number in range(6))
    )
    answers.append(await post(session, url(deployment, 0)))
    assert len(set(answers)) == 1
    assert answers[0][0] == 200
    assert len(runs_of(deployment)) == 1


async def test_reused_key_with_another_body_is_refused(deployment, session):
    await post(session, url(deployment, 0))
    for number in range(2):
        status, body = await post(session, url(deployment, number), "other")
        assert status == 422
        assert b'"not_run": true' in body
    assert runs_of(deployment, "other") == []


async def test_call_of_a_killed_entry_can_be_joined(deployment, session):
    for service in deployment.services:
        service.faults.latency_s = 0.4
    first = asyncio.create_task(post(session, url(deployment, 0)))
    while not runs_of(deployment):
        await asyncio.sleep(0.01)
    await deployment.hosted_entries["entry-0"].kill()
    with pytest.raises(aiohttp.ClientError):
        await first
    status, _ = await post(session, url(deployment, 1))
    assert (status, len(runs_of(deployment))) == (200, 1)


async def test_outcome_stays_unknown_after_the_agent_is_lost(deployment, session):
    for service in deployment.services:
        service.faults.latency_s = 5.0
    first = asyncio.create_task(post(session, url(deployment, 0)))
    while not runs_of(deployment):
        await asyncio.sleep(0.01)
    number = next(n for n, s in enumerate(deployment.services) if s.ledger)
    await deployment.hosted_agents[f"service-{number}"].kill()
    await deployment.replace_agent(f"service-{number}")
    answers = [await first, await post(session, url(deployment, 1))]
    assert [status for status, _ in answers] == [504, 504]
    assert all(b'"outcome_unknown"' in body for _, body in answers)
    assert all(b'"not_run": false' in body for _, body in answers)
    assert len(runs_of(deployment)) == 1


@pytest.mark.parametrize("is_replaced", [False, True])
async def test_duplicate_gets_the_stored_outcome_of_a_stopped_agent(
    deployment, session, monkeypatch, is_replaced
):
    """The agent drains after the claim was read and before it is queried."""
    for service in deployment.services:
        service.faults.latency_s = 0.3
    first = asyncio.create_task(post(session, url(deployment, 0)))
    while not runs_of(deployment):
        await asyncio.sleep(0.01)
    number = next(n for n, s in enumerate(deployment.services) if s.ledger)
    name = f"service-{number}"
    query_agent = ClaimOperations.query_agent
    test_loop = asyncio.get_running_loop()

    async def stop_agent():
        await first
        await deployment.hosted_agents[name].drain()
        if is_replaced:
            await deployment.replace_agent(name)

    async def query_after_stop(self, record, request):
        stopping = asyncio.run_coroutine_threadsafe(stop_agent(), test_loop)
        await asyncio.wrap_future(stopping)
        return await query_agent(self, record, request)

    monkeypatch.setattr(ClaimOperations, "query_agent", query_after_stop)
    duplicate = await post(session, url(deployment, 1))
    assert duplicate == await first
    assert (duplicate[0], len(runs_of(deployment))) == (200, 1)


async def test_claim_that_was_never_dispatched_is_replaced(deployment, session):
    """An entry that fails between claim and submit leaves such a claim."""
    agent = deployment.hosted_agents["service-0"].daemon
    orphan = new_record(
        digest_of_body("b"), "service-0", agent.incarnation, b"lost-answer-id00"
    )
    key = claim_key("coop-norte", "app-transporte", "k1")
    write = ConditionalWrite(key, orphan.to_bytes(), ABSENT_REVISION)
    deployment.store.keyspace.apply([write])
    status, _ = await post(session, url(deployment, 0))
    assert (status, len(runs_of(deployment))) == (200, 1)


def digest_of_body(body):
    return request_digest(
        SubmitCall(
            answer_id=b"",
            incarnation=0,
            workspace="coop-norte",
            traffic_class="",
            priority=0,
            weight=1.0,
            method="POST",
            path="/confirmations",
            headers={},
            body=body.encode(),
            deadline_in_s=1.0,
            idempotent=False,
        )
    )


async def test_request_is_refused_while_store_is_down(deployment, session):
    deployment.store.faults.down = True
    status, body = await post(session, url(deployment, 0))
    assert status == 503
    assert b'"store_unavailable"' in body and b'"not_run": true' in body
    assert runs_of(deployment) == []
    deployment.store.faults.down = False
    status, _ = await post(session, url(deployment, 1))
    assert (status, len(runs_of(deployment))) == (200, 1)


def test_run_once_memory_expires_ids_and_reports_when_full():
    now_s = [0.0]
    memory = RunOnceMemory(10.0, 2, lambda: now_s[0])
    memory.record(b"a", SpentReason.RAN)
    now_s[0] = 5.0
    memory.record(b"b", SpentReason.BARRED)
    assert memory.is_full
    now_s[0] = 9.9
    assert memory.get_spent_reason(b"a") is SpentReason.RAN
    now_s[0] = 10.1
    assert memory.get_spent_reason(b"a") is None
    assert memory.get_spent_reason(b"b") is SpentReason.BARRED
    assert not memory.is_full
