"""Answer ids that an agent has run or has committed never to run."""

import time
from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from attrs import frozen

__all__ = ["RunOnceMemory", "SpentReason"]


class SpentReason(StrEnum):
    """Reason why a request with an answer id must not be run.

    Attributes
    ----------
    RAN : str
        The request has already been run.
    BARRED : str
        The agent refused the request, or committed never to run it when an
        entry queried it.
    """

    RAN = "ran"
    BARRED = "barred"


@frozen
class _Entry:
    """Reason why an answer id is spent, and the time at which it expires."""

    reason: SpentReason
    expires_s: float


class RunOnceMemory:
    """Remember spent answer ids for a fixed time.

    Callers check `is_full` before they accept a new id, so that no id has to be
    evicted before its time.

    Parameters
    ----------
    retention_s : float
        Time in seconds for which an id is remembered. It must exceed the
        longest delay between a query about an id and the arrival of its submit.
    ids_max : int
        Largest number of ids for which new requests are accepted.
    clock : callable, default=time.monotonic
        Returns the time in seconds.
    """

    def __init__(
        self,
        retention_s: float,
        ids_max: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._retention_s = retention_s
        self._ids_max = ids_max
        self._clock = clock
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def is_full(self) -> bool:
        """Whether the limit on the number of ids is reached."""
        self._expire()
        return len(self._entries) >= self._ids_max

    def get_spent_reason(self, answer_id: bytes) -> SpentReason | None:
        """Return why an id must not be run, or None if it is allowed to run."""
        self._expire()
        entry = self._entries.get(answer_id)
        return entry.reason if entry is not None else None

    def record(self, answer_id: bytes, reason: SpentReason) -> None:
        """Remember an id, restarting its retention if it is already known."""
        self._entries.pop(answer_id, None)
        self._entries[answer_id] = _Entry(reason, self._clock() + self._retention_s)

    def _expire(self) -> None:
        now_s = self._clock()
        while self._entries:
            oldest = next(iter(self._entries))
            if self._entries[oldest].expires_s > now_s:
                return
            del self._entries[oldest]
