"""Text forms of the lists for operators."""

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

#: Comment by which a text tells the version that it was made from.
_BASE_VERSION_COMMENT = re.compile(
    r"//\s*boragespring lists version (\d+) change ([0-9a-f]+)"
)


def document_text(state: ListsState) -> str:
    """Return the document with a comment that names its version."""
    body = json.dumps(document_to_json(state.texts), indent=2, ensure_ascii=False)
    comment = f"// boragespring lists version {state.number} change {state.change_id}"
    return f"{comment}\n{body}\n"


def base_change_id(text: str) -> str | None:
    """Return the change that made the version a text was made from."""
    match = _BASE_VERSION_COMMENT.search(text)
    return match.group(2) if match is not None else None


def describe_entries(entries: Iterable[EntryChange]) -> Iterator[str]:
    """Yield one line for each changed field, and for added and removed entries."""
    for entry in entries:
        name = f"{entry.kind}[{entry.name!r}]"
        if entry.before == ABSENT:
            yield f"+ {name} {entry.after}"
        elif entry.after == ABSENT:
            yield f"- {name} {entry.before}"
        else:
            yield from _describe_fields(name, entry)


def describe_change(change: Change) -> str:
    """Return one line about a change of the history."""
    made_at = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(change.made_at_s))
    names = ", ".join(f"{e.kind}[{e.name!r}]" for e in change.entries) or "nothing"
    return (
        f"{change.number} {made_at} {change.author}: {change.reason} "
        f"({names}) {change.change_id}"
    )


def entry_change_to_json(entry: EntryChange) -> dict[str, Any]:
    """Return plain data of the change of an entry."""
    return {
        "kind": entry.kind.value,
        "name": entry.name,
        "before": _parse_entry(entry.before),
        "after": _parse_entry(entry.after),
    }


def change_to_json(change: Change) -> dict[str, Any]:
    """Return plain data of a change of the history."""
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
