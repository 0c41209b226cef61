"""Handlers for the calls of etcd v3's JSON gateway, backed by a `Keyspace`."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

from aiohttp import web

from boragespring.store.json_gateway import (
    CODE_INVALID_ARGUMENT,
    CODE_NOT_FOUND,
    key_value_to_json,
)
from boragespring.store.keyspace import Keyspace
from boragespring.store.store import (
    ConditionalWrite,
    KeyValue,
    LeaseExpiredError,
    WatchBatch,
    WatchEvent,
    WriteResult,
)
from boragespring.store.text import decode_bytes, decode_key, encode_key

__all__ = [
    "VALUE_LIMIT_BYTES",
    "JsonGatewayError",
    "handle_lease_grant",
    "handle_lease_keepalive",
    "handle_lease_revoke",
    "handle_range",
    "handle_txn",
    "key_range",
    "response_header",
    "watch_message",
]

#: Largest value that the key-value service accepts.
VALUE_LIMIT_BYTES = 1024 * 1024

_HTTP_STATUS_BY_CODE = {CODE_INVALID_ARGUMENT: 400, CODE_NOT_FOUND: 404}


class JsonGatewayError(Exception):
    """Error response of the JSON gateway.

    Parameters
    ----------
    code : int
        gRPC status code.
    message : str
        Description of the error.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code

    def response(self) -> web.Response:
        """Return the HTTP response that reports the error."""
        body = {"error": str(self), "code": self.code, "message": str(self)}
        return web.json_response(body, status=_HTTP_STATUS_BY_CODE[self.code])


def response_header(keyspace: Keyspace) -> dict[str, str]:
    """Return the header that every response carries."""
    return {
        "cluster_id": "1",
        "member_id": "1",
        "revision": str(keyspace.revision),
        "raft_term": str(keyspace.generation + 1),
    }


def key_range(body: Mapping[str, Any]) -> tuple[str, str]:
    """Return the bounds of the key range that a request selects.

    Returns
    -------
    start : str
        First key of the range.
    end : str
        First key after the range; empty if the range has no end.
    """
    start = decode_key(body["key"])
    if "range_end" not in body:
        return start, start + "\0"
    end = decode_key(body["range_end"])
    return start, "" if end == "\0" else end


def handle_range(keyspace: Keyspace, body: Mapping[str, Any]) -> dict[str, Any]:
    """Handle ``/v3/kv/range``."""
    found = keyspace.range(*key_range(body), limit=int(body.get("limit", 0)))
    reply: dict[str, Any] = {"header": response_header(keyspace)}
    if found.items:
        reply["kvs"] = [key_value_to_json(item) for item in found.items]
        reply["count"] = str(len(found.items))
    return reply


def handle_txn(keyspace: Keyspace, body: Mapping[str, Any]) -> dict[str, Any]:
    """Handle ``/v3/kv/txn`` as `EtcdStore` sends it: one nested transaction per write.

    Raises
    ------
    JsonGatewayError
        When the transaction has another form, changes a key twice, contains a value
        that is too large, or names an expired lease.
    """
    try:
        nested_txns = [operation["request_txn"] for operation in body["success"]]
        writes = [_parse_write(nested_txn) for nested_txn in nested_txns]
    except (KeyError, IndexError, ValueError, TypeError) as error:
        raise JsonGatewayError(
            CODE_INVALID_ARGUMENT, f"unsupported transaction: {error!r}"
        ) from error
    if len({write.key for write in writes}) != len(writes):
        raise JsonGatewayError(
            CODE_INVALID_ARGUMENT, "duplicate key given in txn request"
        )
    if any(len(write.value or b"") > VALUE_LIMIT_BYTES for write in writes):
        raise JsonGatewayError(CODE_INVALID_ARGUMENT, "request is too large")
    try:
        results = keyspace.apply(writes)
    except LeaseExpiredError as error:
        raise JsonGatewayError(CODE_NOT_FOUND, str(error)) from error
    responses = [_write_response(keyspace, result) for result in results]
    return {
        "header": response_header(keyspace),
        "succeeded": True,
        "responses": responses,
    }


def handle_lease_grant(keyspace: Keyspace, body: Mapping[str, Any]) -> dict[str, Any]:
    """Handle ``/v3/lease/grant``."""
    ttl_s = int(body["TTL"])
    lease_id = keyspace.grant_lease(ttl_s)
    return {"header": response_header(keyspace), "ID": str(lease_id), "TTL": str(ttl_s)}


def handle_lease_keepalive(
    keyspace: Keyspace, body: Mapping[str, Any]
) -> dict[str, Any]:
    """Handle ``/v3/lease/keepalive``; the reply for an expired lease has no TTL."""
    lease_id = int(body["ID"])
    result = {"header": response_header(keyspace), "ID": str(lease_id)}
    try:
        result["TTL"] = str(int(keyspace.renew_lease(lease_id)))
    except LeaseExpiredError:
        pass
    return {"result": result}


def handle_lease_revoke(keyspace: Keyspace, body: Mapping[str, Any]) -> dict[str, Any]:
    """Handle ``/v3/lease/revoke``."""
    try:
        keyspace.revoke_lease(int(body["ID"]))
    except LeaseExpiredError as error:
        raise JsonGatewayError(CODE_NOT_FOUND, str(error)) from error
    return {"header": response_header(keyspace)}


def watch_message(keyspace: Keyspace, batches: Sequence[WatchBatch]) -> bytes:
    """Return a line of a watch stream with the changes of some batches.

    Without batches, the line is a progress notification.
    """
    result: dict[str, Any] = {"header": response_header(keyspace), "watch_id": "0"}
    if batches:
        events = [_event_to_json(event) for batch in batches for event in batch.events]
        result["events"] = events
    return json.dumps({"result": result}).encode() + b"\n"


def _parse_write(nested_txn: Mapping[str, Any]) -> ConditionalWrite:
    condition = nested_txn["compare"][0]
    operation = nested_txn["success"][0]
    put = operation.get("request_put")
    change = put or operation["request_delete_range"]
    if condition["key"] != change["key"] or condition.get("target") != "MOD":
        raise ValueError(
            "unsupported condition, or condition and change have different keys"
        )
    return ConditionalWrite(
        key=decode_key(change["key"]),
        value=decode_bytes(put.get("value", "")) if put else None,
        expected_mod_revision=int(condition.get("mod_revision", 0)),
        lease_id=int(put.get("lease", 0)) if put else 0,
    )


def _write_response(keyspace: Keyspace, result: WriteResult) -> dict[str, Any]:
    header_fields = response_header(keyspace)
    if result.applied:
        operation: dict[str, Any] = {"response_put": {"header": header_fields}}
        nested_txn = {
            "header": header_fields,
            "succeeded": True,
            "responses": [operation],
        }
        return {"response_txn": nested_txn}
    kvs = _range_fields(result.current)
    operation = {"response_range": {"header": header_fields, **kvs}}
    return {"response_txn": {"header": header_fields, "responses": [operation]}}


def _range_fields(item: KeyValue | None) -> dict[str, Any]:
    return {"kvs": [key_value_to_json(item)], "count": "1"} if item else {}


def _event_to_json(event: WatchEvent) -> dict[str, Any]:
    if event.item is not None:
        return {"kv": key_value_to_json(event.item)}
    tombstone = {"key": encode_key(event.key), "mod_revision": str(event.revision)}
    return {"type": "DELETE", "kv": tombstone}
