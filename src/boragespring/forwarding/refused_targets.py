"""Servers that take no copies of runs for the moment."""

import time
from collections.abc import Callable

from attrs import define, field, frozen

__all__ = ["RefusedTargets"]


@frozen
class _Refusal:
    memory_tokens: int
    until_s: float
    consecutive: int


@define(eq=False)
class RefusedTargets:
    """Refusals of copies, remembered over all runs of this gateway.

    A server that has no room for a run has none for a larger one either; a run
    that asks it again and again keeps its turn on the link and saves nothing.

    Parameters
    ----------
    ttl_s : float
        Time for which a first refusal counts; twice as long for each further
        one, as the server may not be reached at all.
    ttl_max_s : float
        Longest such time.
    clock : callable
        Source of time in seconds.
    """

    ttl_s: float
    ttl_max_s: float
    clock: Callable[[], float] = time.monotonic
    _refusals: dict[str, _Refusal] = field(factory=dict)

    def record(self, server_id: str, memory_tokens: int) -> None:
        """Record that a server did not take a run of a size."""
        known = self._refusals.get(server_id)
        consecutive = known.consecutive + 1 if known is not None else 0
        if known is not None and known.until_s > self.clock():
            memory_tokens = min(memory_tokens, known.memory_tokens)
        ttl_s = min(self.ttl_s * 2**consecutive, self.ttl_max_s)
        until_s = self.clock() + ttl_s
        self._refusals[server_id] = _Refusal(memory_tokens, until_s, consecutive)

    def discard(self, server_id: str) -> None:
        """Record that a server took a run."""
        self._refusals.pop(server_id, None)

    def has_refused(self, server_id: str, memory_tokens: int) -> bool:
        """Return whether a server is not worth asking for a run of a size."""
        known = self._refusals.get(server_id)
        if known is None or known.until_s <= self.clock():
            return False
        return memory_tokens >= known.memory_tokens
