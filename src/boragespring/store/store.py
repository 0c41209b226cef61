"""Interface of the platform's key-value service, modeled on etcd."""

from collections.abc import AsyncGenerator, Sequence
from typing import Protocol

from attrs import frozen

from boragespring.errors import BoragespringError
from boragespring.store.position import StorePosition

__all__ = [
    "ABSENT_REVISION",
    "ConditionalWrite",
    "GetResult",
    "KeyValue",
    "KeyValueStore",
    "Lease",
    "LeaseExpiredError",
    "RangeResult",
    "StoreError",
    "StoreRestoredError",
    "StoreSteppedBackError",
    "StoreUnavailableError",
    "WatchBatch",
    "WatchCompactedError",
    "WatchEvent",
    "WriteOutcomeUnknownError",
    "WriteResult",
]

#: Expected revision for a key that must not exist.
ABSENT_REVISION = 0


class StoreError(BoragespringError):
    """Base class for errors of the key-value service."""


class StoreUnavailableError(StoreError):
    """The call is known to have had no effect.

    It was refused, exceeded the call budget, or was a read that failed.
    """


class WriteOutcomeUnknownError(StoreError):
    """The reply to a write was lost, so the write may or may not have been applied."""


class LeaseExpiredError(StoreError):
    """The lease has expired or does not exist."""


class WatchCompactedError(StoreError):
    """The history from the requested revision on has been compacted away."""


class StoreSteppedBackError(WatchCompactedError):
    """The service is at an older revision than one that the caller has seen.

    This happens after a failover to a stale replica.
    """


class StoreRestoredError(WatchCompactedError):
    """The service has begun a new era, so the caller has to read its keys again."""


@frozen
class KeyValue:
    """Stored key with its value and revisions.

    Parameters
    ----------
    key : str
        Name of the key.
    value : bytes
        Stored value, at most 1 MB.
    create_revision, mod_revision : int
        Store revisions at which the key was created and last changed.
    lease_id : int
        ID of the lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


@frozen
class GetResult:
    """Result of reading one key; ``item`` is None if the key does not exist."""

    item: KeyValue | None
    revision: int


@frozen
class RangeResult:
    """Keys under a prefix in lexical order, read at one store revision and era."""

    items: tuple[KeyValue, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position at which the keys were read."""
        return StorePosition(self.era, self.revision)


@frozen
class ConditionalWrite:
    """Put or delete of one key, applied only at an expected revision.

    Parameters
    ----------
    key : str
        Name of the key.
    value : bytes or None
        New value; None deletes the key.
    expected_mod_revision : int
        Revision that the key must have for the write to be applied;
        ``ABSENT_REVISION`` if the key must not exist.
    lease_id : int
        ID of the lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes | None
    expected_mod_revision: int
    lease_id: int = 0


@frozen
class WriteResult:
    """Result of a conditional write.

    Parameters
    ----------
    applied : bool
        Whether the expected revision matched and the write was applied.
    revision : int
        Store revision after the call.
    current : KeyValue or None
        The stored key if the write was not applied; None if there is no such key.
    """

    applied: bool
    revision: int
    current: KeyValue | None = None


@frozen
class Lease:
    """Lease that expires ``ttl_s`` seconds after it was created or last renewed.

    ``era`` is the era of the store at that time. A lease of an earlier era may be lost,
    and its ID may belong to another lease now.
    """

    lease_id: int
    ttl_s: float
    era: int = 0


@frozen
class WatchEvent:
    """Change of one key; ``item`` is None if the key was deleted."""

    key: str
    item: KeyValue | None
    revision: int


@frozen
class WatchBatch:
    """Events of one store revision.

    A batch without events is a progress notification: the watch has delivered all
    changes up to its revision.
    """

    revision: int
    events: tuple[WatchEvent, ...]
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position up to which the watch has delivered all changes."""
        return StorePosition(self.era, self.revision)


class KeyValueStore(Protocol):
    """Operations that the system uses from the key-value service.

    Every call counts against the rate limits of the service, and so does each open
    watch. A failed read raises `StoreUnavailableError`. A failed write raises it only
    if the write is known not to have been applied, and `WriteOutcomeUnknownError`
    otherwise.
    """

    async def get(self, key: str) -> GetResult:
        """Read one key."""
        ...

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """Read the keys under a prefix, at most ``limit`` of them; 0 for no limit."""
        ...

    async def write(self, write: ConditionalWrite) -> WriteResult:
        """Apply one conditional write."""
        ...

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent conditional writes in one call.

        Each write has its own condition and result. No key may occur twice.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""
        ...

    async def renew_lease(self, lease_id: int) -> Lease:
        """Renew a lease; raise `LeaseExpiredError` if it has expired."""
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes under a prefix in order, starting at a revision.

        Raises
        ------
        WatchCompactedError
            The history from that revision on is no longer available.
        StoreSteppedBackError
            The service has not reached the revision before that one.
        StoreRestoredError
            The service has begun a new era since the watch was opened.
        StoreUnavailableError
            The watch was interrupted or delivered nothing for too long.
        """
        ...

    async def close(self) -> None:
        """Close the connections to the service."""
        ...
