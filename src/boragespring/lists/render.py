"""Render the lists and their changes as text and JSON for operators."""

import json
import re
import time
from collections.abc import Iterable, Iterator
from typing import Any

from boragespring.lists.changes import ABSENT, Change, EntryChange
from boragespring.lists.state import ListsState, document_to_json

__all__ = [
    "base_change_id",
    "change_to_json",
    "describe_change",
    "describe_entries",
    "document_text",
    "entry_change_to_json",
]

#: Comment that states the version on which an edited text is based.
_BASE_VERSION_COMMENT = re.compile(
    r"//\s*boragespring lists version (\d+) change ([0-9a-f]+)"
)


def document_text(state: ListsState) -> str:
    """Return the document as text, headed by a comment that states its version."""
    body = json.dumps(document_to_json(state.texts), indent=2, ensure_ascii=False)
    comment = f"// boragespring lists version {state.number} change {state.change_id}"
    return f"{comment}\n{body}\n"


def base_change_id(text: str) -> str | None:
    """Return the ID of the change that created a text's base version, if stated."""
    match = _BASE_VERSION_COMMENT.search(text)
    return match.group(2) if match is not None else None


def describe_entries(entries: Iterable[EntryChange]) -> Iterator[str]:
    """Yield one line for each changed field and each added or removed entry."""
    for entry in entries:
        name = f"{entry.kind}[{entry.name!r}]"
        if entry.before == ABSENT:
            yield f"+ {name} {entry.after}"
        elif entry.after == ABSENT:
            yield f"- {name} {entry.before}"
        else:
            yield from _describe_fields(name, entry)


def describe_change(change: Change) -> str:
    """Return a one-line description of a change in the history."""
    made_at = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(change.made_at_s))
    names = ", ".join(f"{e.kind}[{e.name!r}]" for e in change.entries) or "nothing"
    return (
        f"{change.number} {made_at} {change.author}: {change.reason} "
        f"({names}) {change.change_id}"
    )


def entry_change_to_json(entry: EntryChange) -> dict[str, Any]:
    """Return the change of an entry as JSON-compatible data."""
    return {
        "kind": entry.kind.value,
        "name": entry.name,
        "before": _parse_entry(entry.before),
        "after": _parse_entry(entry.after),
    }


def change_to_json(change: Change) -> dict[str, Any]:
    """Return a change in the history as JSON-compatible data."""
    return {
        "number": change.number,
        "change_id": change.change_id,
        "author": change.author,
        "reason": change.reason,
        "made_at_s": change.made_at_s,
        "entries": [entry_change_to_json(entry) for entry in change.entries],
    }


def _describe_fields(name: str, entry: EntryChange) -> Iterator[str]:
    before, after = json.loads(entry.before), json.loads(entry.after)
    for field in sorted(before.keys() | after.keys()):
        old, new = before.get(field), after.get(field)
        if old != new:
            yield f"~ {name}.{field}: {json.dumps(old)} -> {json.dumps(new)}"


def _parse_entry(text: str) -> Any:
    return None if text == ABSENT else json.loads(text)
