"""Orders to a backend server to load a model, adapter or version or change its role."""

from enum import StrEnum

from attrs import frozen

from boragespring.engines.client import EngineError

__all__ = ["EngineOrder", "OrderKind", "OrderRefusedError"]


class OrderRefusedError(EngineError):
    """The backend server refused an order and did not change its state."""


class OrderKind(StrEnum):
    """What an order changes."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    SET_ROLE = "set_role"


@frozen
class EngineOrder:
    """One idempotent order to a backend server.

    Parameters
    ----------
    kind : OrderKind
        Kind of change.
    name : str
        Name of the model, adapter or role.
    version : str
        Version to load; empty for roles.
    fencing_number : int
        Fencing number of the sender's lease; engines that check it refuse orders
        with a lower number than the highest seen so far.
    """

    kind: OrderKind
    name: str
    version: str
    fencing_number: int
