"""Conditional writes and their results as plain values of a message."""

from boragespring.claims.errors import ClaimRecordError
from boragespring.store.store import ConditionalWrite, KeyValue, WriteResult

__all__ = ["pack_result", "pack_write", "unpack_result", "unpack_write"]


def pack_write(write: ConditionalWrite) -> list[object]:
    """Return a write as plain values."""
    return [write.key, write.value, write.expected_mod_revision, write.lease_id]


def unpack_write(plain: list[object]) -> ConditionalWrite:
    """Return the write that plain values hold."""
    match plain:
        case [str(key), bytes() | None as value, int(revision), int(lease_id)]:
            return ConditionalWrite(key, value, revision, lease_id)
    raise ClaimRecordError("no conditional write")


def pack_result(result: WriteResult) -> list[object]:
    """Return a result as plain values."""
    return [result.applied, result.revision, _pack_item(result.current)]


def unpack_result(plain: list[object]) -> WriteResult:
    """Return the result that plain values hold."""
    match plain:
        case [bool(applied), int(revision), None]:
            return WriteResult(applied, revision)
        case [
            bool(applied),
            int(revision),
            [str(key), bytes(value), int(created), int(changed), int(lease_id)],
        ]:
            item = KeyValue(key, value, created, changed, lease_id)
            return WriteResult(applied, revision, item)
    raise ClaimRecordError("no result of a write")


def _pack_item(item: KeyValue | None) -> list[object] | None:
    if item is None:
        return None
    return [
        item.key,
        item.value,
        item.create_revision,
        item.mod_revision,
        item.lease_id,
    ]
