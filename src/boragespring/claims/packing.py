"""Convert conditional writes and their results to and from message fields."""

from boragespring.claims.errors import ClaimRecordError
from boragespring.store.store import ConditionalWrite, KeyValue, WriteResult

__all__ = ["pack_result", "pack_write", "unpack_result", "unpack_write"]


def pack_write(write: ConditionalWrite) -> list[object]:
    """Convert a write to a list of primitive values."""
    return [write.key, write.value, write.expected_mod_revision, write.lease_id]


def unpack_write(values: list[object]) -> ConditionalWrite:
    """Convert a list of primitive values back to a write.

    Raises
    ------
    ClaimRecordError
        If the values do not describe a conditional write.
    """
    match values:
        case [str(key), bytes() | None as value, int(revision), int(lease_id)]:
            return ConditionalWrite(key, value, revision, lease_id)
    raise ClaimRecordError("the values do not describe a conditional write")


def pack_result(result: WriteResult) -> list[object]:
    """Convert a result to a list of primitive values."""
    return [result.applied, result.revision, _pack_item(result.current)]


def unpack_result(values: list[object]) -> WriteResult:
    """Convert a list of primitive values back to a result.

    Raises
    ------
    ClaimRecordError
        If the values do not describe the result of a write.
    """
    match values:
        case [bool(applied), int(revision), None]:
            return WriteResult(applied, revision)
        case [
            bool(applied),
            int(revision),
            [
                str(key),
                bytes(value),
                int(create_revision),
                int(mod_revision),
                int(lease_id),
            ],
        ]:
            item = KeyValue(key, value, create_revision, mod_revision, lease_id)
            return WriteResult(applied, revision, item)
    raise ClaimRecordError("the values do not describe the result of a write")


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
