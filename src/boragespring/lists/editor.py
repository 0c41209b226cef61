"""Edits of the lists in the store, safe against other editors and lost answers."""

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
    SettleSettings,
    StoreError,
    WriteOutcomeUnknownError,
    WriteResult,
    write_settled,
)
from boragespring.store.store import ABSENT_REVISION

__all__ = ["LISTS_KEY", "Edit", "ListsEditor", "StoredLists", "decode_stored_lists"]

#: Key that holds both lists.
LISTS_KEY = "boragespring/lists"


@frozen
class Edit:
    """An edit that an operator asks for.

    Parameters
    ----------
    entries : tuple of EntryChange
        Changes of entries, from what the operator has seen.
    author, reason : str
        Who makes it and why.
    """

    entries: tuple[EntryChange, ...]
    author: str
    reason: str


@frozen
class StoredLists:
    """The lists as the store holds them at one revision of their key."""

    state: ListsState
    mod_revision: int


def decode_stored_lists(item: KeyValue | None) -> StoredLists:
    """Read the lists from their key; an absent key holds empty lists."""
    if item is None:
        return StoredLists(EMPTY_STATE, ABSENT_REVISION)
    return StoredLists(decode_state(item.value), item.mod_revision)


class ListsEditor:
    """Reads and changes the lists in the store.

    Parameters
    ----------
    store : KeyValueStore
        Store that holds the lists.
    settle : SettleSettings or None
        Bounds of finding out the outcome of a write.
    clock : callable, default=time.time
        Source of Unix time.
    """

    def __init__(
        self,
        store: KeyValueStore,
        resolution_settings: SettleSettings | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._resolution_settings = resolution_settings
        self._clock = clock

    async def read(self) -> StoredLists:
        """Read the lists; raise `ListsUnavailableError` when the store is down."""
        try:
            return decode_stored_lists((await self._store.get(LISTS_KEY)).item)
        except StoreError as error:
            raise ListsUnavailableError(f"the lists cannot be read: {error}") from error

    async def submit(self, edit: Edit) -> ListsState:
        """Make an edit, again on top of others' edits of other entries.

        Returns
        -------
        ListsState
            The version that holds the edit.

        Raises
        ------
        EditConflictError
            Someone else changed an entry that the edit touches.
        ListsInvalidError, ListsTooLargeError
            The document with the edit is not allowed.
        ListsUnavailableError
            The store is down; the edit surely was not accepted.
        ChangeOutcomeUnknownError
            The store was lost in the middle of the write.
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
                # So many changes came between that a lost one would not show.
                raise ChangeOutcomeUnknownError(change_id)

    async def restore(self, state: ListsState, replaced: StoredLists) -> bool:
        """Write a known version over an older one; tell whether it applied."""
        result = await self._write(state, replaced.mod_revision, state.change_id)
        return result.applied

    async def _write(
        self, state: ListsState, mod_revision: int, change_id: str
    ) -> WriteResult:
        _, value = truncate_to_fit(state)
        write = ConditionalWrite(LISTS_KEY, value, mod_revision)
        try:
            return await write_settled(
                self._store,
                write,
                _contains_change(change_id),
                self._resolution_settings,
            )
        except WriteOutcomeUnknownError as error:
            raise ChangeOutcomeUnknownError(change_id) from error
        except StoreError as error:
            raise ListsUnavailableError(f"not accepted: {error}") from error


def _contains_change(change_id: str) -> Callable[[KeyValue], bool]:
    def contains(item: KeyValue) -> bool:
        try:
            return decode_state(item.value).has_change(change_id)
        except ListsCorruptError:
            return False

    return contains
