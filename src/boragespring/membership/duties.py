"""Duties that one process holds at a time, under a lease of the store.

A duty is a key ``duties/<name>`` that its holder created bound to its lease.
The key's creation revision is the fencing number: a later holder has a larger
one. All duties of a process share one lease and one read of the prefix, as the
store counts each call.
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
    """Return seconds of a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Change(StrEnum):
    """Change of a duty's state, as the log names it."""

    GAINED = "gained"
    LOST = "lost"


@frozen
class DutySettings:
    """Times of the duties of one process.

    Parameters
    ----------
    lease_ttl_s : float
        Time to live of the lease; a dead holder's duties are free after it.
    safety_margin_s : float
        The holder stops so long before its lease can end at the store.
    poll_interval_s : float
        Longest time between two reads by a process that may hold a duty.
    idle_poll_interval_s : float
        The same for a process that may hold none; it reads for status alone.
    release_timeout_s : float
        Longest time to give the duties back on a planned stop.
    """

    lease_ttl_s: float = 6.0
    safety_margin_s: float = 1.0
    poll_interval_s: float = 2.0
    idle_poll_interval_s: float = 20.0
    release_timeout_s: float = 2.0


@define
class LeaseState:
    """The process's lease as it knows it; ``valid_until_s`` is never too late."""

    lease_id: int = 0
    valid_until_s: float = float("-inf")
    renew_at_s: float = float("-inf")


def _always() -> bool:
    return True


@define(eq=False)
class Duty:
    """One duty, as one process sees it.

    Parameters
    ----------
    name : str
        Name of the duty, unique in the deployment.
    is_candidate : callable
        Whether this process may hold the duty now; a holder that no longer
        may gives it back.

    Attributes
    ----------
    local_fence : int
        Fencing number of the key as this process last had it, whether or not
        its lease still lasts; 0 if another has it or nobody.
    holder_name : str
        Holder last seen in the store; empty for none or unknown.
    observed_fence : int
        Fencing number of that holder.
    """

    name: str
    is_candidate: Callable[[], bool] = _always
    holder_name: str = ""
    observed_fence: int = 0
    local_fence: int = 0
    _lease: LeaseState = Factory(LeaseState)
    _clock: Callable[[], float] = lease_clock
    _gained: asyncio.Event = Factory(asyncio.Event)

    def is_held(self) -> bool:
        """Return whether this process surely holds the duty now.

        It is asked right before each act: a process that was paused past its
        lease gets False from its own clock, before it has asked the store.
        """
        return self.local_fence != 0 and self._clock() < self._lease.valid_until_s

    @property
    def fence(self) -> int:
        """Fencing number while the duty is held, else 0."""
        return self.local_fence if self.is_held() else 0

    async def wait_until_held(self) -> int:
        """Wait until the duty is held; return its fencing number."""
        while not self.is_held():
            self._gained.clear()
            await self._gained.wait()
        return self.local_fence

    def apply_key(
        self, item: KeyValue | None, holder_name: str, is_local: bool
    ) -> None:
        """Take in the key as the store has it."""
        self.holder_name = holder_name
        self.observed_fence = item.create_revision if item is not None else 0
        fence = self.observed_fence if is_local else 0
        if fence != self.local_fence:
            change = _Change.GAINED if fence else _Change.LOST
            logging.info("event=duty_%s duty=%s fence=%d", change, self.name, fence)
        self.local_fence = fence
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wake those who wait for the duty, if it is held."""
        if self.is_held():
            self._gained.set()

    def discard_fence(self) -> None:
        """Take in that the lease is gone, or that the key is given back."""
        if self.local_fence:
            logging.info("event=duty_%s duty=%s", _Change.LOST, self.name)
        self.local_fence = 0
