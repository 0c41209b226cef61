"""Writes whose lost answers are settled by a change id in the value."""

import asyncio
from collections.abc import Callable

from attrs import frozen

from boragespring.store.store import (
    ConditionalWrite,
    KeyValue,
    KeyValueStore,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
    WriteResult,
)

__all__ = ["SettleSettings", "write_settled"]


@frozen
class SettleSettings:
    """How long the outcome of a write is sought.

    Parameters
    ----------
    timeout_s : float
        Bound of all attempts to read the outcome back.
    pause_s : float
        Pause between two attempts.
    """

    timeout_s: float = 10.0
    pause_s: float = 0.2


async def write_settled(
    store: KeyValueStore,
    write: ConditionalWrite,
    carries_change: Callable[[KeyValue], bool],
    settings: SettleSettings | None = None,
) -> WriteResult:
    """Apply a conditional write and find out its outcome when the answer is lost.

    The value carries an id that no other write has. After a lost answer the key
    is read back: a value that carries the id, itself or in its history, shows
    that the write took effect; the expected revision unchanged shows that it
    has not, though it still may, so the same write is repeated, which the
    condition makes safe.

    Parameters
    ----------
    store : KeyValueStore
        Store to write to.
    write : ConditionalWrite
        The write.
    carries_change : callable
        Tells whether a stored value holds the change of this write.
    settings : SettleSettings or None
        Bounds; None for the defaults.

    Returns
    -------
    WriteResult
        The settled result.

    Raises
    ------
    StoreUnavailableError
        The write surely had no effect.
    WriteOutcomeUnknownError
        The outcome could not be read back in time.
    """
    bounds = settings or SettleSettings()
    try:
        return await store.write(write)
    except WriteOutcomeUnknownError as lost:
        try:
            async with asyncio.timeout(bounds.timeout_s):
                return await _settle(store, write, carries_change, bounds.pause_s)
        except TimeoutError as error:
            raise WriteOutcomeUnknownError(
                f"outcome of the write of {write.key!r} is still unknown"
            ) from ExceptionGroup("lost answer and timeout", [lost, error])


async def _settle(
    store: KeyValueStore,
    write: ConditionalWrite,
    carries_change: Callable[[KeyValue], bool],
    pause_s: float,
) -> WriteResult:
    while True:
        try:
            found = await store.get(write.key)
            if found.item is not None and carries_change(found.item):
                return WriteResult(True, found.revision, found.item)
            if _revision_of(found.item) != write.expected_mod_revision:
                return WriteResult(False, found.revision, found.item)
            result = await store.write(write)
            if result.applied or result.current is None:
                return result
            return WriteResult(
                carries_change(result.current), result.revision, result.current
            )
        except (StoreUnavailableError, WriteOutcomeUnknownError):
            await asyncio.sleep(pause_s)


def _revision_of(item: KeyValue | None) -> int:
    return item.mod_revision if item is not None else 0
