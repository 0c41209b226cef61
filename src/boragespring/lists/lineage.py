"""Compare versions of the lists by their history, and merge diverged versions."""

import itertools
from enum import StrEnum

from attrs import evolve

from boragespring.lists.changes import Change
from boragespring.lists.errors import EditConflictError, ListsInvalidError
from boragespring.lists.state import ListsState

__all__ = ["VersionOrder", "compare_versions", "merge_versions"]


class VersionOrder(StrEnum):
    """Relation of an offered version to the active version."""

    NEWER = "newer"
    SAME = "same"
    STALE = "stale"
    FORK = "fork"


def compare_versions(local: ListsState, offered: ListsState) -> VersionOrder:
    """Return the relation of an offered version to the active one.

    A version descends from another if its history contains the change that
    created the other, or does not reach back that far. Version numbers alone are
    not sufficient: after the store fails over to older data, edits made there
    reuse numbers.

    Parameters
    ----------
    local : ListsState
        Active version of this process.
    offered : ListsState
        Version received from the store or another process.
    """
    if (offered.number, offered.change_id) == (local.number, local.change_id):
        return VersionOrder.SAME
    if offered.number > local.number and _follows(offered, local):
        return VersionOrder.NEWER
    if offered.number < local.number and _follows(local, offered):
        return VersionOrder.STALE
    return VersionOrder.FORK


def merge_versions(local: ListsState, stored: ListsState) -> ListsState:
    """Merge the active version with a stored version that lacks some of its changes.

    The active version is the base, since none of its changes may be undone.
    Changes that only the stored version contains were based on older data; they
    are reapplied on top under new version numbers, unless they are older than all
    of the active version's history. A change that conflicts with the active version
    is recorded in the history without its entries, and its reason says so.

    Parameters
    ----------
    local : ListsState
        Active version of this process.
    stored : ListsState
        Version in the store.

    Returns
    -------
    ListsState
        Version with the changes of both.
    """
    known_ids = {change.change_id for change in local.history}
    oldest_s = min((change.made_at_s for change in local.history), default=0.0)
    missing = [
        change
        for change in stored.history
        if change.change_id not in known_ids and change.made_at_s >= oldest_s
    ]
    state = local
    numbers = itertools.count(max(local.number, stored.number) + 1)
    for change, number in zip(missing, numbers, strict=False):
        state = _reapply(state, evolve(change, number=number))
    return state


def _follows(later: ListsState, earlier: ListsState) -> bool:
    reaches_back = bool(later.history) and later.history[0].number <= earlier.number
    return not reaches_back or later.has_change(earlier.change_id)


def _reapply(state: ListsState, change: Change) -> ListsState:
    try:
        return state.with_change(change).check()
    except (EditConflictError, ListsInvalidError):
        reason = f"{change.reason} (without effect: made on older data)"
        return state.with_change(evolve(change, reason=reason, entries=()))
