"""Handlers of etcd v3's JSON gateway over a `Keyspace`."""

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
    "GatewayError",
    "event_message",
    "header",
    "key_bounds",
    "lease_grant",
    "lease_keepalive",
    "lease_revoke",
    "range_reply",
    "txn",
]

#: Largest value that the service holds.
VALUE_LIMIT_BYTES = 1024 * 1024

_HTTP_OF_CODE = {CODE_INVALID_ARGUMENT: 400, CODE_NOT_FOUND: 404}


class GatewayError(Exception):
    """Error that the gateway answers with, in its own form."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code

    def response(self) -> web.Response:
        """Return the HTTP response of the error."""
        body = {"error": str(self), "code": self.code, "message": str(self)}
        return web.json_response(body, status=_HTTP_OF_CODE[self.code])


def header(keyspace: Keyspace) -> dict[str, str]:
    """Return the header of a response."""
    return {
        "cluster_id": "1",
        "member_id": "1",
        "revision": str(keyspace.revision),
        "raft_term": str(keyspace.generation + 1),
    }


def key_bounds(body: Mapping[str, Any]) -> tuple[str, str]:
    """Return the first key and the first key after a chosen range."""
    start = decode_key(body["key"])
    if "range_end" not in body:
        return start, start + "\0"
    end = decode_key(body["range_end"])
    return start, "" if end == "\0" else end


def range_reply(keyspace: Keyspace, body: Mapping[str, Any]) -> dict[str, Any]:
    """Answer ``/v3/kv/range``."""
    found = keyspace.range(*key_bounds(body), limit=int(body.get("limit", 0)))
    reply: dict[str, Any] = {"header": header(keyspace)}
    if found.items:
        reply["kvs"] = [key_value_to_json(item) for item in found.items]
        reply["count"] = str(len(found.items))
    return reply


def txn(keyspace: Keyspace, body: Mapping[str, Any]) -> dict[str, Any]:
    """Answer ``/v3/kv/txn`` for the group form that the product sends."""
    try:
        nested = [operation["request_txn"] for operation in body["success"]]
        writes = [_write_of(inner) for inner in nested]
    except (KeyError, IndexError, ValueError, TypeError) as error:
        raise GatewayError(
            CODE_INVALID_ARGUMENT, f"unsupported transaction: {error!r}"
        ) from error
    if len({write.key for write in writes}) != len(writes):
        raise GatewayError(CODE_INVALID_ARGUMENT, "duplicate key given in txn request")
    if any(len(write.value or b"") > VALUE_LIMIT_BYTES for write in writes):
        raise GatewayError(CODE_INVALID_ARGUMENT, "request is too large")
    try:
        results = keyspace.apply(writes)
    except LeaseExpiredError as error:
        raise GatewayError(CODE_NOT_FOUND, str(error)) from error
    responses = [_txn_response(keyspace, result) for result in results]
    return {"header": header(keyspace), "succeeded": True, "responses": responses}


def lease_grant(keyspace: Keyspace, body: Mapping[str, Any]) -> dict[str, Any]:
    """Answer ``/v3/lease/grant``."""
    ttl_s = int(body["TTL"])
    lease_id = keyspace.grant_lease(ttl_s)
    return {"header": header(keyspace), "ID": str(lease_id), "TTL": str(ttl_s)}


def lease_keepalive(keyspace: Keyspace, body: Mapping[str, Any]) -> dict[str, Any]:
    """Answer ``/v3/lease/keepalive``; an expired lease has no TTL."""
    lease_id = int(body["ID"])
    result = {"header": header(keyspace), "ID": str(lease_id)}
    try:
        result["TTL"] = str(int(keyspace.renew_lease(lease_id)))
    except LeaseExpiredError:
        pass
    return {"result": result}


def lease_revoke(keyspace: Keyspace, body: Mapping[str, Any]) -> dict[str, Any]:
    """Answer ``/v3/lease/revoke``."""
    try:
        keyspace.revoke_lease(int(body["ID"]))
    except LeaseExpiredError as error:
        raise GatewayError(CODE_NOT_FOUND, str(error)) from error
    return {"header": header(keyspace)}


def event_message(keyspace: Keyspace, batches: Sequence[WatchBatch]) -> bytes:
    """Return the line of a watch that carries some changes, or none."""
    result: dict[str, Any] = {"header": header(keyspace), "watch_id": "0"}
    if batches:
        events = [_event_to_json(event) for batch in batches for event in batch.events]
        result["events"] = events
    return json.dumps({"result": result}).encode() + b"\n"


def _write_of(inner: Mapping[str, Any]) -> ConditionalWrite:
    condition = inner["compare"][0]
    operation = inner["success"][0]
    put = operation.get("request_put")
    change = put or operation["request_delete_range"]
    if condition["key"] != change["key"] or condition.get("target") != "MOD":
        raise ValueError("condition and change differ")
    return ConditionalWrite(
        key=decode_key(change["key"]),
        value=decode_bytes(put.get("value", "")) if put else None,
        expected_mod_revision=int(condition.get("mod_revision", 0)),
        lease_id=int(put.get("lease", 0)) if put else 0,
    )


def _txn_response(keyspace: Keyspace, result: WriteResult) -> dict[str, Any]:
    inner_header = header(keyspace)
    if result.applied:
        operation: dict[str, Any] = {"response_put": {"header": inner_header}}
        inner = {"header": inner_header, "succeeded": True, "responses": [operation]}
        return {"response_txn": inner}
    kvs = _kvs(result.current)
    operation = {"response_range": {"header": inner_header, **kvs}}
    return {"response_txn": {"header": inner_header, "responses": [operation]}}


def _kvs(item: KeyValue | None) -> dict[str, Any]:
    return {"kvs": [key_value_to_json(item)], "count": "1"} if item else {}


def _event_to_json(event: WatchEvent) -> dict[str, Any]:
    if event.item is not None:
        return {"kv": key_value_to_json(event.item)}
    gone = {"key": encode_key(event.key), "mod_revision": str(event.revision)}
    return {"type": "DELETE", "kv": gone}
