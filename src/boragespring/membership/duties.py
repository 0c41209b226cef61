"""Duties, each of which one process at a time holds under a lease of the store.

A holder creates the key ``duties/<name>``, bound to its lease. The creation
revision of the key is the fencing number, which is larger for each later holder.
All duties of a process share one lease and one read of the key prefix, because
the number of store calls is limited.
"""

import asyncio
import time
from collections.abc import Callable
from enum import StrEnum

from absl import logging
from attrs import Factory, define, frozen

from boragespring.store.store import KeyValue

__all__ = ["DUTY_PREFIX", "Duty", "DutySettings", "LeaseState", "lease_clock"]

DUTY_PREFIX = "duties/"


def lease_clock() -> float:
    """Return the time of a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Change(StrEnum):
    """Change of a duty's state, as written to the log."""

    GAINED = "gained"
    LOST = "lost"


@frozen
class DutySettings:
    """Lease and polling times of the duties of one process.

    Parameters
    ----------
    lease_ttl_s : float
        Time to live of the lease in seconds. The duties of a holder that fails
        become free when it has passed.
    safety_margin_s : float
        Number of seconds by which the holder stops acting before the lease can
        expire at the store.
    poll_interval_s : float
        Maximum time in seconds between two reads by a candidate for a duty.
    idle_poll_interval_s : float
        The same for a process that is no candidate for any duty and reads the
        keys for its status page only.
    release_timeout_s : float
        Maximum time in seconds to release the duties on a planned stop.
    """

    lease_ttl_s: float = 6.0
    safety_margin_s: float = 1.0
    poll_interval_s: float = 2.0
    idle_poll_interval_s: float = 20.0
    release_timeout_s: float = 2.0


@define
class LeaseState:
    """Lease of this process.

    Parameters
    ----------
    lease_id : int
        Identifier at the store; 0 without a lease.
    valid_until_s : float
        Time until which the lease is known to be valid. It is always before
        the lease expires at the store.
    renew_at_s : float
        Time of the next renewal.
    """

    lease_id: int = 0
    valid_until_s: float = float("-inf")
    renew_at_s: float = float("-inf")


def _always_candidate() -> bool:
    return True


@define(eq=False)
class Duty:
    """State of one duty in one process.

    Parameters
    ----------
    name : str
        Name of the duty, unique in the deployment.
    is_candidate : callable
        Whether this process is allowed to hold the duty now. A holder that no
        longer is a candidate releases it.

    Attributes
    ----------
    local_fence : int
        Fencing number of the key that this process created; 0 if another process
        or none holds the duty. It is kept after ``valid_until_s`` until the store
        reports that the lease has expired or that the key has changed, or until
        the duty is released.
    holder_name : str
        Holder according to the last read; empty if there is none or if it is
        unknown.
    observed_fence : int
        Fencing number of that holder; 0 if there is none.
    """

    name: str
    is_candidate: Callable[[], bool] = _always_candidate
    holder_name: str = ""
    observed_fence: int = 0
    local_fence: int = 0
    _lease: LeaseState = Factory(LeaseState)
    _clock: Callable[[], float] = lease_clock
    _gained: asyncio.Event = Factory(asyncio.Event)

    def is_held(self) -> bool:
        """Return whether this process is known to hold the duty now.

        Callers check it right before each action. If the process was paused
        until its lease expired, the local clock makes this False before any
        call to the store.
        """
        return self.local_fence != 0 and self._clock() < self._lease.valid_until_s

    @property
    def fence(self) -> int:
        """Fencing number if the duty is held, 0 otherwise."""
        return self.local_fence if self.is_held() else 0

    async def wait_until_held(self) -> int:
        """Wait until the duty is held and return its fencing number."""
        while not self.is_held():
            self._gained.clear()
            await self._gained.wait()
        return self.local_fence

    def apply_key(
        self, item: KeyValue | None, holder_name: str, is_local: bool
    ) -> None:
        """Update the duty from its key in the store.

        Parameters
        ----------
        item : KeyValue or None
            The key; None if it does not exist.
        holder_name : str
            Holder named in its value; empty for none.
        is_local : bool
            Whether this process created the key under its current lease.
        """
        self.holder_name = holder_name
        self.observed_fence = item.create_revision if item is not None else 0
        fence = self.observed_fence if is_local else 0
        if fence != self.local_fence:
            change = _Change.GAINED if fence else _Change.LOST
            logging.info("event=duty_%s duty=%s fence=%d", change, self.name, fence)
        self.local_fence = fence
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wake the tasks in `wait_until_held` if the duty is held."""
        if self.is_held():
            self._gained.set()

    def discard_fence(self) -> None:
        """Stop holding the duty after the lease expired or before a release."""
        if self.local_fence:
            logging.info("event=duty_%s duty=%s", _Change.LOST, self.name)
        self.local_fence = 0
