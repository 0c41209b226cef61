"""Interface of the platform's store of model weights, which limits the load rate."""

from typing import Protocol

from boragespring.errors import BoragespringError

__all__ = ["WeightStore", "WeightStoreBusyError", "WeightStoreError"]


class WeightStoreError(BoragespringError):
    """The call to the weight store failed."""


class WeightStoreBusyError(WeightStoreError):
    """The weight store currently has no capacity for another load.

    Parameters
    ----------
    retry_after_s : float
        Seconds after which the load can be requested again.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"weight store is busy for {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s


class WeightStore(Protocol):
    """Operations that the system uses from the weight store."""

    async def start_load(self, name: str) -> None:
        """Reserve capacity for loading the weights of a model.

        Raises
        ------
        WeightStoreBusyError
            The load rate is exhausted.
        WeightStoreError
            The call failed.
        """
        ...

    async def close(self) -> None:
        """Close the connections to the weight store."""
        ...
