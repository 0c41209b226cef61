"""Exceptions raised for orders."""

from enum import StrEnum

from boragespring.errors import BoragespringError

__all__ = ["OrderError", "OrderRejectedError", "RefusalCode"]


class RefusalCode(StrEnum):
    """Reason why an agent rejects an order.

    Attributes
    ----------
    OLD_FENCE : str
        The fencing number is lower than one that the agent has seen.
    FENCE_UNKNOWN : str
        The fencing number could not be verified.
    OLD_LISTS : str
        The order is based on older lists than a previous order.
    BUSY : str
        The server is still carrying out another order.
    MALFORMED : str
        The kind of the order is unknown.
    """

    OLD_FENCE = "old_fence"
    FENCE_UNKNOWN = "fence_unknown"
    OLD_LISTS = "old_lists"
    BUSY = "busy"
    MALFORMED = "malformed"


class OrderError(BoragespringError):
    """Base class of the exceptions raised for orders."""


class OrderRejectedError(OrderError):
    """The agent rejects an order, which has no effect.

    Parameters
    ----------
    code : RefusalCode
        Reason for the rejection.
    message : str
        Details for operators.
    """

    def __init__(self, code: RefusalCode, message: str) -> None:
        super().__init__(message)
        self.code = code
