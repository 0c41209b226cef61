"""Record of what an emulated server did with each request that it received."""

import time

from attrs import define, field

__all__ = ["ServerWork", "end_by_crash"]


@define(eq=False)
class ServerWork:
    """What one server did with one request.

    Parameters
    ----------
    request_id : str
        Request that was received.
    server_id : str
        Identity of the server.
    received_at_s : float
        Monotonic time in seconds at which it arrived.
    was_rejected : bool
        Whether the server stated that it did not run the request.
    has_broken_off : bool
        Whether the server itself ended its reply before it was complete.
    ended_at_s : float or None
        Monotonic time in seconds at which the server had done with the request; None
        if it has not yet.
    busy_spans_s : list of tuple of float
        Monotonic times in seconds between which the server worked on the request. It
        does not while the request waits, is preempted or has moved elsewhere.
    """

    request_id: str
    server_id: str
    received_at_s: float = field(factory=time.monotonic)
    was_rejected: bool = False
    has_broken_off: bool = False
    ended_at_s: float | None = None
    busy_spans_s: list[tuple[float, float]] = field(factory=list)
    _busy_since_s: float | None = None

    def resume(self) -> None:
        """Begin to work on the request, or go on."""
        if self._busy_since_s is None:
            self._busy_since_s = time.monotonic()

    def pause(self) -> None:
        """Stop working on the request for now."""
        if self._busy_since_s is not None:
            self.busy_spans_s.append((self._busy_since_s, time.monotonic()))
            self._busy_since_s = None

    def reject(self) -> None:
        """Have done with the request without having run it."""
        self.was_rejected = True
        self.end()

    def break_off(self) -> None:
        """End the reply early, as the caller of the server did not ask."""
        if self.ended_at_s is None:
            self.has_broken_off = True
            self.end()

    def end(self) -> None:
        """Have done with the request."""
        self.pause()
        if self.ended_at_s is None:
            self.ended_at_s = time.monotonic()

    def was_busy(self, from_s: float, to_s: float) -> bool:
        """Return whether the server worked on the request at any time in a period."""
        since_s = self._busy_since_s
        current = [] if since_s is None else [(since_s, float("inf"))]
        return any(
            begin_s <= to_s and from_s <= end_s
            for begin_s, end_s in (*self.busy_spans_s, *current)
        )


def end_by_crash(works: list[ServerWork]) -> None:
    """Break off all replies that are not complete."""
    for work in works:
        work.break_off()
