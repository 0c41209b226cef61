"""Errors raised by calls to backend servers."""

from boragespring.errors import BoragespringError

__all__ = [
    "CopyRefusedError",
    "ForwardingError",
    "RateLimitedError",
    "ReplyBrokenError",
    "ReplyLostError",
    "RunNotFoundError",
    "ServerUnreachableError",
]


class ForwardingError(BoragespringError):
    """Base class of the errors of this package."""


class ServerUnreachableError(ForwardingError):
    """No connection was established, so the request is known not to have run."""


class RateLimitedError(ServerUnreachableError):
    """The call was not made, as the server takes no more requests at present."""


class ReplyLostError(ForwardingError):
    """The request was sent without a valid reply, so it may have run."""


class ReplyBrokenError(ReplyLostError):
    """A reply started but was truncated or invalid."""


class RunNotFoundError(ForwardingError):
    """The backend server does not know the run or has not started it yet."""


class CopyRefusedError(ForwardingError):
    """A run could not be copied.

    Parameters
    ----------
    message : str
        Error message of the backend server.
    copy_id : str
        Copy from which the run, which has already been stopped, can continue on
        its own server; empty if the run was not stopped.
    """

    def __init__(self, message: str, copy_id: str = "") -> None:
        super().__init__(message)
        self.copy_id = copy_id
