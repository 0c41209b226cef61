"""Parse and validate the document of both lists, reporting all errors at once."""

import re
from collections.abc import Iterator, Mapping
from typing import Any

import pyjson5

from boragespring.lists.checks import check_document
from boragespring.lists.errors import ListsInvalidError, ListsSyntaxError
from boragespring.lists.model import (
    FORMAT,
    Allowance,
    ListKind,
    ListsDocument,
    ServiceEntry,
    WorkspaceEntry,
)
from boragespring.settings import FieldError, FieldErrorGroup, structure

__all__ = ["entries_of_kind", "parse_document", "structure_document", "structure_entry"]

JsonObject = dict[str, Any]

OLDEST_FORMAT = 1

_CLASS_BY_KIND: dict[ListKind, type[WorkspaceEntry | Allowance | ServiceEntry]] = {
    ListKind.WORKSPACE: WorkspaceEntry,
    ListKind.PLAN: Allowance,
    ListKind.SERVICE: ServiceEntry,
}

#: Path of an entry in the document, at the start of a field error's path.
_ENTRY_PATH = re.compile(r"^(\w+)\.(\w+)\['([^']+)'\]")


def parse_document(text: str, source_name: str) -> ListsDocument:
    """Parse the document from JSON with comments.

    Parameters
    ----------
    text : str
        The document, in the current or an older format.
    source_name : str
        Name of the file or key, used in error messages.

    Returns
    -------
    ListsDocument
        The validated document.

    Raises
    ------
    ListsSyntaxError
        The text is not valid JSON with comments.
    ListsInvalidError
        Some fields are invalid; the group holds one error for each.
    """
    try:
        data = pyjson5.decode(text)
    except (pyjson5.Json5Exception, RecursionError, ValueError) as error:
        raise ListsSyntaxError(
            f"{source_name}: not valid JSON with comments: {error}"
        ) from error
    return structure_document(data, source_name)


def structure_document(data: Any, source_name: str) -> ListsDocument:
    """Build and validate the document from decoded JSON; see `parse_document`."""
    current = _upgrade(data, source_name)
    errors: list[FieldError] = []
    try:
        document = structure(current, ListsDocument, source_name)
    except FieldErrorGroup as group:
        errors += [e for e in group.exceptions if isinstance(e, FieldError)]
        document = _structure_valid_entries(current, errors, source_name)
    names = {kind: set(entries_of_kind(current, kind)) for kind in ListKind}
    errors += check_document(document, names, source_name)
    if errors:
        raise ListsInvalidError(f"{source_name}: {len(errors)} errors", errors)
    return document


def structure_entry(
    kind: ListKind, data: Any, source_name: str
) -> WorkspaceEntry | Allowance | ServiceEntry:
    """Build one entry from decoded JSON; see `parse_document`."""
    try:
        return structure(data, _CLASS_BY_KIND[kind], source_name)
    except FieldErrorGroup as group:
        errors = [e for e in group.exceptions if isinstance(e, FieldError)]
        raise ListsInvalidError(group.message, errors) from None


def entries_of_kind(data: Any, kind: ListKind) -> Mapping[str, Any]:
    """Return the entries of one kind in decoded JSON; empty if malformed."""
    for section in kind.value.split("."):
        data = data.get(section, {}) if isinstance(data, Mapping) else {}
    return data if isinstance(data, Mapping) else {}


def _upgrade(data: Any, source_name: str) -> Any:
    """Convert decoded JSON to the current format."""
    if not isinstance(data, Mapping):
        return data
    found_format = data.get("format", None)
    if found_format == OLDEST_FORMAT:
        return _upgrade_first_format(data)
    if found_format == FORMAT:
        return data
    error = FieldError(
        source_name, "format", repr(found_format), f"{OLDEST_FORMAT} to {FORMAT}"
    )
    raise ListsInvalidError(f"{source_name}: unsupported format", [error])


def _upgrade_first_format(data: Mapping[str, Any]) -> JsonObject:
    """Convert format 1, which held all sections at the top level."""
    known = {"format", "workspaces", "plans", "services"}
    upgraded: JsonObject = {name: data[name] for name in data if name not in known}
    upgraded["format"] = FORMAT
    upgraded["plan_list"] = {"workspaces": data.get("workspaces", {})}
    upgraded["allowance_list"] = {
        "plans": data.get("plans", {}),
        "services": data.get("services", {}),
    }
    return upgraded


def _structure_valid_entries(
    data: Any, errors: list[FieldError], source_name: str
) -> ListsDocument:
    """Build a document of the valid entries, so that they can be checked too."""
    invalid = set(_invalid_entries(errors))
    valid: JsonObject = {"format": FORMAT}
    for kind in ListKind:
        list_name, section = kind.value.split(".")
        valid.setdefault(list_name, {})[section] = {
            name: entry
            for name, entry in entries_of_kind(data, kind).items()
            if (kind, name) not in invalid
        }
    try:
        return structure(valid, ListsDocument, source_name)
    except FieldErrorGroup:
        return ListsDocument()


def _invalid_entries(errors: list[FieldError]) -> Iterator[tuple[ListKind, str]]:
    kinds = {kind.value: kind for kind in ListKind}
    for error in errors:
        match = _ENTRY_PATH.match(error.path)
        if match and f"{match[1]}.{match[2]}" in kinds:
            yield kinds[f"{match[1]}.{match[2]}"], match[3]
