"""Deliver each answer from one generation, with every token once and in order."""

from boragespring.answers.client import AnswerClient, AnswerClientSettings
from boragespring.answers.errors import (
    AnswerError,
    AnswerLostError,
    AnswerUnavailableError,
    DeadlineExceededError,
    NotRunError,
    OutcomeUnknownError,
)
from boragespring.answers.idempotency_cache import (
    IdempotencyCache,
    IdempotencyCacheSettings,
    RequestMismatchError,
)
from boragespring.answers.identity import AnswerHandle, new_answer_id
from boragespring.answers.receiver import AnswerReceiver, AnswerTable
from boragespring.answers.registry import AnswerRegistry, BufferedAnswer
from boragespring.answers.requests import AnswerPart, RequestRunner
from boragespring.answers.retries import RetryBudget, RetrySettings

__all__ = [
    "AnswerClient",
    "AnswerClientSettings",
    "AnswerError",
    "AnswerHandle",
    "AnswerLostError",
    "AnswerPart",
    "AnswerReceiver",
    "AnswerRegistry",
    "AnswerTable",
    "AnswerUnavailableError",
    "BufferedAnswer",
    "DeadlineExceededError",
    "IdempotencyCache",
    "IdempotencyCacheSettings",
    "NotRunError",
    "OutcomeUnknownError",
    "RequestMismatchError",
    "RequestRunner",
    "RetryBudget",
    "RetrySettings",
    "new_answer_id",
]
