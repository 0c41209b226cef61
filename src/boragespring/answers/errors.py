"""Errors that an entry raises while it runs requests and relays answers."""

from boragespring.errors import BoragespringError

__all__ = [
    "AnswerError",
    "AnswerLostError",
    "AnswerUnavailableError",
    "AttemptLostError",
    "DeadlineExceededError",
    "NotRunError",
    "OutcomeUnknownError",
]


class AnswerError(BoragespringError):
    """Base class of answer errors; ``code`` identifies the error to callers."""

    code = "answer_failed"


class NotRunError(AnswerError):
    """The request is known not to have run.

    Parameters
    ----------
    code : str
        Code of the refusal, such as ``queue_full``.
    message : str
        Error message for the caller.
    retry_after_s : float
        Time in seconds after which the caller should try again.
    """

    def __init__(self, code: str, message: str, retry_after_s: float) -> None:
        self.code = code
        self.retry_after_s = retry_after_s
        super().__init__(message)


class AnswerLostError(AnswerError):
    """The backend server or its agent was lost before the answer was complete."""

    code = "answer_lost"


class AttemptLostError(AnswerLostError):
    """The backend server of one attempt was lost; another attempt may follow."""


class AnswerUnavailableError(AnswerError):
    """The answer that a caller wants to resume is not available.

    Parameters
    ----------
    code : str
        ``unknown_answer``, ``answer_gone``, ``answer_trimmed`` or
        ``resumed_elsewhere``.
    message : str
        Error message for the caller.
    """

    def __init__(self, code: str, message: str) -> None:
        self.code = code
        super().__init__(message)


class OutcomeUnknownError(AnswerError):
    """The request was dispatched, but it is unknown whether it ran."""

    code = "outcome_unknown"


class DeadlineExceededError(AnswerError):
    """The answer was not complete at its deadline and was cancelled."""

    code = "deadline_exceeded"
