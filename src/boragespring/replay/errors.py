"""Errors of traces and replays."""

from boragespring.errors import BoragespringError

__all__ = ["ReplayError", "TraceError"]


class ReplayError(BoragespringError):
    """Base class of the errors of replays."""


class TraceError(ReplayError):
    """A line of a trace is not a valid request."""
