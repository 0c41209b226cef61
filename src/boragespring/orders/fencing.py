"""Fencing numbers at an agent."""

from boragespring.membership.duties import DUTY_PREFIX
from boragespring.orders.errors import OrderNotTakenError, RefusalCode
from boragespring.store.store import KeyValueStore, StoreError

__all__ = ["FenceGuard", "orders_duty_name"]


def orders_duty_name(region: str, service: str) -> str:
    """Return the name of the duty to give orders to a service in a region."""
    return f"orders/{region}/{service}"


class FenceGuard:
    """Let only the orders of the duty's present holder pass.

    Each order costs one read of the duty's key, so that an order of a holder
    that was paused past its lease has no effect even where no newer one has
    come here yet. While the store cannot be read, a backend server that checks
    fencing numbers itself may take an order whose number was confirmed since
    the agent's start; one that ignores them takes none.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    duty_name : str
        Name of the duty.
    server_checks : bool
        Whether the backend server refuses old numbers itself.
    """

    def __init__(
        self, store: KeyValueStore, duty_name: str, server_checks: bool
    ) -> None:
        self._store = store
        self._key = DUTY_PREFIX + duty_name
        self._server_checks = server_checks
        self._was_read = False
        self.highest = 0

    async def check(self, fence: int) -> None:
        """Return if an order may take effect; raise `OrderNotTakenError` if not."""
        self._refuse_older(fence)
        try:
            found = await self._store.get(self._key)
        except StoreError as error:
            self._pass_unread(fence, error)
            return
        self._was_read = True
        # Without a holder, only one that takes the duty after this read counts.
        current = (
            found.item.create_revision if found.item is not None else found.revision + 1
        )
        self.highest = max(self.highest, current)
        self._refuse_older(fence)
        self.highest = fence

    def _pass_unread(self, fence: int, error: StoreError) -> None:
        if self._server_checks and self._was_read and fence == self.highest:
            return
        raise OrderNotTakenError(
            RefusalCode.FENCE_UNKNOWN, f"cannot read {self._key}: {error}"
        ) from error

    def _refuse_older(self, fence: int) -> None:
        if fence < self.highest:
            raise OrderNotTakenError(
                RefusalCode.OLD_FENCE, f"number {fence} is below {self.highest}"
            )
