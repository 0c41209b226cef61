"""Read and write claims in the key-value store."""

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

RETRY_DELAY_S = 0.05


@frozen
class StoredClaim:
    """Content of a claim's key in the store.

    Parameters
    ----------
    record : ClaimRecord or None
        The record; None if the key does not exist.
    revision : int
        Revision of the key; ``ABSENT_REVISION`` if it does not exist.
    is_acquired : bool
        Whether the record is the one that this call to `ClaimStore.put` wrote.
    """

    record: ClaimRecord | None
    revision: int
    is_acquired: bool = False


class ClaimStore:
    """Read and write claims in the key-value store.

    If the reply to a write is lost, the key is read back to find out whether the
    write took effect.

    Parameters
    ----------
    store : KeyValueStore
        Store used for reads and leases.
    writer : GroupWriter
        Writer that sends the writes in groups.
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
        """Write a claim if its key has the expected revision.

        Returns
        -------
        StoredClaim
            The claim that the store now holds: the new one, or the one that
            another entry wrote.

        Raises
        ------
        ClaimStoreError
            If the outcome of the write is not known in time. The write may still
            take effect later; the caller must not dispatch the request.
        """
        try:
            async with asyncio.timeout(self._settings.store_timeout_s):
                return await self._put(key, record, expected_revision, True)
        except TimeoutError as error:
            raise ClaimStoreError(
                "the store did not confirm the claim in time"
            ) from error

    async def read(self, key: str) -> StoredClaim:
        """Read a claim; raise `ClaimStoreError` if it cannot be read in time."""
        try:
            async with asyncio.timeout(self._settings.store_timeout_s):
                while True:
                    try:
                        found = await self._store.get(key)
                    except StoreUnavailableError:
                        await asyncio.sleep(RETRY_DELAY_S)
                        continue
                    return _to_stored_claim(found.item)
        except TimeoutError as error:
            raise ClaimStoreError(
                "the store did not reply to a read in time"
            ) from error

    async def record_outcome(
        self, key: str, record: ClaimRecord, expected_revision: int
    ) -> None:
        """Replace a claim by its outcome, retrying up to ``outcome_timeout_s``.

        A timeout is logged, not raised.
        """
        try:
            async with asyncio.timeout(self._settings.outcome_timeout_s):
                await self._put(key, record, expected_revision, False)
        except TimeoutError:
            logging.warning("event=claim_outcome_not_recorded state=%s", record.state)

    async def release(self, key: str, expected_revision: int) -> None:
        """Try once to delete a claim whose request is known not to have run.

        A failure is harmless: an entry that finds the claim queries its agent.
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
                lease_id = await self._get_lease()
                write = ConditionalWrite(
                    key, record.to_bytes(), expected_revision, lease_id
                )
                result = await self._writer.write(write, is_urgent=is_urgent)
                if result.applied:
                    return StoredClaim(record, result.revision, True)
                return _to_stored_claim(result.current, record)
            except LeaseExpiredError:
                self._lease_until_s = 0.0
            except StoreUnavailableError:
                await asyncio.sleep(RETRY_DELAY_S)
            except WriteOutcomeUnknownError:
                stored = await self._read_back(key, record)
                # If the key still has the expected revision, the write may yet
                # take effect. Its condition makes retrying it safe.
                if stored.revision != expected_revision:
                    return stored

    async def _read_back(self, key: str, record: ClaimRecord) -> StoredClaim:
        while True:
            try:
                found = await self._store.get(key)
                return _to_stored_claim(found.item, record)
            except StoreUnavailableError:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _get_lease(self) -> int:
        """Return a lease that expires after the retention of a claim written now."""
        if time.monotonic() < self._lease_until_s:
            return self._lease_id
        window_s = self._settings.lease_window_s
        granted_s = time.monotonic()
        lease = await self._store.grant_lease(self._settings.retention_s + window_s)
        self._lease_id = lease.lease_id
        self._lease_until_s = granted_s + window_s
        return self._lease_id


def _to_stored_claim(
    item: KeyValue | None, written: ClaimRecord | None = None
) -> StoredClaim:
    if item is None:
        return StoredClaim(None, ABSENT_REVISION)
    record = ClaimRecord.from_bytes(item.value)
    is_acquired = written is not None and record.change_id == written.change_id
    return StoredClaim(record, item.mod_revision, is_acquired)
