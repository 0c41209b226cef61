"""Verify fencing numbers (fencing tokens) of orders at an agent."""

from boragespring.membership.duties import DUTY_PREFIX
from boragespring.orders.errors import OrderRejectedError, RefusalCode
from boragespring.store.store import KeyValueStore, StoreError

__all__ = ["FenceGuard", "orders_duty_name"]


def orders_duty_name(region: str, service: str) -> str:
    """Return the name of the duty of sending orders to a service in a region."""
    return f"orders/{region}/{service}"


class FenceGuard:
    """Accept orders only from the current holder of a duty.

    The duty's key is read from the store for each order. This rejects an order
    of a holder that was paused past its lease even if no order of a newer holder
    has reached this agent yet. While the store cannot be read, orders are
    accepted only if the backend server checks fencing numbers itself and the
    number was confirmed by the store since the agent started.

    Parameters
    ----------
    store : KeyValueStore
        Store that holds the duty's key.
    duty_name : str
        Name of the duty.
    server_checks_fencing : bool
        Whether the backend server itself refuses orders with old numbers.

    Attributes
    ----------
    highest_fence : int
        Highest fencing number seen since the agent started; 0 for none.
    """

    def __init__(
        self, store: KeyValueStore, duty_name: str, server_checks_fencing: bool
    ) -> None:
        self._store = store
        self._key = DUTY_PREFIX + duty_name
        self._server_checks_fencing = server_checks_fencing
        self._has_read_fence = False
        self.highest_fence = 0

    async def check(self, fence: int) -> None:
        """Raise `OrderRejectedError` unless an order is allowed to take effect."""
        self._reject_older(fence)
        try:
            found = await self._store.get(self._key)
        except StoreError as error:
            self._check_without_store(fence, error)
            return
        self._has_read_fence = True
        # If nobody holds the duty, only a holder that acquires it after this read
        # is valid, and its number will be higher than the revision of the read.
        current = (
            found.item.create_revision if found.item is not None else found.revision + 1
        )
        self.highest_fence = max(self.highest_fence, current)
        self._reject_older(fence)
        self.highest_fence = fence

    def _check_without_store(self, fence: int, error: StoreError) -> None:
        if (
            self._server_checks_fencing
            and self._has_read_fence
            and fence == self.highest_fence
        ):
            return
        raise OrderRejectedError(
            RefusalCode.FENCE_UNKNOWN, f"cannot read {self._key}: {error}"
        ) from error

    def _reject_older(self, fence: int) -> None:
        if fence < self.highest_fence:
            raise OrderRejectedError(
                RefusalCode.OLD_FENCE,
                f"fencing number {fence} is below {self.highest_fence}",
            )
