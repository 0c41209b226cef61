"""Requests that crash each emulated server that runs them."""

import time
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

__all__ = ["CrashPoint", "CrashingRequests"]


@frozen
class CrashPoint:
    """Point at which a run ends the process of its server.

    Parameters
    ----------
    delay_s : float
        Time in seconds from the begin of the run or from its last event.
    has_head : bool
        Whether the head of the reply is sent before, and a part of the body of a
        reply that is no stream.
    events : int
        Number of events of a stream that are sent before; not used by services.
    is_unframed : bool
        Whether a reply that is no stream has neither a length nor chunks.
    """

    delay_s: float = 0.1
    has_head: bool = False
    events: int = 0
    is_unframed: bool = False


@define(eq=False)
class CrashingRequests:
    """Requests that crash their servers, and what became of these.

    Parameters
    ----------
    points : dict of bytes to CrashPoint
        Where the requests with a body crash their server.
    line_points : dict of str to CrashPoint
        Where the requests with a method and a target crash their server, such as
        ``GET /look/stop?id=13``.
    arrivals_s : list of tuple of (float, str)
        Monotonic times in seconds at which such requests reached servers, and their
        identifiers.
    crash_times_s : list of float
        Monotonic times in seconds at which such requests crashed servers.
    on_crash : callable
        Called with a plain server that such a request has crashed.
    """

    on_crash: Callable[[Any], None]
    points: dict[bytes, CrashPoint] = field(factory=dict)
    line_points: dict[str, CrashPoint] = field(factory=dict)
    arrivals_s: list[tuple[float, str]] = field(factory=list)
    crash_times_s: list[float] = field(factory=list)

    def receive(self, line: str, body: bytes, request_id: str) -> CrashPoint | None:
        """Record a request; return where it crashes its server, None if nowhere."""
        point = self.points.get(body) or self.line_points.get(line)
        if point is not None:
            self.arrivals_s.append((time.monotonic(), request_id))
        return point
