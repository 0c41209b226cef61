"""Signals that gateways of a soak run were sent."""

import signal

from attrs import frozen

__all__ = ["SentSignal"]


@frozen
class SentSignal:
    """Signal that a process was sent.

    Parameters
    ----------
    gateway : str
        Name of the gateway.
    start_count : int
        Number of its starts; identifies the process.
    number : signal.Signals
        Signal.
    at_s : float
        Monotonic time in seconds.
    """

    gateway: str
    start_count: int
    number: signal.Signals
    at_s: float
