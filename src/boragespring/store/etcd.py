"""Key-value store over the public JSON gateway of etcd v3."""

import asyncio
import math
from collections.abc import AsyncGenerator, AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from attrs import frozen

from boragespring.http.bounded_reply import create_connector, read_body
from boragespring.http.client_session import create_session
from boragespring.json_document import parse_json
from boragespring.store.json_gateway import (
    CODE_INVALID_ARGUMENT,
    CODE_NOT_FOUND,
    batch_from_json,
    key_value_from_json,
    range_bounds,
    revision_from_json,
    txn_to_json,
    write_result_from_json,
)
from boragespring.store.store import (
    ConditionalWrite,
    GetResult,
    Lease,
    LeaseExpiredError,
    RangeResult,
    StoreError,
    StoreSteppedBackError,
    StoreUnavailableError,
    WatchBatch,
    WatchCompactedError,
    WriteOutcomeUnknownError,
    WriteResult,
)
from boragespring.store.text import encode_key

__all__ = ["MAX_WRITES_PER_CALL", "EtcdSettings", "EtcdStore"]

#: Maximum number of operations in one transaction; etcd's default limit.
MAX_WRITES_PER_CALL = 128

#: Maximum length of one line of a watch response. A line can hold several values of
#: up to 1 MB each, encoded as base64.
_WATCH_BUFFER_BYTES = 16 * 1024 * 1024

#: Maximum size of the reply to a call.
REPLY_MAX_BYTES = 16 * 2**20
_HTTP_OK = 200
#: gRPC status codes that show that a call was refused without being executed: invalid
#: argument, not found, resource exhausted, failed precondition, out of range,
#: unimplemented and unauthenticated.
_REFUSED_CODES = frozenset({CODE_INVALID_ARGUMENT, CODE_NOT_FOUND, 8, 9, 11, 12, 16})


@frozen
class EtcdSettings:
    """Addresses and timeouts of the key-value service.

    Parameters
    ----------
    urls : tuple of str
        Base URLs of the cluster members; after a failure the next one is tried.
    connect_timeout_s : float
        Timeout in seconds for opening a connection.
    call_timeout_s : float
        Timeout in seconds of one call to one member.
    silence_timeout_s : float
        Seconds after which a watch fails if it delivers neither a change nor a
        progress notification; the caller then opens a new one.
    """

    urls: tuple[str, ...]
    connect_timeout_s: float = 1.0
    call_timeout_s: float = 3.0
    silence_timeout_s: float = 10.0


class _RefusedError(StoreError):
    """The service refused a call without executing it."""

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.code = code


class EtcdStore:
    """`KeyValueStore` over the JSON gateway of etcd v3.

    Parameters
    ----------
    settings : EtcdSettings
        Addresses and timeouts.
    """

    def __init__(self, settings: EtcdSettings) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        self._first_url_index = 0

    async def get(self, key: str) -> GetResult:
        """Read one key."""
        reply = await self._read("/v3/kv/range", {"key": encode_key(key)})
        items = [key_value_from_json(kv) for kv in reply.get("kvs", [])]
        return GetResult(items[0] if items else None, revision_from_json(reply))

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """Read the keys under a prefix, at most ``limit`` of them; 0 for no limit."""
        body = range_bounds(prefix) | {"limit": str(limit)}
        reply = await self._read("/v3/kv/range", body)
        items = tuple(key_value_from_json(kv) for kv in reply.get("kvs", []))
        return RangeResult(items, revision_from_json(reply))

    async def write(self, write: ConditionalWrite) -> WriteResult:
        """Apply one conditional write."""
        return (await self.write_many([write]))[0]

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent conditional writes in one call."""
        if len(writes) > MAX_WRITES_PER_CALL:
            raise ValueError(f"{len(writes)} writes exceed {MAX_WRITES_PER_CALL}")
        reply = await self._write("/v3/kv/txn", txn_to_json(writes))
        revision = revision_from_json(reply)
        return tuple(
            write_result_from_json(response, revision)
            for response in reply.get("responses", [])
        )

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease of at least ``ttl_s``; the service counts in whole seconds."""
        reply = await self._write("/v3/lease/grant", {"TTL": str(math.ceil(ttl_s))})
        return Lease(lease_id=int(reply["ID"]), ttl_s=float(reply["TTL"]))

    async def renew_lease(self, lease_id: int) -> Lease:
        """Renew a lease; raise `LeaseExpiredError` if it has expired."""
        reply = await self._write("/v3/lease/keepalive", {"ID": str(lease_id)})
        ttl_s = float(reply["result"].get("TTL", 0))
        if ttl_s <= 0:
            raise LeaseExpiredError(f"lease {lease_id} has expired")
        return Lease(lease_id=lease_id, ttl_s=ttl_s)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        await self._write("/v3/lease/revoke", {"ID": str(lease_id)})

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes under a prefix in order, starting at a revision."""
        request = range_bounds(prefix) | {
            "start_revision": str(from_revision),
            "progress_notify": True,
        }
        async with self._open_watch({"create_request": request}) as response:
            _check_watch_created(
                await self._read_watch_result(response, prefix), from_revision
            )
            while True:
                result = await self._read_watch_result(response, prefix)
                for batch in batch_from_json(result):
                    yield batch

    async def close(self) -> None:
        """Close the connections to the service."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _rotated_urls(self) -> list[str]:
        urls = self._settings.urls
        first_index = self._first_url_index % len(urls)
        return [*urls[first_index:], *urls[:first_index]]

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # Each watch occupies a connection, so the pool size is not limited here.
            self._session = create_session(
                create_connector(limit=0),
                read_bufsize=_WATCH_BUFFER_BYTES,
            )
        return self._session

    def _call_timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=self._settings.call_timeout_s,
            sock_connect=self._settings.connect_timeout_s,
        )

    async def _post(self, url: str, path: str, body: Mapping[str, Any]) -> Any:
        async with self._get_session().post(
            url + path, json=body, timeout=self._call_timeout()
        ) as response:
            payload = await read_body(response, REPLY_MAX_BYTES)
            if response.status != _HTTP_OK:
                raise _error_from_response(response.status, payload)
            return parse_json(payload)

    async def _read(self, path: str, body: Mapping[str, Any]) -> Any:
        """Call the members in turn until one replies; reads are safe to retry."""
        failures: list[Exception] = []
        for url in self._rotated_urls():
            try:
                return await self._post(url, path, body)
            except (aiohttp.ClientError, TimeoutError, ValueError, StoreError) as error:
                failures.append(error)
                self._first_url_index += 1
        raise StoreUnavailableError(_describe_failures(path, failures)) from failures[
            -1
        ]

    async def _write(self, path: str, body: Mapping[str, Any]) -> Any:
        """Try the members in turn until one accepts a connection.

        The request is sent at most once, since a write must not be applied twice.
        """
        failures: list[Exception] = []
        for url in self._rotated_urls():
            try:
                return await self._post(url, path, body)
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ) as error:
                failures.append(error)
                self._first_url_index += 1
            except _RefusedError as error:
                if error.code == CODE_NOT_FOUND:
                    raise LeaseExpiredError(str(error)) from error
                raise StoreUnavailableError(f"{path}: {error}") from error
            except (aiohttp.ClientError, TimeoutError, ValueError, StoreError) as error:
                self._first_url_index += 1
                raise WriteOutcomeUnknownError(
                    _describe_failures(path, [error])
                ) from error
        raise StoreUnavailableError(_describe_failures(path, failures)) from failures[
            -1
        ]

    @asynccontextmanager
    async def _open_watch(
        self, body: Mapping[str, Any]
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        url = self._rotated_urls()[0]
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._settings.connect_timeout_s,
            sock_read=self._settings.silence_timeout_s,
        )
        try:
            async with self._get_session().post(
                url + "/v3/watch", json=body, timeout=timeout
            ) as response:
                if response.status != _HTTP_OK:
                    payload = await read_body(response, REPLY_MAX_BYTES)
                    raise _error_from_response(response.status, payload)
                yield response
        except (aiohttp.ClientError, TimeoutError, ValueError, _RefusedError) as error:
            # The next watch is opened at another member.
            self._first_url_index += 1
            raise StoreUnavailableError(
                _describe_failures("/v3/watch", [error])
            ) from error

    async def _read_watch_result(
        self, response: aiohttp.ClientResponse, prefix: str
    ) -> Mapping[str, Any]:
        async with asyncio.timeout(self._settings.silence_timeout_s):
            line = await response.content.readline()
        if not line:
            raise StoreUnavailableError(
                f"watch of {prefix!r} was closed by the service"
            )
        message = parse_json(line)
        if "result" not in message:
            raise StoreUnavailableError(f"watch of {prefix!r} failed: {message}")
        result: Mapping[str, Any] = message["result"]
        if result.get("canceled", False):
            raise _cancellation_error(result)
        return result


def _check_watch_created(result: Mapping[str, Any], from_revision: int) -> None:
    """Raise `StoreSteppedBackError` if the watch starts beyond the next revision.

    A service behind the caller has lost changes that the caller has seen, so it may
    reuse their revisions for other changes.
    """
    revision = revision_from_json(result)
    if from_revision > revision + 1:
        raise StoreSteppedBackError(f"the store is at revision {revision}")


def _cancellation_error(result: Mapping[str, Any]) -> StoreError:
    compacted_revision = int(result.get("compact_revision", 0))
    if compacted_revision:
        return WatchCompactedError(f"compacted at revision {compacted_revision}")
    return StoreUnavailableError(f"watch cancelled: {result.get('cancel_reason')}")


def _error_from_response(status: int, payload: bytes) -> StoreError:
    try:
        body = parse_json(payload)
        code, text = int(body.get("code", 0)), str(body.get("message", ""))
    except (ValueError, AttributeError):
        code, text = 0, payload[:200].decode(errors="replace")
    message = f"HTTP {status}: {text}"
    if code in _REFUSED_CODES:
        return _RefusedError(message, code)
    return StoreError(message)


def _describe_failures(path: str, failures: Sequence[Exception]) -> str:
    details = "; ".join(f"{type(error).__name__}: {error}" for error in failures)
    return f"{path}: {details}"
