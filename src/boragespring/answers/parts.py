"""Parts of an answer as it is received, and the errors that end it."""

import contextlib
from collections.abc import AsyncGenerator

from attrs import frozen

from boragespring.answers.errors import (
    AnswerError,
    AnswerLostError,
    AnswerUnavailableError,
    AttemptLostError,
    DeadlineExceededError,
)
from boragespring.answers.identity import AnswerHandle
from boragespring.answers.messages import (
    AnswerFailed,
    AnswerFinished,
    AnswerRefused,
)
from boragespring.answers.receiver import AnswerReceiver

__all__ = ["AnswerPart", "RefusedError", "failure_reason", "iter_parts"]

UNAVAILABLE_CODES = frozenset(
    ("unknown_answer", "answer_trimmed", "answer_gone", "resumed_elsewhere")
)


@frozen
class AnswerPart:
    """Tokens that arrived together, or the end of the answer.

    Parameters
    ----------
    handle : AnswerHandle
        Position in the answer before these tokens.
    texts : list of str
        Text of each token, in order.
    finished : AnswerFinished or None
        Set on the last part of a complete answer.
    """

    handle: AnswerHandle
    texts: list[str]
    finished: AnswerFinished | None = None


class RefusedError(AnswerError):
    """The agent refused the request without running it.

    Parameters
    ----------
    refused : AnswerRefused
        The refusal that the agent sent.
    """

    def __init__(self, refused: AnswerRefused) -> None:
        self.refused = refused
        super().__init__(refused.reason)


async def iter_parts(
    receivers: AsyncGenerator[AnswerReceiver, None], agent_name: str
) -> AsyncGenerator[AnswerPart, None]:
    """Yield the parts of one answer until it is complete.

    Parameters
    ----------
    receivers : async generator of AnswerReceiver
        Yields the receiver of the answer each time it changes.
    agent_name : str
        Name of the agent that runs the request.

    Raises
    ------
    AnswerError
        If the answer ends before it is complete.
    """
    async with contextlib.aclosing(receivers):
        async for receiver in receivers:
            handle = AnswerHandle(receiver.answer_id, agent_name, receiver.delivered)
            texts = receiver.take_texts()
            if texts:
                yield AnswerPart(handle, texts)
                receiver.acknowledge()
                continue
            outcome = receiver.outcome
            if isinstance(outcome, AnswerFinished):
                _check_complete(receiver, outcome)
                yield AnswerPart(handle, [], outcome)
                receiver.is_consumed = True
                return
            if outcome is not None:
                receiver.is_consumed = True
                raise _to_error(outcome)


def _check_complete(receiver: AnswerReceiver, outcome: AnswerFinished) -> None:
    if receiver.delivered != outcome.total_tokens:
        receiver.is_consumed = True
        missing = outcome.total_tokens - receiver.delivered
        raise AnswerLostError(f"{missing} tokens of the answer are missing")


def _to_error(outcome: object) -> AnswerError:
    if isinstance(outcome, AnswerRefused):
        return RefusedError(outcome)
    if not isinstance(outcome, AnswerFailed):
        return AnswerLostError("the agent sent an unexpected kind of outcome")
    if outcome.code == "deadline_exceeded":
        return DeadlineExceededError(outcome.reason)
    if outcome.code in UNAVAILABLE_CODES:
        return AnswerUnavailableError(outcome.code, outcome.reason)
    if outcome.code in ("generation_failed", "moved"):
        return AttemptLostError(outcome.reason)
    return AnswerLostError(outcome.reason)


def failure_reason(outcome: object) -> str:
    """Return the reason for which an answer failed."""
    return outcome.reason if isinstance(outcome, AnswerFailed) else str(outcome)
