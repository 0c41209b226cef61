"""Conditional writes that resolve an unknown outcome by reading the key back."""

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
    """Limits for resolving the unknown outcome of a write.

    Parameters
    ----------
    timeout_s : float
        Total time limit in seconds for resolving the outcome.
    retry_interval_s : float
        Delay in seconds between two attempts.
    """

    timeout_s: float = 10.0
    retry_interval_s: float = 0.2


async def write_resolved(
    store: KeyValueStore,
    write: ConditionalWrite,
    contains_change: Callable[[KeyValue], bool],
    settings: WriteResolutionSettings | None = None,
) -> WriteResult:
    """Apply a conditional write and resolve its outcome if the reply is lost.

    The value must contain an ID that is unique to this write. If the reply is lost,
    the key is read back. A value that contains the ID, as the latest change or in its
    history, shows that the write was applied. If the key is still at the expected
    revision, the write has not been applied yet but could still arrive; it is then
    sent again, which is safe because only one of the two can match the condition. Any
    other revision without the ID shows that the write was not and cannot be applied.

    Parameters
    ----------
    store : KeyValueStore
        Store that the key is written to.
    write : ConditionalWrite
        The conditional write.
    contains_change : callable
        Returns whether a stored key contains the change made by this write.
    settings : WriteResolutionSettings or None
        Limits; None for the defaults.

    Returns
    -------
    WriteResult
        Result of the write.

    Raises
    ------
    StoreUnavailableError
        The write is known not to have been applied.
    WriteOutcomeUnknownError
        The outcome could not be resolved in time.
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
            ) from ExceptionGroup("lost reply and timeout", [lost_reply, error])


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
