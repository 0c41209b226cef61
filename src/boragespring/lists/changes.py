"""Changes of the lists as operations on named entries."""

import json
import uuid
from collections.abc import Mapping
from functools import singledispatch
from typing import Any

import attrs
from attrs import frozen

from boragespring.lists.model import (
    Allowance,
    ListKind,
    ListsDocument,
    ServiceEntry,
    WorkspaceEntry,
)

__all__ = [
    "ABSENT",
    "Change",
    "Entry",
    "EntryChange",
    "EntryKey",
    "entries_by_key",
    "serialize_entry",
    "invert_changes",
    "kind_of",
    "new_change_id",
]

#: Text that represents an entry that does not exist.
ABSENT = ""

Entry = WorkspaceEntry | Allowance | ServiceEntry
EntryKey = tuple[ListKind, str]


@frozen
class EntryChange:
    """Change of one named entry.

    Parameters
    ----------
    kind : ListKind
        Kind of the entry.
    name : str
        Name of the entry.
    before, after : str
        Canonical text of the entry before and after the change; ``ABSENT`` if it
        does not exist.
    """

    kind: ListKind
    name: str
    before: str
    after: str

    @property
    def key(self) -> EntryKey:
        """Kind and name of the entry."""
        return self.kind, self.name


@frozen
class Change:
    """Accepted change in the history of the lists.

    Parameters
    ----------
    number : int
        Number of the version that the change created.
    change_id : str
        Unique ID of the change.
    author : str
        Author of the change.
    reason : str
        Reason for the change.
    made_at_s : float
        Unix time of the change, in seconds.
    entries : tuple of EntryChange
        Changes of the entries; each entry occurs at most once.
    """

    number: int
    change_id: str
    author: str
    reason: str
    made_at_s: float
    entries: tuple[EntryChange, ...]


def new_change_id() -> str:
    """Generate a unique change ID."""
    return uuid.uuid4().hex


def serialize_entry(entry: Entry) -> str:
    """Serialize an entry to canonical JSON, so that equal entries have equal texts."""
    return json.dumps(
        attrs.asdict(entry), sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )


@singledispatch
def kind_of(entry: object) -> ListKind:
    """Return the kind of an entry."""
    raise TypeError(f"{type(entry).__name__} is not an entry of the lists")


@kind_of.register
def _(entry: WorkspaceEntry) -> ListKind:
    return ListKind.WORKSPACE


@kind_of.register
def _(entry: Allowance) -> ListKind:
    return ListKind.PLAN


@kind_of.register
def _(entry: ServiceEntry) -> ListKind:
    return ListKind.SERVICE


def entries_by_key(document: ListsDocument) -> dict[EntryKey, Entry]:
    """Return all entries of a document by kind and name."""
    sections: Mapping[ListKind, Mapping[str, Any]] = {
        ListKind.WORKSPACE: document.plan_list.workspaces,
        ListKind.PLAN: document.allowance_list.plans,
        ListKind.SERVICE: document.allowance_list.services,
    }
    return {
        (kind, name): entry
        for kind, entries in sections.items()
        for name, entry in entries.items()
    }


def invert_changes(entries: tuple[EntryChange, ...]) -> tuple[EntryChange, ...]:
    """Return the entry changes that undo the given ones."""
    return tuple(
        EntryChange(entry.kind, entry.name, before=entry.after, after=entry.before)
        for entry in entries
    )
