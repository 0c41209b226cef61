"""An agent's memory of what it ran and of what it promised never to run."""

import time
from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from attrs import frozen

__all__ = ["RunOnceMemory", "SpentReason"]


class SpentReason(StrEnum):
    """Why an answer id may not run again."""

    RAN = "ran"
    BARRED = "barred"


@frozen
class _Entry:
    why: SpentReason
    expires_s: float


class RunOnceMemory:
    """Answer ids that are spent, each for a bounded time.

    A full memory takes no new id, so that none is forgotten early.

    Parameters
    ----------
    retention_s : float
        Time for which an id is remembered. No submit may arrive that much
        later than a question about it.
    ids_max : int
        Most ids.
    clock : callable, default=time.monotonic
        Source of time in seconds.
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
        """Whether no further id can be taken."""
        self._expire()
        return len(self._entries) >= self._ids_max

    def get_spent_reason(self, answer_id: bytes) -> SpentReason | None:
        """Return why an id may not run, or None."""
        self._expire()
        entry = self._entries.get(answer_id)
        return entry.why if entry is not None else None

    def record(self, answer_id: bytes, why: SpentReason) -> None:
        """Remember an id from now on."""
        self._entries.pop(answer_id, None)
        self._entries[answer_id] = _Entry(why, self._clock() + self._retention_s)

    def _expire(self) -> None:
        now_s = self._clock()
        while self._entries:
            oldest = next(iter(self._entries))
            if self._entries[oldest].expires_s > now_s:
                return
            del self._entries[oldest]
