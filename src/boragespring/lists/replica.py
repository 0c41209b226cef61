"""Active version of the lists in one process."""

import asyncio
from collections.abc import Callable

from absl import logging
from attrs import define

from boragespring.lists.changes import Change
from boragespring.lists.errors import (
    EditConflictError,
    ListsCorruptError,
    ListsInvalidError,
    ListsNotReadyError,
)
from boragespring.lists.lineage import VersionOrder, compare_versions
from boragespring.lists.state import EMPTY_STATE, ListsState
from boragespring.lists.view import ListsView

__all__ = ["ListsReplica", "ReplicaCounters"]


@define
class ReplicaCounters:
    """Counts since the start of the process."""

    accepted: int = 0
    stale_refused: int = 0
    forks_refused: int = 0
    invalid_refused: int = 0


class ListsReplica:
    """Hold the active version, which is never replaced by an older one.

    Attributes
    ----------
    counters : ReplicaCounters
        Numbers of accepted and rejected versions.
    """

    def __init__(self) -> None:
        self.counters = ReplicaCounters()
        self._state = EMPTY_STATE
        self._ready = asyncio.Event()
        self._listeners: list[Callable[[ListsState], None]] = []

    @property
    def state(self) -> ListsState:
        """Active version; the empty version if none has arrived yet."""
        return self._state

    @property
    def version(self) -> int:
        """Number of the active version; 0 if none has arrived yet."""
        return self._state.number

    @property
    def is_ready(self) -> bool:
        """Whether a version is active."""
        return self._state.number > 0

    @property
    def view(self) -> ListsView:
        """View of the active version.

        Raises
        ------
        ListsNotReadyError
            No version has arrived yet.
        """
        if not self.is_ready:
            raise ListsNotReadyError("no version of the lists has arrived yet")
        return self._state.view

    async def wait_ready(self) -> None:
        """Wait until a version is active."""
        await self._ready.wait()

    def on_change(self, listener: Callable[[ListsState], None]) -> None:
        """Register a listener that is called with each newly activated version."""
        self._listeners.append(listener)

    def offer(self, state: ListsState) -> VersionOrder:
        """Activate a version if it descends from the active one.

        Parameters
        ----------
        state : ListsState
            Version to activate.

        Returns
        -------
        VersionOrder
            Relation of the version to the active one; only a newer one is activated.

        Raises
        ------
        ListsInvalidError
            The document is invalid; the active version is kept.
        """
        order = compare_versions(self._state, state)
        if order is VersionOrder.NEWER:
            self._activate(state)
        elif order is VersionOrder.STALE:
            self.counters.stale_refused += 1
        elif order is VersionOrder.FORK:
            self.counters.forks_refused += 1
            logging.warning(
                "event=lists_fork_refused version=%d offered=%d change=%s",
                self._state.number,
                state.number,
                state.change_id,
            )
        return order

    def offer_changes(self, changes: tuple[Change, ...], digest: int) -> None:
        """Apply changes to the active version and activate the result.

        Parameters
        ----------
        changes : tuple of Change
            Changes to apply, oldest first.
        digest : int
            Expected digest of the result.

        Raises
        ------
        ListsCorruptError
            The changes do not result in the digest; a snapshot is needed.
        ListsInvalidError
            The document is invalid; the active version is kept.
        """
        state = self._state
        try:
            for change in changes:
                state = state.with_change(change)
        except EditConflictError as error:
            raise ListsCorruptError(
                "the changes do not apply to the active version"
            ) from error
        if state.digest != digest:
            raise ListsCorruptError("the changes result in a different digest")
        self.offer(state)

    def _activate(self, state: ListsState) -> None:
        try:
            state.check()
        except ListsInvalidError:
            self.counters.invalid_refused += 1
            raise
        self._state = state
        self.counters.accepted += 1
        self._ready.set()
        logging.info(
            "event=lists_in_force version=%d change=%s", state.number, state.change_id
        )
        for listener in self._listeners:
            listener(state)
