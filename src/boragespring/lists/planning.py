"""Edits that operators ask for, as changes of named entries."""

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
    """Return the changes that an edited text makes.

    The text tells in a comment which version it was made from; what others
    have changed since is left alone.

    Parameters
    ----------
    state : ListsState
        Present version.
    text : str
        The edited document.
    source_name : str
        Name of the source, for the errors.
    replace : bool
        Compare with the present version, whatever the text was made from.

    Raises
    ------
    BaseVersionUnknownError
        The text names no version, or one that the history no longer holds.
    ListsError
        The text is wrong.
    """
    target = parse_document(text, source_name)
    if replace or state.number == 0:
        return difference(state, target)
    change_id = base_change_id(text)
    if change_id is None:
        raise BaseVersionUnknownError(
            f"{source_name}: names no version it was made from; start from "
            "'lists get', or use --replace to overwrite the present version"
        )
    base = state.state_at(change_id)
    if base is None:
        raise BaseVersionUnknownError(
            f"{source_name}: its version is older than the history; start again "
            "from 'lists get', or use --replace to overwrite the present version"
        )
    return difference(base, target)


def entry_edit(
    state: ListsState, kind: ListKind, name: str, fields: Mapping[str, Any]
) -> tuple[EntryChange, ...]:
    """Return the change that sets some fields of an entry, new or not."""
    before = state.texts.get((kind, name), ABSENT)
    data = (json.loads(before) if before else {}) | dict(fields)
    entry = structure_entry(kind, data, f"{kind}[{name!r}]")
    after = serialize_entry(entry)
    return (EntryChange(kind, name, before, after),) if after != before else ()


def entry_removal(
    state: ListsState, kind: ListKind, name: str
) -> tuple[EntryChange, ...]:
    """Return the change that removes an entry."""
    before = state.texts.get((kind, name), ABSENT)
    if before == ABSENT:
        raise EntryNotFoundError(f"there is no {kind}[{name!r}]")
    return (EntryChange(kind, name, before, ABSENT),)


def rollback_edit(state: ListsState, change: str) -> tuple[EntryChange, ...]:
    """Return the changes that undo one of the history, by number or id."""
    matches = [c for c in state.history if change in (str(c.number), c.change_id)]
    if not matches:
        raise BaseVersionUnknownError(f"the history holds no change {change}")
    return invert_changes(matches[0].entries)
