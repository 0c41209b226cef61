"""Compare two versions of a catalog, and say what changes for callers."""

from collections.abc import Iterable, Iterator, Mapping
from typing import TypeVar

import attrs
from attrs import frozen

from boragespring.catalog.model import Catalog, Route, Service, Workspace

__all__ = ["Change", "compare_catalogs"]

E = TypeVar("E", Route, Service, Workspace)


@frozen
class Change:
    """One difference between two versions of a catalog.

    Parameters
    ----------
    entry : str
        Entry of the catalog, such as ``route r-1``.
    what : str
        What differs.
    effect : str
        What that means for callers; empty if they notice nothing.
    """

    entry: str
    what: str
    effect: str = ""


#: What changes of the fields of a route mean for callers.
_EFFECTS = {
    "host": "callers of the old host get 404",
    "path_prefix": "callers of the old path get 404 or reach another route",
    "kind": "requests are repeated, or not, by another rule",
    "shares": "requests go to other services from now on",
    "timeout_s": "requests end at another time",
    "is_public": "whether a key is needed",
    "priority": "which requests go first when there is too little room",
}


def compare_catalogs(before: Catalog, after: Catalog) -> list[Change]:
    """Return what differs from the version in force.

    Parameters
    ----------
    before : Catalog
        Version in force.
    after : Catalog
        Version that is to be sent.
    """
    return [
        *_compare_versions(before, after),
        *_compare_entries(
            "route",
            {route.name: route for route in before.routes},
            {route.name: route for route in after.routes},
            ("its requests are served from now on", "its requests get 404"),
        ),
        *_compare_entries(
            "service",
            before.services,
            after.services,
            ("", "requests of routes that name it get 503"),
        ),
        *_compare_workspaces(before.workspaces or (), after.workspaces or ()),
        *_compare_limits(before, after),
    ]


def _compare_versions(before: Catalog, after: Catalog) -> Iterator[Change]:
    if after.version <= before.version:
        yield Change(
            "version",
            f"{after.version} is not over {before.version}, the version in force",
            "it is ignored",
        )


def _compare_entries(
    sort: str,
    before: Mapping[str, E],
    after: Mapping[str, E],
    effects: tuple[str, str],
) -> Iterator[Change]:
    """Compare entries by name; the effects are those of new and of removed ones."""
    for name in sorted(after.keys() - before.keys()):
        yield Change(f"{sort} {name}", "is new", effects[0])
    for name in sorted(before.keys() - after.keys()):
        yield Change(f"{sort} {name}", "is removed", effects[1])
    for name in sorted(before.keys() & after.keys()):
        yield from _compare_fields(f"{sort} {name}", before[name], after[name])


def _compare_fields(entry: str, before: E, after: E) -> Iterator[Change]:
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            effect = _EFFECTS.get(field.name, "")
            yield Change(entry, f"{field.name}: {_show(old)} to {_show(new)}", effect)


def _compare_workspaces(
    before: Iterable[Workspace], after: Iterable[Workspace]
) -> Iterator[Change]:
    """Compare workspaces without naming their keys."""
    old = {workspace.name: workspace for workspace in before}
    new = {workspace.name: workspace for workspace in after}
    for name in sorted(old.keys() | new.keys()):
        entry = f"workspace {name}"
        old_keys = set(old[name].keys) if name in old else set()
        new_keys = set(new[name].keys) if name in new else set()
        if removed := old_keys - new_keys:
            yield Change(
                entry, f"keys removed: {len(removed)}", "their callers get 401"
            )
        if added := new_keys - old_keys:
            yield Change(entry, f"keys added: {len(added)}")
        if name in old and name in new and old[name].priority != new[name].priority:
            yield Change(entry, "has another priority", _EFFECTS["priority"])


def _compare_limits(before: Catalog, after: Catalog) -> Iterator[Change]:
    for field in attrs.fields(type(before.limits)):
        old = getattr(before.limits, field.name)
        new = getattr(after.limits, field.name)
        if old != new:
            effect = "callers beyond it are refused" if new < old else ""
            yield Change(f"limit {field.name}", f"{old:g} to {new:g}", effect)


def _show(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(f"{each.service} {each.weight:g}" for each in value) or "none"
    return str(value)
