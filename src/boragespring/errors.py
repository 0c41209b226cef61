"""Base class of all errors that the package raises."""

__all__ = ["BoragespringError"]


class BoragespringError(Exception):
    """Base class from which each subpackage derives its own errors."""
