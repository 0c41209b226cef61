"""Track servers that recently refused copies of runs."""

import time
from collections.abc import Callable

from attrs import define, field, frozen

__all__ = ["RefusedTargets"]


@frozen
class _Refusal:
    """Latest refusal of one server; smaller runs are not affected by it."""

    memory_tokens: int
    until_s: float
    consecutive: int


@define(eq=False)
class RefusedTargets:
    """Recent refusals of copies, shared by all runs of this gateway.

    A server without enough memory for a run cannot accept a larger one either.
    Copying to it repeatedly would occupy the link of the leaving server without
    moving a run.

    Parameters
    ----------
    ttl_s : float
        Time in seconds for which the first refusal is remembered. It doubles with
        each consecutive refusal, because the server may be unreachable.
    ttl_max_s : float
        Maximum of that time in seconds.
    clock : callable, default=time.monotonic
        Source of monotonic time in seconds.
    """

    ttl_s: float
    ttl_max_s: float
    clock: Callable[[], float] = time.monotonic
    _refusals: dict[str, _Refusal] = field(factory=dict)

    def record(self, server_id: str, memory_tokens: int) -> None:
        """Record that a server refused a run that occupies this many tokens."""
        known = self._refusals.get(server_id)
        consecutive = known.consecutive + 1 if known is not None else 0
        if known is not None and known.until_s > self.clock():
            memory_tokens = min(memory_tokens, known.memory_tokens)
        ttl_s = min(self.ttl_s * 2**consecutive, self.ttl_max_s)
        until_s = self.clock() + ttl_s
        self._refusals[server_id] = _Refusal(memory_tokens, until_s, consecutive)

    def discard(self, server_id: str) -> None:
        """Discard the refusals of a server that has accepted a run."""
        self._refusals.pop(server_id, None)

    def has_refused(self, server_id: str, memory_tokens: int) -> bool:
        """Return whether a server recently refused a run of this size or smaller."""
        known = self._refusals.get(server_id)
        if known is None or known.until_s <= self.clock():
            return False
        return memory_tokens >= known.memory_tokens
