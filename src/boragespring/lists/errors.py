"""Exceptions raised by the lists package."""

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
    """Base class of all errors of the lists."""


class ListsSyntaxError(ListsError):
    """The text is not valid JSON with comments."""


class ListsInvalidError(ExceptionGroup[FieldError], ListsError):
    """All field errors of an invalid document."""

    def derive(  # type: ignore[override]
        self, excs: Sequence[FieldError]
    ) -> "ListsInvalidError":
        """Return a group of the same type that holds a subset of the errors."""
        return ListsInvalidError(self.message, excs)


class ListsTooLargeError(ListsError):
    """The document does not fit into a single value of the store."""


class ListsUnavailableError(ListsError):
    """The store cannot be reached; the change is known not to have been accepted."""


class ChangeOutcomeUnknownError(ListsError):
    """The store became unreachable during the write; the change may be in effect.

    Parameters
    ----------
    change_id : str
        ID of the change; the history contains it if it was accepted.
    """

    def __init__(self, change_id: str) -> None:
        super().__init__(
            f"the outcome of change {change_id} is unknown; look for it in the history"
        )
        self.change_id = change_id


class ListsCorruptError(ListsError):
    """Serialized lists from the store or a link cannot be decoded or applied."""


class EditConflictError(ListsError):
    """Another author changed an entry that the edit modifies.

    Parameters
    ----------
    entries : list of EntryChange
        Changes of the edit that no longer apply.
    other_changes : list of Change
        Latest changes of the same entries that the history still holds.
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
    """The version or change that an edit refers to is not in the history."""


class EntryNotFoundError(ListsError):
    """The edit refers to an entry that does not exist."""
