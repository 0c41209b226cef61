"""The version of the lists that is in force in one process."""

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
    """Holds the version in force, which never steps back.

    Attributes
    ----------
    counters : ReplicaCounters
        Accepted and refused offers.
    """

    def __init__(self) -> None:
        self.counters = ReplicaCounters()
        self._state = EMPTY_STATE
        self._ready = asyncio.Event()
        self._listeners: list[Callable[[ListsState], None]] = []

    @property
    def state(self) -> ListsState:
        """Version in force; the empty one before the first."""
        return self._state

    @property
    def version(self) -> int:
        """Number of the version in force; 0 before the first."""
        return self._state.number

    @property
    def is_ready(self) -> bool:
        """Whether a version is in force."""
        return self._state.number > 0

    @property
    def view(self) -> ListsView:
        """View of the version in force.

        Raises
        ------
        ListsNotReadyError
            No version has arrived yet.
        """
        if not self.is_ready:
            raise ListsNotReadyError("no version of the lists has arrived yet")
        return self._state.view

    async def wait_ready(self) -> None:
        """Wait until a version is in force."""
        await self._ready.wait()

    def on_change(self, listener: Callable[[ListsState], None]) -> None:
        """Call a listener with each version that comes into force."""
        self._listeners.append(listener)

    def offer(self, state: ListsState) -> VersionOrder:
        """Bring a version into force if it follows the present one.

        Returns
        -------
        VersionOrder
            Place of the version; only a newer one came into force.

        Raises
        ------
        ListsInvalidError
            The document is not allowed; the present version stays.
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
        """Bring the version into force that some changes make of the present one.

        Raises
        ------
        ListsCorruptError
            The changes do not lead to the digest; a full copy is needed.
        ListsInvalidError
            The document is not allowed; the present version stays.
        """
        state = self._state
        try:
            for change in changes:
                state = state.with_change(change)
        except EditConflictError as error:
            raise ListsCorruptError("the changes do not fit") from error
        if state.digest != digest:
            raise ListsCorruptError("the changes lead to another digest")
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
