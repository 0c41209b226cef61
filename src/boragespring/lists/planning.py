"""Turn the edits that operators request into changes of named entries."""

import json
from collections.abc import Mapping
from typing import Any

from boragespring.lists.changes import (
    ABSENT,
    EntryChange,
    invert_changes,
    serialize_entry,
)
from boragespring.lists.document import parse_document, structure_entry
from boragespring.lists.errors import BaseVersionUnknownError, EntryNotFoundError
from boragespring.lists.model import ListKind
from boragespring.lists.render import base_change_id
from boragespring.lists.state import ListsState, difference

__all__ = ["entry_edit", "entry_removal", "rollback_edit", "text_edit"]


def text_edit(
    state: ListsState, text: str, source_name: str, replace: bool = False
) -> tuple[EntryChange, ...]:
    """Return the changes between an edited text and its base version.

    A comment in the text states the base version. Changes that others have made
    since then are preserved.

    Parameters
    ----------
    state : ListsState
        Current version.
    text : str
        The edited document.
    source_name : str
        Name of the source, used in error messages.
    replace : bool
        Compare with the current version instead of the base version.

    Raises
    ------
    BaseVersionUnknownError
        The text states no base version, or one that is no longer in the history.
    ListsError
        The text cannot be parsed, or the document is invalid.
    """
    target = parse_document(text, source_name)
    if replace or state.number == 0:
        return difference(state, target)
    change_id = base_change_id(text)
    if change_id is None:
        raise BaseVersionUnknownError(
            f"{source_name}: does not state its base version; start from the output "
            "of 'lists get', or use --replace to overwrite the current version"
        )
    base = state.state_at(change_id)
    if base is None:
        raise BaseVersionUnknownError(
            f"{source_name}: its base version is no longer in the history; start again "
            "from 'lists get', or use --replace to overwrite the current version"
        )
    return difference(base, target)


def entry_edit(
    state: ListsState, kind: ListKind, name: str, fields: Mapping[str, Any]
) -> tuple[EntryChange, ...]:
    """Return the change that sets fields of an entry, creating it if necessary."""
    before = state.texts.get((kind, name), ABSENT)
    data = (json.loads(before) if before else {}) | dict(fields)
    entry = structure_entry(kind, data, f"{kind}[{name!r}]")
    after = serialize_entry(entry)
    return (EntryChange(kind, name, before, after),) if after != before else ()


def entry_removal(
    state: ListsState, kind: ListKind, name: str
) -> tuple[EntryChange, ...]:
    """Return the change that removes an entry.

    Raises
    ------
    EntryNotFoundError
        The entry does not exist.
    """
    before = state.texts.get((kind, name), ABSENT)
    if before == ABSENT:
        raise EntryNotFoundError(f"{kind}[{name!r}] does not exist")
    return (EntryChange(kind, name, before, ABSENT),)


def rollback_edit(state: ListsState, change: str) -> tuple[EntryChange, ...]:
    """Return the entry changes that undo a change in the history.

    Parameters
    ----------
    state : ListsState
        Current version.
    change : str
        Version number or ID of the change.

    Raises
    ------
    BaseVersionUnknownError
        The history does not contain the change.
    """
    matches = [c for c in state.history if change in (str(c.number), c.change_id)]
    if not matches:
        raise BaseVersionUnknownError(f"the history does not contain change {change}")
    return invert_changes(matches[0].entries)
