"""Errors raised by the router."""

from enum import StrEnum

from boragespring.errors import BoragespringError

__all__ = ["RouteRefusedCode", "RouteRefusedError", "RoutingError"]


class RoutingError(BoragespringError):
    """Base class of routing errors."""


class RouteRefusedCode(StrEnum):
    """Reason why no agent was chosen."""

    NO_AGENT = "no_agent"
    OVERLOADED = "overloaded"


class RouteRefusedError(RoutingError):
    """Raised when no agent was chosen; the request is known not to have run.

    Parameters
    ----------
    code : RouteRefusedCode
        Reason for the refusal.
    retry_after_s : float
        Delay in seconds after which a retry is likely to succeed.
    """

    def __init__(self, code: RouteRefusedCode, retry_after_s: float) -> None:
        super().__init__(f"{code.value}, retry after {retry_after_s:.3f} s")
        self.code = code
        self.retry_after_s = retry_after_s
