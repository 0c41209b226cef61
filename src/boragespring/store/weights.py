"""Interface of the platform's rate-limited weight store."""

from typing import Protocol

from boragespring.errors import BoragespringError

__all__ = ["WeightStore", "WeightStoreBusyError", "WeightStoreError"]


class WeightStoreError(BoragespringError):
    """The weight store could not be asked."""


class WeightStoreBusyError(WeightStoreError):
    """The weight store's rate is used up.

    Parameters
    ----------
    retry_after_s : float
        Time after which the next load may start.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"weight store is busy for {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s


class WeightStore(Protocol):
    """Calls that the product needs of the weight store."""

    async def start_load(self, name: str) -> None:
        """Take one load of the store's rate; raise when there is none."""
        ...

    async def close(self) -> None:
        """Close the connections to the weight store."""
        ...
