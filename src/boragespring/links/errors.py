"""Errors of links."""

from boragespring.errors import BoragespringError

__all__ = ["CallFailedError", "LinkClosedError", "LinkError", "LinkProtocolError"]


class LinkError(BoragespringError):
    """Base class for errors of links."""


class LinkClosedError(LinkError):
    """The link is closed, or was closed before the reply arrived."""


class LinkProtocolError(LinkError):
    """The peer sent data that violates the protocol."""


class CallFailedError(LinkError):
    """The peer refused a call, sent a wrong reply, or did not reply in time."""
