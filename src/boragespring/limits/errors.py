"""Exceptions raised while enforcing plan limits."""

from enum import StrEnum

from boragespring.errors import BoragespringError

__all__ = ["LimitExceededError", "LimitKind", "RequestNotSentError"]


class LimitKind(StrEnum):
    """Limit of a plan that rejected a request."""

    CONCURRENCY = "concurrency_limit"
    REQUEST_RATE = "request_rate_limit"
    TOKEN_RATE = "token_rate_limit"


class LimitExceededError(BoragespringError):
    """The request exceeds a limit of its workspace's plan and was not run.

    Parameters
    ----------
    kind : LimitKind
        Limit that was reached.
    retry_after_s : float
        Time in seconds after which the limit is expected to admit a request.
    """

    def __init__(self, kind: LimitKind, retry_after_s: float) -> None:
        super().__init__(f"{kind}: retry after {retry_after_s:.2f} s")
        self.kind = kind
        self.retry_after_s = retry_after_s


class RequestNotSentError(BoragespringError):
    """The request for shares is known not to have reached the holder."""
