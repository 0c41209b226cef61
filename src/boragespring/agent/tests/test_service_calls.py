"""A call runs at most once, and only in the agent run that it was sent to."""

import asyncio

import pytest
from attrs import evolve

from boragespring.admission import AdmissionQueue, AdmissionSettings
from boragespring.agent import ServiceCallRunner
from boragespring.agent.workload import Workload
from boragespring.answers import AnswerRegistry
from boragespring.answers.messages import (
    AnswerFailed,
    AnswerRefused,
    ServiceAnswered,
    SubmitCall,
)
from boragespring.claims import ClaimQueryHandler, RunOnceMemory
from boragespring.claims.messages import ClaimQuery, RunState
from boragespring.engines import CallNotRunError, CallOutcomeUnknownError
from boragespring.engines.client import ServiceReply
from boragespring.links import Dispatcher
from boragespring.settings.agent import AnswerSettings

INCARNATION = 7
SUBMIT = SubmitCall(
    answer_id=b"a" * 16,
    incarnation=INCARNATION,
    workspace="coop",
    traffic_class="interactive",
    priority=1,
    weight=1.0,
    method="POST",
    path="/x",
    headers={},
    body=b"",
    deadline_in_s=30.0,
    idempotent=False,
)


class FakeLink:
    is_up = True

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class FakeService:
    def __init__(self):
        self.calls = 0
        self.error = None

    async def call(self, call):
        self.calls += 1
        await asyncio.sleep(0)
        if self.error is not None:
            raise self.error
        return ServiceReply(200, {}, b"done")


class AgentHarness:
    def __init__(self):
        self.dispatcher = Dispatcher()
        self.service = FakeService()
        self.answer_registry = AnswerRegistry(AnswerSettings(), self.dispatcher)
        self.link = FakeLink()
        self.memory = RunOnceMemory(60.0, 10)
        workload = Workload(AdmissionQueue(AdmissionSettings()))
        ServiceCallRunner(
            self.service,
            self.answer_registry,
            workload,
            self.dispatcher,
            self.memory,
            INCARNATION,
        )
        ClaimQueryHandler(
            INCARNATION, self.answer_registry, self.memory, self.dispatcher
        )

    def submit(self, submit=SUBMIT):
        self.dispatcher.handlers[SubmitCall](self.link, submit)

    async def query_claim(self, incarnation=INCARNATION):
        query = ClaimQuery(SUBMIT.answer_id, "coop", incarnation, 5.0)
        return await self.dispatcher.call_handlers[ClaimQuery](self.link, query)

    async def outcome(self):
        outcome_types = (ServiceAnswered, AnswerRefused, AnswerFailed)
        while not isinstance(self.link.sent[-1], outcome_types):
            await asyncio.sleep(0)
        return self.link.sent[-1]


@pytest.fixture
async def agent():
    return AgentHarness()


async def test_retried_submit_runs_once(agent):
    agent.submit()
    agent.submit()
    assert (await agent.outcome()).body == b"done"
    agent.submit()
    assert agent.service.calls == 1


async def test_submit_for_earlier_incarnation_is_rejected(agent):
    agent.submit(evolve(SUBMIT, incarnation=INCARNATION - 1))
    assert (await agent.outcome()).code == "agent_replaced"
    assert agent.service.calls == 0
    assert (await agent.query_claim(INCARNATION - 1)).state == RunState.GONE


async def test_claim_query_before_submit_prevents_the_call(agent):
    assert (await agent.query_claim()).state == RunState.NEVER
    agent.submit()
    assert (await agent.outcome()).code == "claim_lost"
    assert agent.service.calls == 0


async def test_claim_query_waits_for_outcome(agent):
    agent.submit()
    reply = await agent.query_claim()
    assert (reply.state, reply.body) == (RunState.FINISHED, b"done")


async def test_rejected_call_never_runs_later(agent):
    agent.service.error = CallNotRunError("refused")
    agent.submit()
    assert isinstance(await agent.outcome(), AnswerRefused)
    assert (await agent.query_claim()).state == RunState.NEVER
    agent.answer_registry._remove(agent.answer_registry.get(SUBMIT.answer_id))
    agent.submit()
    assert (await agent.outcome()).code == "claim_lost"
    assert agent.service.calls == 1


async def test_call_with_lost_reply_stays_unknown_and_is_not_rerun(agent):
    agent.service.error = CallOutcomeUnknownError("lost")
    agent.submit()
    assert (await agent.outcome()).code == "outcome_unknown"
    agent.answer_registry._remove(agent.answer_registry.get(SUBMIT.answer_id))
    agent.submit()
    assert (await agent.outcome()).code == "outcome_unknown"
    assert (await agent.query_claim()).state == RunState.UNKNOWN
    assert agent.service.calls == 1
