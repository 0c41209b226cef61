"""Whole deployments with one guard taken out: the verdict must notice.

Each case runs one seed twice: as the code is, and with the guard broken.
"""

import weakref

import pytest

from boragespring.answers import (
    AnswerReceiver,
    AnswerRegistry,
    NotRunError,
    RequestRunner,
)
from boragespring.answers.buffered_answer import BufferedAnswer
from boragespring.claims import ClaimStore, RunOnceMemory, StoredClaim
from boragespring.faults import BreachKind, run_one

#: Seeds whose only fault is the one named.
LINKS_SILENT, CALLERS_VANISH = 4, 8
TRIES_MAX = 6
FORGOTTEN_TOKEN = 2


def ignore_claims(patch):
    """Every entry takes each key as its own."""

    async def put(self, key, record, revision):
        return StoredClaim(record, 1, True)

    patch.setattr(ClaimStore, "put", put)


def forget_calls(patch):
    """The agent does not know answer ids that it has seen."""
    patch.setattr(AnswerRegistry, "get", lambda self, answer_id: None)
    patch.setattr(RunOnceMemory, "get_spent_reason", lambda self, answer_id: None)


def drop_position(patch):
    """A resumed answer starts over."""
    attach = BufferedAnswer.attach
    patch.setattr(
        BufferedAnswer,
        "attach",
        lambda self, link, _, limit: attach(self, link, 0, limit),
    )
    patch.setattr(
        AnswerReceiver,
        "add",
        lambda self, message: (
            self._texts.extend(message.texts),
            self._changed.set(),
        ),
    )


def never_cancel(patch):
    """Nothing reaches the engine when a caller is gone."""
    patch.setattr(AnswerRegistry, "_expire", lambda self, answer: None)
    patch.setattr(AnswerRegistry, "_cancel_and_remove", lambda self, answer: None)


def refuse_what_ran(patch):
    """An unknown outcome is told as not run."""
    call = RequestRunner.call

    async def lie(self, service, request):
        await call(self, service, request)
        raise NotRunError("lie", "it ran", 0.0)

    patch.setattr(RequestRunner, "call", lie)


def splice(patch):
    """A lost answer goes on with another generation."""
    stream = RequestRunner.stream

    async def spliced(self, service, request):
        async for part in stream(self, service, request):
            if part.finished is None:
                yield part
        async for part in stream(self, service, request):
            yield part

    patch.setattr(RequestRunner, "stream", spliced)


def forget_a_token(patch):
    """A token on the way is forgotten, in each answer, whatever came with it."""
    take = AnswerReceiver.take_texts
    taken = weakref.WeakKeyDictionary()

    def lossy(self):
        texts = take(self)
        first = taken.get(self, 0)
        taken[self] = first + len(texts)
        numbered = enumerate(texts, first)
        return [text for number, text in numbered if number != FORGOTTEN_TOKEN]

    patch.setattr(AnswerReceiver, "take_texts", lossy)


CASES = [
    (ignore_claims, CALLERS_VANISH, BreachKind.RAN_TWICE),
    (drop_position, CALLERS_VANISH, BreachKind.TOKENS_WRONG),
    (never_cancel, CALLERS_VANISH, BreachKind.LEFT_RUNNING),
    (refuse_what_ran, LINKS_SILENT, BreachKind.RAN_THOUGH_REFUSED),
    (splice, LINKS_SILENT, BreachKind.TWO_GENERATIONS),
    (forget_a_token, LINKS_SILENT, BreachKind.TOKENS_WRONG),
    (forget_calls, LINKS_SILENT, BreachKind.RAN_TWICE),
]


@pytest.mark.parametrize(("break_guard", "seed", "kind"), CASES)
async def test_verdict_notices_a_broken_guard(break_guard, seed, kind, monkeypatch):
    monkeypatch.setattr("boragespring.faults.runner.QUIET_TIMEOUT_S", 3.0)
    seen = set()
    with monkeypatch.context() as patch:
        break_guard(patch)
        # The seed fixes which fault comes, not which answers it meets midway.
        for _ in range(TRIES_MAX):
            report = await run_one(seed)
            seen |= {breach.kind for breach in report.breaches}
            if kind in seen:
                return
    pytest.fail(f"{kind} was not noticed, only {seen}")


@pytest.mark.parametrize("seed", [*range(9), 30, 61, 88, 132])
async def test_seeds_break_no_promise(seed):
    report = await run_one(seed)
    assert not report.breaches, report.describe()
