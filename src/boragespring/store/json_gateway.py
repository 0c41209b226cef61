"""Messages of the public JSON gateway of etcd v3.

The gateway encodes 64-bit integers as strings and keys and values as base64 strings.
It omits fields that have their default value.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from boragespring.store.store import (
    ConditionalWrite,
    KeyValue,
    WatchBatch,
    WatchEvent,
    WriteResult,
)
from boragespring.store.text import (
    decode_bytes,
    decode_key,
    encode_bytes,
    encode_key,
    prefix_end,
)

__all__ = [
    "CODE_INVALID_ARGUMENT",
    "CODE_NOT_FOUND",
    "CODE_UNAVAILABLE",
    "batch_from_json",
    "range_bounds",
    "revision_from_json",
    "txn_to_json",
    "key_value_from_json",
    "key_value_to_json",
    "write_result_from_json",
]

#: gRPC status codes that the gateway returns in the body of an error response.
CODE_INVALID_ARGUMENT = 3
CODE_NOT_FOUND = 5
CODE_UNAVAILABLE = 14

#: Key that means no lower bound as the start of a range, and no upper bound as its end.
_UNBOUNDED_KEY = "\0"

JsonObject = Mapping[str, Any]


def range_bounds(prefix: str) -> dict[str, str]:
    """Return the request fields that select the keys under a prefix."""
    return {
        "key": encode_key(prefix or _UNBOUNDED_KEY),
        "range_end": encode_key(prefix_end(prefix) or _UNBOUNDED_KEY),
    }


def revision_from_json(message: JsonObject) -> int:
    """Return the store revision from the header of a response."""
    return int(message["header"]["revision"])


def key_value_from_json(kv: JsonObject) -> KeyValue:
    """Decode a stored key."""
    return KeyValue(
        key=decode_key(kv["key"]),
        value=decode_bytes(kv.get("value", "")),
        create_revision=int(kv.get("create_revision", 0)),
        mod_revision=int(kv.get("mod_revision", 0)),
        lease_id=int(kv.get("lease", 0)),
    )


def key_value_to_json(item: KeyValue) -> dict[str, str]:
    """Encode a stored key."""
    fields = {
        "key": encode_key(item.key),
        "value": encode_bytes(item.value),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
    }
    return fields | ({"lease": str(item.lease_id)} if item.lease_id else {})


def txn_to_json(writes: Sequence[ConditionalWrite]) -> dict[str, Any]:
    """Encode independent conditional writes as one transaction.

    Each write becomes a nested transaction inside an unconditional one, so that each
    has its own condition and result.
    """
    nested = [{"request_txn": _write_to_json(write)} for write in writes]
    return {"compare": [], "success": nested, "failure": []}


def write_result_from_json(response: JsonObject, revision: int) -> WriteResult:
    """Decode the result of one write of a transaction."""
    inner = response["response_txn"]
    if inner.get("succeeded", False):
        return WriteResult(applied=True, revision=revision)
    kvs = inner["responses"][0]["response_range"].get("kvs", [])
    current = key_value_from_json(kvs[0]) if kvs else None
    return WriteResult(applied=False, revision=revision, current=current)


def batch_from_json(result: JsonObject) -> list[WatchBatch]:
    """Decode a watch message into batches of one store revision each."""
    events = [_event_from_json(event) for event in result.get("events", [])]
    if not events:
        return [WatchBatch(revision=revision_from_json(result), events=())]
    revisions = sorted({event.revision for event in events})
    return [
        WatchBatch(revision, tuple(e for e in events if e.revision == revision))
        for revision in revisions
    ]


def _write_to_json(write: ConditionalWrite) -> dict[str, Any]:
    key = encode_key(write.key)
    condition = {
        "key": key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(write.expected_mod_revision),
    }
    return {
        "compare": [condition],
        "success": [_change_to_json(key, write)],
        "failure": [{"request_range": {"key": key}}],
    }


def _change_to_json(key: str, write: ConditionalWrite) -> dict[str, Any]:
    if write.value is None:
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": encode_bytes(write.value)}
    if write.lease_id:
        put["lease"] = str(write.lease_id)
    return {"request_put": put}


def _event_from_json(event: JsonObject) -> WatchEvent:
    item = key_value_from_json(event["kv"])
    deleted = event.get("type", "PUT") == "DELETE"
    return WatchEvent(item.key, None if deleted else item, item.mod_revision)
