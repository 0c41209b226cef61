"""Versions of the lists with their history, and the changes between them."""

import json
from collections.abc import Iterable, Mapping
from functools import cached_property
from typing import Any

import xxhash
from attrs import define, evolve, field

from boragespring.lists.changes import (
    ABSENT,
    Change,
    EntryChange,
    EntryKey,
    entries_by_key,
    serialize_entry,
)
from boragespring.lists.document import structure_document
from boragespring.lists.document_edit import apply_entry_changes
from boragespring.lists.errors import EditConflictError
from boragespring.lists.model import FORMAT, ListKind, ListsDocument
from boragespring.lists.view import ListsView

__all__ = ["EMPTY_STATE", "ListsState", "difference"]

#: Maximum number of changes in the history.
HISTORY_MAX_CHANGES = 64


@define(frozen=True, slots=False, eq=False)
class ListsState:
    """Immutable version of the lists.

    Parameters
    ----------
    number : int
        Number of the version; 0 before the first change.
    change_id : str
        ID of the change that created the version.
    texts : mapping
        Canonical text of each entry by kind and name.
    history : tuple of Change
        Latest changes, oldest first; the last one created this version.
    digest : int
        XOR of the digests of all entries.
    """

    number: int
    change_id: str
    texts: Mapping[EntryKey, str]
    history: tuple[Change, ...]
    digest: int = field()

    @digest.default
    def _digest_of_texts(self) -> int:
        return _xor_digests(
            _entry_digest(key, text) for key, text in self.texts.items()
        )

    @cached_property
    def document(self) -> ListsDocument:
        """Validated document.

        Raises
        ------
        ListsInvalidError
            The document is invalid.
        """
        # Only the changed entries are rebuilt, which saves most of the work.
        predecessor = self.__dict__.pop("_predecessor", None)
        if predecessor is not None:
            before, entries = predecessor
            return apply_entry_changes(before, entries, f"version {self.number}")
        return structure_document(
            document_to_json(self.texts), f"version {self.number}"
        )

    @cached_property
    def view(self) -> ListsView:
        """Read-only view of the document, with lookups."""
        return ListsView(self.document, self.number)

    def check(self) -> "ListsState":
        """Validate the document and return the version itself.

        Raises
        ------
        ListsInvalidError
            The document is invalid.
        """
        _ = self.document
        return self

    def has_change(self, change_id: str) -> bool:
        """Return whether the history contains a change."""
        return any(change.change_id == change_id for change in self.history)

    def has_history_since(self, number: int) -> bool:
        """Return whether the history contains all changes since a version number."""
        return not self.history or self.history[0].number <= number + 1

    def changes_since(self, change_id: str) -> tuple[Change, ...] | None:
        """Return the changes after a given one; None if not in the history."""
        ids = [change.change_id for change in self.history]
        if change_id not in ids:
            return None
        return self.history[ids.index(change_id) + 1 :]

    def conflicts(self, entries: Iterable[EntryChange]) -> list[EntryChange]:
        """Return the changes whose ``before`` text differs from the current entry."""
        return [e for e in entries if self.texts.get(e.key, ABSENT) != e.before]

    def with_change(self, change: Change) -> "ListsState":
        """Return the version that results from a change.

        Parameters
        ----------
        change : Change
            Change to apply; its ``before`` texts must match the current entries.

        Raises
        ------
        EditConflictError
            An entry was changed by another author.
        """
        conflicts = self.conflicts(change.entries)
        if conflicts:
            raise EditConflictError(conflicts, self._latest_changes_of(conflicts))
        texts = dict(self.texts)
        for entry in change.entries:
            if entry.after == ABSENT:
                texts.pop(entry.key, None)
            else:
                texts[entry.key] = entry.after
        next_state = ListsState(
            number=change.number,
            change_id=change.change_id,
            texts=texts,
            history=(*self.history, change)[-HISTORY_MAX_CHANGES:],
            digest=self.digest ^ _xor_digests(map(_change_digest, change.entries)),
        )
        if "document" in self.__dict__:
            next_state.__dict__["_predecessor"] = (self.document, change.entries)
        elif "_predecessor" in self.__dict__:
            before, entries = self.__dict__["_predecessor"]
            next_state.__dict__["_predecessor"] = (before, entries + change.entries)
        return next_state

    def with_truncated_history(self, changes_max: int) -> "ListsState":
        """Return the same version with only the latest changes in its history."""
        return evolve(self, history=self.history[-changes_max:])

    def state_at(self, change_id: str) -> "ListsState | None":
        """Return the version that a change created; None if not in the history."""
        later_changes = self.changes_since(change_id)
        if later_changes is None:
            return None
        texts = dict(self.texts)
        for change in reversed(later_changes):
            for entry in change.entries:
                texts[entry.key] = entry.before
        kept_history = self.history[: len(self.history) - len(later_changes)]
        existing = {key: text for key, text in texts.items() if text != ABSENT}
        return ListsState(kept_history[-1].number, change_id, existing, kept_history)

    def _latest_changes_of(self, conflicts: Iterable[EntryChange]) -> list[Change]:
        keys = {entry.key for entry in conflicts}
        return [
            change
            for change in self.history
            if keys & {entry.key for entry in change.entries}
        ][-len(keys) :]


def document_to_json(texts: Mapping[EntryKey, str]) -> dict[str, Any]:
    """Return the document in the current format as JSON-compatible data."""
    data: dict[str, Any] = {"format": FORMAT}
    for kind in ListKind:
        list_name, section = kind.value.split(".")
        data.setdefault(list_name, {})[section] = {
            name: json.loads(text)
            for (entry_kind, name), text in texts.items()
            if entry_kind is kind
        }
    return data


def difference(state: ListsState, target: ListsDocument) -> tuple[EntryChange, ...]:
    """Return the entry changes that turn a version into the target document."""
    current, desired = entries_by_key(state.document), entries_by_key(target)
    keys = sorted(current.keys() | desired.keys())
    return tuple(
        EntryChange(
            kind=kind,
            name=name,
            before=state.texts.get((kind, name), ABSENT),
            after=serialize_entry(desired[kind, name])
            if (kind, name) in desired
            else ABSENT,
        )
        for kind, name in keys
        if current.get((kind, name)) != desired.get((kind, name))
    )


def _xor_digests(digests: Iterable[int]) -> int:
    total = 0
    for digest in digests:
        total ^= digest
    return total


def _entry_digest(key: EntryKey, text: str) -> int:
    if text == ABSENT:
        return 0
    kind, name = key
    digest: int = xxhash.xxh3_64_intdigest(f"{kind}\0{name}\0{text}".encode())
    return digest


def _change_digest(entry: EntryChange) -> int:
    before = _entry_digest(entry.key, entry.before)
    return before ^ _entry_digest(entry.key, entry.after)


#: Empty version before the first change.
EMPTY_STATE = ListsState(number=0, change_id="", texts={}, history=())
