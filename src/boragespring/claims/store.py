"""Claims in the key-value service."""

import asyncio
import time

from absl import logging
from attrs import frozen

from boragespring.claims.errors import ClaimStoreError
from boragespring.claims.group import GroupWriter
from boragespring.claims.record import ClaimRecord
from boragespring.settings import ClaimSettings
from boragespring.store.store import (
    ABSENT_REVISION,
    ConditionalWrite,
    KeyValue,
    KeyValueStore,
    LeaseExpiredError,
    StoreError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)

__all__ = ["ClaimStore", "StoredClaim"]

RETRY_PAUSE_S = 0.05


@frozen
class StoredClaim:
    """What the store holds under a claim's key.

    Parameters
    ----------
    record : ClaimRecord or None
        The record; None for no such key.
    revision : int
        Revision of the key; ``ABSENT_REVISION`` for no such key.
    is_own : bool
        Whether the record is the one just written.
    """

    record: ClaimRecord | None
    revision: int
    is_own: bool = False


class ClaimStore:
    """Write and read claims; every lost answer is settled by reading back.

    Parameters
    ----------
    store : KeyValueStore
        The store, for reads and leases.
    writer : GroupWriter
        Groups the writes.
    settings : ClaimSettings
        Timeouts and retention.
    """

    def __init__(
        self, store: KeyValueStore, writer: GroupWriter, settings: ClaimSettings
    ) -> None:
        self._store = store
        self._writer = writer
        self._settings = settings
        self._lease_id = 0
        self._lease_until_s = 0.0

    async def put(
        self, key: str, record: ClaimRecord, expected_revision: int
    ) -> StoredClaim:
        """Write a claim where the key has the expected revision.

        Raises
        ------
        ClaimStoreError
            When the store did not settle the write in time. The record may
            still appear there; the caller must not dispatch.
        """
        try:
            async with asyncio.timeout(self._settings.store_timeout_s):
                return await self._put(key, record, expected_revision, True)
        except TimeoutError as error:
            raise ClaimStoreError("the store did not settle the claim") from error

    async def find(self, key: str) -> StoredClaim:
        """Read a claim; raise `ClaimStoreError` when it cannot be read."""
        try:
            async with asyncio.timeout(self._settings.store_timeout_s):
                while True:
                    try:
                        found = await self._store.get(key)
                    except StoreUnavailableError:
                        await asyncio.sleep(RETRY_PAUSE_S)
                        continue
                    return _stored(found.item)
        except TimeoutError as error:
            raise ClaimStoreError("the store did not answer a read") from error

    async def record_outcome(
        self, key: str, record: ClaimRecord, expected_revision: int
    ) -> None:
        """Write an outcome over its claim, for as long as it may take."""
        try:
            async with asyncio.timeout(self._settings.outcome_timeout_s):
                await self._put(key, record, expected_revision, False)
        except TimeoutError:
            logging.warning("event=claim_outcome_not_recorded state=%s", record.state)

    async def release(self, key: str, expected_revision: int) -> None:
        """Delete a claim whose request surely did not run, if that goes quickly.

        A claim that stays does no harm: whoever finds it asks its agent.
        """
        write = ConditionalWrite(key, None, expected_revision)
        try:
            async with asyncio.timeout(self._settings.store_timeout_s):
                await self._writer.write(write, is_urgent=False)
        except (StoreError, TimeoutError):
            logging.vlog(1, "event=claim_not_released")

    async def _put(
        self, key: str, record: ClaimRecord, expected_revision: int, is_urgent: bool
    ) -> StoredClaim:
        while True:
            try:
                lease_id = await self._lease()
                write = ConditionalWrite(
                    key, record.to_bytes(), expected_revision, lease_id
                )
                result = await self._writer.write(write, is_urgent=is_urgent)
                if result.applied:
                    return StoredClaim(record, result.revision, True)
                return _stored(result.current, record)
            except LeaseExpiredError:
                self._lease_until_s = 0.0
            except StoreUnavailableError:
                await asyncio.sleep(RETRY_PAUSE_S)
            except WriteOutcomeUnknownError:
                stored = await self._read_back(key, record)
                # At the expected revision the write may still be on its way;
                # its condition makes the repeat safe.
                if stored.revision != expected_revision:
                    return stored

    async def _read_back(self, key: str, record: ClaimRecord) -> StoredClaim:
        while True:
            try:
                found = await self._store.get(key)
                return _stored(found.item, record)
            except StoreUnavailableError:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _lease(self) -> int:
        """Return a lease that outlives the retention of a claim made now."""
        if time.monotonic() < self._lease_until_s:
            return self._lease_id
        window_s = self._settings.lease_window_s
        granted_s = time.monotonic()
        lease = await self._store.grant_lease(self._settings.retention_s + window_s)
        self._lease_id = lease.lease_id
        self._lease_until_s = granted_s + window_s
        return self._lease_id


def _stored(item: KeyValue | None, own: ClaimRecord | None = None) -> StoredClaim:
    if item is None:
        return StoredClaim(None, ABSENT_REVISION)
    record = ClaimRecord.from_bytes(item.value)
    is_own = own is not None and record.change_id == own.change_id
    return StoredClaim(record, item.mod_revision, is_own)
