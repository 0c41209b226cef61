"""Edit the lists in the store, despite concurrent edits and lost replies."""

import time
from collections.abc import Callable

from attrs import frozen

from boragespring.lists.changes import Change, EntryChange, new_change_id
from boragespring.lists.codec import decode_state, truncate_to_fit
from boragespring.lists.errors import (
    ChangeOutcomeUnknownError,
    ListsCorruptError,
    ListsUnavailableError,
)
from boragespring.lists.state import EMPTY_STATE, ListsState
from boragespring.store import (
    ConditionalWrite,
    KeyValue,
    KeyValueStore,
    StoreError,
    WriteOutcomeUnknownError,
    WriteResolutionSettings,
    WriteResult,
    write_resolved,
)
from boragespring.store.store import ABSENT_REVISION

__all__ = ["LISTS_KEY", "Edit", "ListsEditor", "StoredLists", "decode_stored_lists"]

#: Store key that holds both lists.
LISTS_KEY = "boragespring/lists"


@frozen
class Edit:
    """Edit submitted by an operator.

    Parameters
    ----------
    entries : tuple of EntryChange
        Entry changes, relative to the version that the operator edited.
    author : str
        Author of the edit.
    reason : str
        Reason for the edit.
    """

    entries: tuple[EntryChange, ...]
    author: str
    reason: str


@frozen
class StoredLists:
    """Version of the lists that the store holds at one revision of their key.

    Parameters
    ----------
    state : ListsState
        The stored version.
    mod_revision : int
        Store revision at which the key was last modified.
    """

    state: ListsState
    mod_revision: int


def decode_stored_lists(item: KeyValue | None) -> StoredLists:
    """Decode the value of the lists key; an absent key decodes to empty lists."""
    if item is None:
        return StoredLists(EMPTY_STATE, ABSENT_REVISION)
    return StoredLists(decode_state(item.value), item.mod_revision)


class ListsEditor:
    """Read and edit the lists in the store.

    Parameters
    ----------
    store : KeyValueStore
        Store that holds the lists.
    resolution_settings : WriteResolutionSettings or None
        Limits for resolving the unknown outcome of a write; None for the defaults.
    clock : callable, default=time.time
        Source of Unix time.
    """

    def __init__(
        self,
        store: KeyValueStore,
        resolution_settings: WriteResolutionSettings | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._resolution_settings = resolution_settings
        self._clock = clock

    async def read(self) -> StoredLists:
        """Read the lists.

        Raises
        ------
        ListsUnavailableError
            The store cannot be reached.
        ListsCorruptError
            The stored value cannot be decoded.
        """
        try:
            return decode_stored_lists((await self._store.get(LISTS_KEY)).item)
        except StoreError as error:
            raise ListsUnavailableError(f"the lists cannot be read: {error}") from error

    async def submit(self, edit: Edit) -> ListsState:
        """Submit an edit, retrying on top of concurrent edits of other entries.

        Parameters
        ----------
        edit : Edit
            Edit to submit.

        Returns
        -------
        ListsState
            The version that contains the edit.

        Raises
        ------
        EditConflictError
            Another author changed an entry that the edit modifies.
        ListsInvalidError, ListsTooLargeError
            The resulting document is invalid or too large.
        ListsUnavailableError
            The store is down; the edit is known not to have been accepted.
        ChangeOutcomeUnknownError
            The store became unreachable during the write.
        """
        change_id, made_at_s = new_change_id(), self._clock()
        stored = await self.read()
        while True:
            change = Change(
                number=stored.state.number + 1,
                change_id=change_id,
                author=edit.author,
                reason=edit.reason,
                made_at_s=made_at_s,
                entries=edit.entries,
            )
            next_state = stored.state.with_change(change).check()
            result = await self._write(next_state, stored.mod_revision, change_id)
            if result.applied:
                return next_state
            previous_number = stored.state.number
            stored = decode_stored_lists(result.current)
            if not stored.state.has_history_since(previous_number):
                # So many changes were made concurrently that the history would no
                # longer show this edit if it had been accepted.
                raise ChangeOutcomeUnknownError(change_id)

    async def restore(self, state: ListsState, replaced: StoredLists) -> bool:
        """Overwrite an older stored version with a newer one.

        Parameters
        ----------
        state : ListsState
            Version to write.
        replaced : StoredLists
            Stored version that is replaced.

        Returns
        -------
        bool
            Whether the write was applied; False if the key has changed since.
        """
        result = await self._write(state, replaced.mod_revision, state.change_id)
        return result.applied

    async def _write(
        self, state: ListsState, mod_revision: int, change_id: str
    ) -> WriteResult:
        _, value = truncate_to_fit(state)
        write = ConditionalWrite(LISTS_KEY, value, mod_revision)
        try:
            return await write_resolved(
                self._store,
                write,
                _contains_change(change_id),
                self._resolution_settings,
            )
        except WriteOutcomeUnknownError as error:
            raise ChangeOutcomeUnknownError(change_id) from error
        except StoreError as error:
            raise ListsUnavailableError(
                f"the change was not accepted: {error}"
            ) from error


def _contains_change(change_id: str) -> Callable[[KeyValue], bool]:
    def contains(item: KeyValue) -> bool:
        try:
            return decode_state(item.value).has_change(change_id)
        except ListsCorruptError:
            return False

    return contains
