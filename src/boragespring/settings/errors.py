"""Errors in settings files and in the operators' lists."""

from collections.abc import Sequence

from boragespring.errors import BoragespringError

__all__ = ["FieldError", "FieldErrorGroup", "SettingsError", "SettingsFileError"]


#: Number of errors of one document that are shown in one line.
SHOWN_ERRORS_MAX = 3


class SettingsError(BoragespringError):
    """Base class of the errors in settings."""


class SettingsFileError(SettingsError):
    """The file cannot be read or is not valid JSON with comments."""


class FieldError(SettingsError):
    """One field is missing, unknown or holds a value that is not allowed.

    Parameters
    ----------
    source : str
        File or other source of the document.
    path : str
        Path of the field, such as ``links.heartbeat_interval_s``.
    found : str
        Description of the value that was found.
    allowed : str
        Description of the allowed values.
    """

    def __init__(self, source: str, path: str, found: str, allowed: str) -> None:
        self.source = source
        self.path = path
        self.found = found
        self.allowed = allowed
        super().__init__(f"{source}: {path}: found {found}; allowed: {allowed}")


class FieldErrorGroup(ExceptionGroup[FieldError], SettingsError):
    """All the field errors of one document."""

    def summary(self) -> str:
        """Return the first errors in one line."""
        shown = "; ".join(map(str, self.exceptions[:SHOWN_ERRORS_MAX]))
        rest = len(self.exceptions) - SHOWN_ERRORS_MAX
        return f"{shown}; {rest} more" if rest > 0 else shown

    def derive(self, excs: Sequence[FieldError]) -> "FieldErrorGroup":  # type: ignore[override]
        """Return a group of the same class that holds the given errors."""
        return FieldErrorGroup(self.message, excs)
