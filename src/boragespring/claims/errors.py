"""Exceptions raised for claims."""

from boragespring.errors import BoragespringError

__all__ = ["ClaimError", "ClaimRecordError", "ClaimStoreError", "KeyReusedError"]


class ClaimError(BoragespringError):
    """Base class of the exceptions raised for claims."""


class ClaimRecordError(ClaimError):
    """A claim record or a packed write does not have the expected format."""


class ClaimStoreError(ClaimError):
    """A claim could not be read or written in time; nothing was dispatched."""


class KeyReusedError(ClaimError):
    """The idempotency key was already used for a different request."""
