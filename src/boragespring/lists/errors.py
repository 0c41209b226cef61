"""Errors of the lists."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from boragespring.errors import BoragespringError
from boragespring.settings import FieldError

if TYPE_CHECKING:
    from boragespring.lists.changes import Change, EntryChange

__all__ = [
    "BaseVersionUnknownError",
    "EntryNotFoundError",
    "ChangeOutcomeUnknownError",
    "EditConflictError",
    "ListsCorruptError",
    "ListsError",
    "ListsInvalidError",
    "ListsNotReadyError",
    "ListsSyntaxError",
    "ListsTooLargeError",
    "ListsUnavailableError",
]


class ListsError(BoragespringError):
    """Base of the errors of the lists."""


class ListsSyntaxError(ListsError):
    """The text is no JSON with comments."""


class ListsInvalidError(ExceptionGroup[FieldError], ListsError):
    """All errors of one document at once."""

    def derive(  # type: ignore[override]
        self, excs: Sequence[FieldError]
    ) -> "ListsInvalidError":
        """Build a group of the same kind for a part of the errors."""
        return ListsInvalidError(self.message, excs)


class ListsTooLargeError(ListsError):
    """The document does not fit into one value of the store."""


class ListsUnavailableError(ListsError):
    """The store cannot be reached; the change surely was not accepted."""


class ChangeOutcomeUnknownError(ListsError):
    """The store was lost in the middle; the change may be in force.

    Parameters
    ----------
    change_id : str
        Id by which the history shows the change, if it was accepted.
    """

    def __init__(self, change_id: str) -> None:
        super().__init__(
            f"outcome of change {change_id} is unknown; look for it in the history"
        )
        self.change_id = change_id


class ListsCorruptError(ListsError):
    """A stored or received copy cannot be read."""


class EditConflictError(ListsError):
    """Someone else changed an entry that the edit touches.

    Parameters
    ----------
    entries : list of EntryChange
        The edit's changes that no longer fit.
    other_changes : list of Change
        Last changes of the same entries, as far as the history keeps them.
    """

    def __init__(
        self, entries: "Sequence[EntryChange]", other_changes: "Sequence[Change]"
    ) -> None:
        names = ", ".join(f"{entry.kind}[{entry.name!r}]" for entry in entries)
        authors = "; ".join(
            f"{other.author}: {other.reason} (version {other.number})"
            for other in other_changes
        )
        super().__init__(f"changed by someone else: {names} ({authors or 'unknown'})")
        self.entries = tuple(entries)
        self.other_changes = tuple(other_changes)


class ListsNotReadyError(ListsError):
    """No version of the lists has reached this process yet."""


class BaseVersionUnknownError(ListsError):
    """The version that an edit builds on is not known any more."""


class EntryNotFoundError(ListsError):
    """An edit names an entry that does not exist."""
