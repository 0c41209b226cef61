"""Losing a link neither blocks a receiver nor duplicates or skips tokens."""

import asyncio

from boragespring.answers.messages import AnswerTokens
from boragespring.answers.receiver import AnswerReceiver, AnswerTable
from boragespring.links import Dispatcher


class FakeLink:
    is_up = True

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


async def test_wait_returns_at_once_when_the_link_is_lost():
    receiver = AnswerReceiver(b"a" * 16, 8)
    link = FakeLink()
    receiver.attach(link)
    receiver.detach(link)
    async with asyncio.timeout(5):
        await receiver.wait()


def test_duplicate_tokens_are_dropped_and_a_gap_fails_the_answer():
    receiver = AnswerReceiver(b"a" * 16, 8)
    receiver.add(AnswerTokens(receiver.answer_id, 0, ["x", "y"]))
    receiver.add(AnswerTokens(receiver.answer_id, 1, ["y", "z"]))
    assert receiver.take_texts() == ["x", "y", "z"]
    receiver.add(AnswerTokens(receiver.answer_id, 5, ["q"]))
    assert receiver.outcome.code == "answer_lost"
    assert receiver.take_texts() == []


def test_a_message_on_a_link_that_does_not_own_the_answer_is_dropped():
    dispatcher = Dispatcher()
    table = AnswerTable(dispatcher)
    receiver, owner, other = AnswerReceiver(b"a" * 16, 8), FakeLink(), FakeLink()
    receiver.attach(owner)
    table.open(receiver)
    tokens = AnswerTokens(receiver.answer_id, 0, ["x"])
    dispatcher.handlers[AnswerTokens](other, tokens)
    assert (receiver.take_texts(), table.unexpected_messages) == ([], 1)
    dispatcher.handlers[AnswerTokens](owner, tokens)
    assert receiver.take_texts() == ["x"]
