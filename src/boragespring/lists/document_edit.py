"""Apply entry changes to a document without rebuilding its other entries."""

import json
from collections.abc import Iterable

from boragespring.lists.changes import (
    ABSENT,
    Entry,
    EntryChange,
    EntryKey,
    entries_by_key,
)
from boragespring.lists.checks import check_document
from boragespring.lists.document import structure_entry
from boragespring.lists.errors import ListsInvalidError
from boragespring.lists.model import (
    Allowance,
    AllowanceList,
    ListKind,
    ListsDocument,
    PlanList,
    ServiceEntry,
    WorkspaceEntry,
)

__all__ = ["apply_entry_changes"]


def apply_entry_changes(
    document: ListsDocument, changes: Iterable[EntryChange], source_name: str
) -> ListsDocument:
    """Return a validated document with some entries changed.

    Parameters
    ----------
    document : ListsDocument
        Document to start from; it is not modified.
    changes : iterable of EntryChange
        Changes to apply.
    source_name : str
        Name of the source, used in error messages.

    Raises
    ------
    ListsInvalidError
        Entries are invalid, or refer to entries that do not exist.
    """
    entries = entries_by_key(document)
    for change in changes:
        if change.after == ABSENT:
            entries.pop(change.key, None)
        else:
            data = json.loads(change.after)
            entries[change.key] = structure_entry(change.kind, data, source_name)
    edited = _build_document(entries)
    names = {kind: {n for k, n in entries if k is kind} for kind in ListKind}
    errors = list(check_document(edited, names, source_name))
    if errors:
        raise ListsInvalidError(f"{source_name}: {len(errors)} errors", errors)
    return edited


def _build_document(entries: dict[EntryKey, Entry]) -> ListsDocument:
    return ListsDocument(
        plan_list=PlanList(
            {n: e for (_, n), e in entries.items() if isinstance(e, WorkspaceEntry)}
        ),
        allowance_list=AllowanceList(
            {n: e for (_, n), e in entries.items() if isinstance(e, Allowance)},
            {n: e for (_, n), e in entries.items() if isinstance(e, ServiceEntry)},
        ),
    )
