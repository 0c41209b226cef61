"""Errors of sending a request to a backend server."""

from boragespring.errors import BoragespringError

__all__ = [
    "CopyRefusedError",
    "ForwardingError",
    "ReplyBrokenError",
    "ReplyLostError",
    "RunNotFoundError",
    "ServerUnreachableError",
]


class ForwardingError(BoragespringError):
    """Base of the errors of forwarding."""


class ServerUnreachableError(ForwardingError):
    """No connection came about: the request surely was not run."""


class ReplyLostError(ForwardingError):
    """The request was sent and no reply came: it may have run."""


class ReplyBrokenError(ReplyLostError):
    """A reply began and did not end as it must."""


class RunNotFoundError(ForwardingError):
    """The backend server has no such run, or has not started it yet."""


class CopyRefusedError(ForwardingError):
    """A run could not be copied.

    Parameters
    ----------
    message : str
        What the backend server said.
    copy_id : str
        Set where the run has stopped and can go on at its own server.
    """

    def __init__(self, message: str, copy_id: str = "") -> None:
        super().__init__(message)
        self.copy_id = copy_id
