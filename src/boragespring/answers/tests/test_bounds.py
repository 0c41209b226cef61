"""Tests of the limits on buffered tokens, memory and restarts."""

import asyncio

import pytest

from boragespring.answers import AnswerRegistry, RetryBudget, RetrySettings
from boragespring.answers.messages import (
    AnswerAcknowledged,
    AnswerCredit,
    AnswerFailed,
    AnswerFinished,
    ResumeAnswer,
)
from boragespring.links import Dispatcher
from boragespring.settings.agent import AnswerSettings


class FakeLink:
    is_up = True

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


SETTINGS = AnswerSettings(
    buffer_max_tokens=50, replay_min_tokens=10, memory_max_bytes=20_000
)


@pytest.fixture
async def dispatcher():
    return Dispatcher()


@pytest.fixture
async def answer_registry(dispatcher):
    return AnswerRegistry(SETTINGS, dispatcher)


def open_answer(answer_registry, number, link, limit=32):
    answer = answer_registry.open(bytes([number]) * 16, "g", "coop", limit)
    answer.attach(link, 0, limit)
    return answer


async def is_paused(answer):
    waiting = asyncio.create_task(answer.wait_for_space())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    paused = not waiting.done()
    waiting.cancel()
    return paused


async def test_production_pauses_when_the_buffer_is_full(answer_registry, dispatcher):
    link = FakeLink()
    answer = open_answer(answer_registry, 1, link)
    answer.append(("t",) * 81)
    assert not await is_paused(answer)
    answer.append(("t",))
    assert await is_paused(answer)
    credit = AnswerCredit(answer.answer_id, 32, 64)
    dispatcher.handlers[AnswerCredit](link, credit)
    assert not await is_paused(answer)


async def test_full_memory_pauses_only_answers_ahead_of_their_limit(answer_registry):
    link = FakeLink()
    ahead = open_answer(answer_registry, 1, link)
    behind = open_answer(answer_registry, 2, link, limit=10_000)
    behind.append(("x" * 20,) * 300)
    assert answer_registry.memory_budget.is_full
    ahead.append(("t",) * 40)
    assert await is_paused(ahead)
    assert not await is_paused(behind)


async def test_full_memory_evicts_acknowledged_tokens_and_old_answers(
    answer_registry, dispatcher
):
    link = FakeLink()
    done = open_answer(answer_registry, 1, link, limit=1000)
    done.append(("x" * 10,) * 50)
    answer_registry.finish(done, AnswerFinished(done.answer_id, 50, "stop", 1))
    dispatcher.handlers[AnswerAcknowledged](link, AnswerAcknowledged(done.answer_id))
    answer = open_answer(answer_registry, 2, link, limit=1000)
    answer.append(("x" * 10,) * 260)
    credit = AnswerCredit(answer.answer_id, 200, 1000)
    dispatcher.handlers[AnswerCredit](link, credit)
    assert not answer_registry.memory_budget.is_full
    assert answer.used_bytes <= answer_registry.memory_budget.used_bytes < 20_000
    resume = ResumeAnswer(answer.answer_id, "coop", 195, 1000)
    dispatcher.handlers[ResumeAnswer](link, resume)
    assert not isinstance(link.sent[-1], AnswerFailed)
    resume = ResumeAnswer(answer.answer_id, "coop", 100, 1000)
    dispatcher.handlers[ResumeAnswer](link, resume)
    assert link.sent[-1].code == "answer_trimmed"


async def test_messages_on_a_superseded_link_are_ignored(answer_registry, dispatcher):
    first, second = FakeLink(), FakeLink()
    answer = open_answer(answer_registry, 1, first)
    resume = ResumeAnswer(answer.answer_id, "coop", 0, 32)
    dispatcher.handlers[ResumeAnswer](second, resume)
    assert first.sent[-1].code == "resumed_elsewhere"
    credit = AnswerCredit(answer.answer_id, 30, 1000)
    dispatcher.handlers[AnswerCredit](first, credit)
    answer.append(("t",) * 100)
    assert await is_paused(answer)
    assert answer_registry.unexpected_messages == 1
    resume = ResumeAnswer(answer.answer_id, "another", 0, 32)
    dispatcher.handlers[ResumeAnswer](first, resume)
    assert first.sent[-1].code == "unknown_answer"


def test_restarts_stay_within_the_earned_budget():
    budget = RetryBudget(RetrySettings(0.2, 5.0))
    restarts = 0
    for _ in range(1000):
        budget.record_request("coop")
        restarts += sum(budget.try_spend("coop") for _ in range(3))
    assert restarts <= 5 + 0.2 * 1000
    assert budget.try_spend("another")
