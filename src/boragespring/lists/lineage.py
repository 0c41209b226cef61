"""Order of versions: which one follows, and how two branches are joined."""

import itertools
from enum import StrEnum

from attrs import evolve

from boragespring.lists.changes import Change
from boragespring.lists.errors import EditConflictError, ListsInvalidError
from boragespring.lists.state import ListsState

__all__ = ["VersionOrder", "compare_versions", "merge_versions"]


class VersionOrder(StrEnum):
    """Place of an offered version against the version in force."""

    NEWER = "newer"
    SAME = "same"
    STALE = "stale"
    FORK = "fork"


def compare_versions(local: ListsState, offered: ListsState) -> VersionOrder:
    """Tell how an offered version stands to the one in force.

    A version follows another when its history holds the other's change, or
    does not reach back so far. A number alone does not tell: after a failover
    of the store to older data, edits made there reuse numbers.
    """
    if (offered.number, offered.change_id) == (local.number, local.change_id):
        return VersionOrder.SAME
    if offered.number > local.number and _follows(offered, local):
        return VersionOrder.NEWER
    if offered.number < local.number and _follows(local, offered):
        return VersionOrder.STALE
    return VersionOrder.FORK


def merge_versions(local: ListsState, stored: ListsState) -> ListsState:
    """Return the version that holds the changes of both.

    The version in force stays as it is, since none of its changes may be
    undone. Changes that only the stored version has were made on older data;
    they follow under new numbers. One whose entries differ by now is kept in
    the history without effect, and says so.

    Parameters
    ----------
    mine : ListsState
        Version in force.
    stored : ListsState
        Version in the store, which lacks some of its changes.
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
