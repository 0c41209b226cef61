"""Memory of all answers that an agent keeps."""

from collections.abc import Callable

__all__ = ["TOKEN_OVERHEAD_BYTES", "MemoryBudget"]

#: Memory of one kept token beside its characters: a text object and its place.
TOKEN_OVERHEAD_BYTES = 57


class MemoryBudget:
    """Count of used memory against a bound.

    Parameters
    ----------
    max_bytes : int
        Memory beyond which production is held back.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._callbacks: list[Callable[[], None]] = []
        self.used_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether the bound is reached."""
        return self.used_bytes >= self._max_bytes

    def adjust(self, used_bytes: int) -> None:
        """Count memory; a negative number gives some back."""
        self.used_bytes += used_bytes
        if used_bytes < 0 and not self.is_full:
            callbacks, self._callbacks = self._callbacks, []
            for callback in callbacks:
                callback()

    def call_when_available(self, callback: Callable[[], None]) -> None:
        """Call back once there is memory again."""
        self._callbacks.append(callback)
