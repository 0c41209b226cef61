"""Memory budget for all answers that an agent buffers."""

from collections.abc import Callable

__all__ = ["TOKEN_OVERHEAD_BYTES", "MemoryBudget"]

#: Memory of one buffered token in addition to its characters: the header of the
#: string object and its slot in the list.
TOKEN_OVERHEAD_BYTES = 57


class MemoryBudget:
    """Track used memory against a limit.

    Parameters
    ----------
    max_bytes : int
        Memory in bytes at which production is paused.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._callbacks: list[Callable[[], None]] = []
        self.used_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached."""
        return self.used_bytes >= self._max_bytes

    def adjust(self, used_bytes: int) -> None:
        """Add to the used memory; a negative number releases memory."""
        self.used_bytes += used_bytes
        if used_bytes < 0 and not self.is_full:
            callbacks, self._callbacks = self._callbacks, []
            for callback in callbacks:
                callback()

    def call_when_available(self, callback: Callable[[], None]) -> None:
        """Register a one-time callback for when memory is available again."""
        self._callbacks.append(callback)
