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

__all__ = ["WriteResolutionSettings", "write_resolved"]


@frozen
class WriteResolutionSettings:
    """How long the outcome of a write is sought.

    Parameters
    ----------
    timeout_s : float
        Bound of all attempts to read the outcome back.
    retry_interval_s : float
        Pause between two attempts.
    """

    timeout_s: float = 10.0
    retry_interval_s: float = 0.2


async def write_resolved(
    store: KeyValueStore,
    write: ConditionalWrite,
    contains_change: Callable[[KeyValue], bool],
    settings: WriteResolutionSettings | None = None,
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
    contains_change : callable
        Tells whether a stored value holds the change of this write.
    settings : WriteResolutionSettings or None
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
    limits = settings or WriteResolutionSettings()
    try:
        return await store.write(write)
    except WriteOutcomeUnknownError as lost_reply:
        try:
            async with asyncio.timeout(limits.timeout_s):
                return await _resolve(
                    store, write, contains_change, limits.retry_interval_s
                )
        except TimeoutError as error:
            raise WriteOutcomeUnknownError(
                f"outcome of the write of {write.key!r} is still unknown"
            ) from ExceptionGroup("lost answer and timeout", [lost_reply, error])


async def _resolve(
    store: KeyValueStore,
    write: ConditionalWrite,
    contains_change: Callable[[KeyValue], bool],
    retry_interval_s: float,
) -> WriteResult:
    while True:
        try:
            stored = await store.get(write.key)
            if stored.item is not None and contains_change(stored.item):
                return WriteResult(True, stored.revision, stored.item)
            if _mod_revision(stored.item) != write.expected_mod_revision:
                return WriteResult(False, stored.revision, stored.item)
            result = await store.write(write)
            if result.applied or result.current is None:
                return result
            return WriteResult(
                contains_change(result.current), result.revision, result.current
            )
        except (StoreUnavailableError, WriteOutcomeUnknownError):
            await asyncio.sleep(retry_interval_s)


def _mod_revision(item: KeyValue | None) -> int:
    return item.mod_revision if item is not None else 0
