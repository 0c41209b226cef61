"""Exceptions raised by admission control."""

from enum import StrEnum

from boragespring.errors import BoragespringError

__all__ = ["AdmissionError", "AdmissionRefusedError", "RefusalCode"]


class AdmissionError(BoragespringError):
    """Base class of the admission exceptions."""


class RefusalCode(StrEnum):
    """Reason for which a request was not admitted."""

    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    EXCEEDS_MEMORY = "exceeds_memory"
    HANDED_BACK = "handed_back"


class AdmissionRefusedError(AdmissionError):
    """The request was not admitted and is known not to have run.

    Parameters
    ----------
    code : RefusalCode
        Reason for the refusal.
    retry_after_s : float
        Time in seconds after which a retry may be admitted.
    """

    def __init__(self, code: RefusalCode, retry_after_s: float) -> None:
        super().__init__(f"{code.value}, retry after {retry_after_s:.3f} s")
        self.code = code
        self.retry_after_s = retry_after_s
