"""Runs on complete deployments with and without one safeguard of the code.

With a safeguard disabled, the verdict must report the guarantee that it protects;
with the code as it is, no seed violates a guarantee.
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

#: Seeds whose only fault is of the named kind.
LINKS_SILENT, CALLERS_DISCONNECT = 4, 8
ATTEMPTS_MAX = 6
LOST_TOKEN_INDEX = 2


def ignore_claims(patch):
    """Every entry claims each key successfully."""

    async def put(self, key, record, revision):
        return StoredClaim(record, 1, True)

    patch.setattr(ClaimStore, "put", put)


def disable_duplicate_detection(patch):
    """The agent does not recognize answer IDs that it has already processed."""
    patch.setattr(AnswerRegistry, "get", lambda self, answer_id: None)
    patch.setattr(RunOnceMemory, "get_spent_reason", lambda self, answer_id: None)


def ignore_resume_position(patch):
    """A resumed answer starts at its first token again."""
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


def disable_cancellation(patch):
    """No generation is cancelled after its caller has disconnected."""
    patch.setattr(AnswerRegistry, "_expire", lambda self, answer: None)
    patch.setattr(AnswerRegistry, "_cancel_and_remove", lambda self, answer: None)


def report_completed_calls_as_not_run(patch):
    """A call that ran is reported as not run."""
    call = RequestRunner.call

    async def call_and_fail(self, service, request):
        await call(self, service, request)
        raise NotRunError("lie", "it ran", 0.0)

    patch.setattr(RequestRunner, "call", call_and_fail)


def join_two_generations(patch):
    """An answer is followed by the tokens of a second generation."""
    stream = RequestRunner.stream

    async def stream_twice(self, service, request):
        async for part in stream(self, service, request):
            if part.finished is None:
                yield part
        async for part in stream(self, service, request):
            yield part

    patch.setattr(RequestRunner, "stream", stream_twice)


def lose_a_token(patch):
    """Each answer loses the same token, however its texts were batched."""
    take_texts = AnswerReceiver.take_texts
    taken_counts = weakref.WeakKeyDictionary()

    def take_texts_with_loss(self):
        texts = take_texts(self)
        first_index = taken_counts.get(self, 0)
        taken_counts[self] = first_index + len(texts)
        indexed = enumerate(texts, first_index)
        return [text for index, text in indexed if index != LOST_TOKEN_INDEX]

    patch.setattr(AnswerReceiver, "take_texts", take_texts_with_loss)


CASES = [
    (ignore_claims, CALLERS_DISCONNECT, BreachKind.RAN_TWICE),
    (ignore_resume_position, CALLERS_DISCONNECT, BreachKind.TOKENS_WRONG),
    (disable_cancellation, CALLERS_DISCONNECT, BreachKind.LEFT_RUNNING),
    (report_completed_calls_as_not_run, LINKS_SILENT, BreachKind.RAN_THOUGH_REFUSED),
    (join_two_generations, LINKS_SILENT, BreachKind.TWO_GENERATIONS),
    (lose_a_token, LINKS_SILENT, BreachKind.TOKENS_WRONG),
    (disable_duplicate_detection, LINKS_SILENT, BreachKind.RAN_TWICE),
]


@pytest.mark.parametrize(("disable_safeguard", "seed", "kind"), CASES)
async def test_verdict_reports_a_disabled_safeguard(
    disable_safeguard, seed, kind, monkeypatch
):
    monkeypatch.setattr("boragespring.faults.runner.IDLE_TIMEOUT_S", 3.0)
    found_kinds = set()
    with monkeypatch.context() as patch:
        disable_safeguard(patch)
        # The seed determines the fault, but not which answers are in progress then.
        for _ in range(ATTEMPTS_MAX):
            report = await run_one(seed)
            found_kinds |= {breach.kind for breach in report.breaches}
            if kind in found_kinds:
                return
    pytest.fail(f"{kind} was not reported, only {found_kinds}")


@pytest.mark.parametrize("seed", [*range(9), 30, 61, 88, 132])
async def test_seeds_violate_no_guarantee(seed):
    report = await run_one(seed)
    assert not report.breaches, report.describe()
