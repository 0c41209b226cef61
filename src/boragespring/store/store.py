"""Interface of the platform's key-value service."""

from collections.abc import AsyncGenerator, Sequence
from typing import Protocol

from attrs import frozen

from boragespring.errors import BoragespringError

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
    "StoreSteppedBackError",
    "StoreUnavailableError",
    "WatchBatch",
    "WatchCompactedError",
    "WatchEvent",
    "WriteOutcomeUnknownError",
    "WriteResult",
]

#: Expected revision of a key that must not exist yet.
ABSENT_REVISION = 0


class StoreError(BoragespringError):
    """Base of the errors of the key-value service."""


class StoreUnavailableError(StoreError):
    """The call surely had no effect: refused, over budget, or a failed read."""


class WriteOutcomeUnknownError(StoreError):
    """The answer of a write was lost; the write may have taken effect."""


class LeaseExpiredError(StoreError):
    """The lease is unknown to the service or has expired."""


class WatchCompactedError(StoreError):
    """The watch starts before the oldest revision that the service keeps."""


class StoreSteppedBackError(WatchCompactedError):
    """The service is at an older revision than the caller has seen."""


@frozen
class KeyValue:
    """One stored key with its revisions.

    Parameters
    ----------
    key : str
        Name of the key.
    value : bytes
        Stored value, at most 1 MB.
    create_revision, mod_revision : int
        Store revision of the creation and of the last change.
    lease_id : int
        Lease that the key is bound to; 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


@frozen
class GetResult:
    """Result of a read of one key at a store revision."""

    item: KeyValue | None
    revision: int


@frozen
class RangeResult:
    """Keys under a prefix in order of name, at a store revision."""

    items: tuple[KeyValue, ...]
    revision: int


@frozen
class ConditionalWrite:
    """Put or delete of one key that applies at one expected revision only.

    Parameters
    ----------
    key : str
        Name of the key.
    value : bytes or None
        New value; None deletes the key.
    expected_mod_revision : int
        Revision that the key must have; ``ABSENT_REVISION`` for no such key.
    lease_id : int
        Lease that the key is bound to; 0 for none.
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
        Whether the expected revision matched and the write took effect.
    revision : int
        Store revision after the call.
    current : KeyValue or None
        The stored key where the write did not apply; None if absent.
    """

    applied: bool
    revision: int
    current: KeyValue | None = None


@frozen
class Lease:
    """Lease granted by the service; it expires ``ttl_s`` after a renewal."""

    lease_id: int
    ttl_s: float


@frozen
class WatchEvent:
    """Change of one key; ``item`` is None when the key was deleted."""

    key: str
    item: KeyValue | None
    revision: int


@frozen
class WatchBatch:
    """Events of one store revision; an empty batch is a progress notice."""

    revision: int
    events: tuple[WatchEvent, ...]


class KeyValueStore(Protocol):
    """Calls that the product needs of the key-value service.

    Every call counts against the service's rates; a waiting watch counts as
    one. Reads raise `StoreUnavailableError`; writes raise that only when they
    surely had no effect, else `WriteOutcomeUnknownError`.
    """

    async def get(self, key: str) -> GetResult:
        """Read one key."""
        ...

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """Read the keys under a prefix; ``limit`` 0 reads all."""
        ...

    async def write(self, write: ConditionalWrite) -> WriteResult:
        """Apply one conditional write."""
        ...

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent conditional writes in one call.

        Each write has its own condition and result. The keys must differ.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease."""
        ...

    async def renew_lease(self, lease_id: int) -> Lease:
        """Renew a lease; raise `LeaseExpiredError` when it is gone."""
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys bound to it."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield changes under a prefix from a revision on, in order.

        Raises `WatchCompactedError` when the revision is too old,
        `StoreSteppedBackError` when the service is behind that revision and
        `StoreUnavailableError` when the watch breaks or goes silent.
        """
        ...

    async def close(self) -> None:
        """Close the connections to the service."""
        ...
