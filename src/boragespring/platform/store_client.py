"""HTTP client for the platform's key-value store."""

import asyncio
import base64
import binascii
import contextlib
from collections.abc import AsyncGenerator, Callable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

import aiohttp
from absl import logging
from attrs import frozen

from boragespring.external_values import (
    UnusableValueError,
    check_integer,
    check_number,
    check_text,
)
from boragespring.http.bounded_reply import (
    NotConnectedError,
    create_connector,
    read_body,
)
from boragespring.http.client_session import create_session
from boragespring.json_document import parse_json
from boragespring.platform import names
from boragespring.platform.sockets import create_socket
from boragespring.store.store import (
    ConditionalWrite,
    GetResult,
    KeyValue,
    Lease,
    LeaseExpiredError,
    RangeResult,
    StoreError,
    StoreUnavailableError,
    WatchBatch,
    WatchCompactedError,
    WatchEvent,
    WriteOutcomeUnknownError,
    WriteResult,
)

__all__ = ["PlatformStore", "PlatformStoreSettings"]

#: Maximum size of a reply. A page of a range holds 1 MB of values, before encoding.
BODY_MAX_BYTES = 8 * 2**20
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONDITION_FAILED = 412
_REFUSED_STATUSES = (429, 503)
#: Number of characters of an error that are kept.
REASON_MAX_CHARACTERS = 300


@frozen
class PlatformStoreSettings:
    """Address of the store and timeouts of calls, in seconds.

    Parameters
    ----------
    url : str
        Base URL of the store.
    connect_timeout_s : float
        Timeout for establishing a connection.
    call_timeout_s : float
        Timeout for a call other than a watch.
    poll_timeout_s : float
        Time after which the store answers a long poll without changes.
    poll_timeout_margin_s : float
        Extra time to wait for the answer to a long poll before it counts as
        failed.
    """

    url: str
    connect_timeout_s: float = 0.5
    call_timeout_s: float = 1.5
    poll_timeout_s: float = 2.0
    poll_timeout_margin_s: float = 0.7


class _StoreReply(NamedTuple):
    """Reply of the store with the era in which it was given."""

    status: int
    body: Mapping[str, Any]
    era: int


class PlatformStore:
    """Implementation of `KeyValueStore` on the platform's HTTP interface.

    Parameters
    ----------
    settings : PlatformStoreSettings
        Address of the store and timeouts.
    """

    def __init__(self, settings: PlatformStoreSettings) -> None:
        self._settings = settings
        #: Returns the timeout of the next long poll, given whether the previous
        #: one returned changes.
        self.next_poll_timeout_s: Callable[[bool], float] = lambda _: (
            settings.poll_timeout_s
        )
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> GetResult:
        """Read one key."""
        status, body, _ = await self._read("/kv-key", {"key": key})
        with _reading("/kv-key"):
            item = None if status == _NOT_FOUND else _parse_item(body)
            return GetResult(item, _parse_revision(body, 0))

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """Read the keys under a prefix, page by page."""
        items: list[KeyValue] = []
        first_page_revision = 0
        era = 0
        after = ""
        while True:
            query = {"path_prefix": prefix}
            if after:
                # Despite its name, this parameter takes the last key of the
                # previous page.
                query["after_revision"] = after
            _, body, page_era = await self._read("/kv-range", query)
            if after and page_era != era:
                raise StoreUnavailableError("the store began an era while it was read")
            era = page_era
            # The pages are not read at one revision. A watch that starts at the
            # revision of the first page misses no change.
            with _reading("/kv-range"):
                first_page_revision = first_page_revision or _parse_revision(body, 0)
                page = list(map(_parse_item, _parse_objects(body, "items")))
            items += page
            if limit and len(items) >= limit:
                return RangeResult(tuple(items[:limit]), first_page_revision, era)
            if not body.get("has_more"):
                return RangeResult(tuple(items), first_page_revision, era)
            if not page:
                raise StoreUnavailableError("/kv-range: a page without a usable key")
            after = page[-1].key

    async def write(self, write: ConditionalWrite) -> WriteResult:
        """Apply one conditional write."""
        puts = (
            []
            if write.value is None
            else [
                {
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                    "lease": write.lease_id,
                }
            ]
        )
        condition = {"key": write.key, "revision": write.expected_mod_revision}
        request = {
            "expected_revision": [condition],
            "puts": puts,
            "remove": [write.key] if write.value is None else [],
        }
        status, body, _ = await self._mutate("POST", "/kv-txn", request)
        if status == _NOT_FOUND:
            raise LeaseExpiredError(
                f"lease {write.lease_id} of key {write.key} does not exist"
            )
        if status == _CONDITION_FAILED:
            with _reading("/kv-txn"):
                current_items = list(map(_parse_item, _parse_objects(body, "items")))
                revision = _parse_revision(body, 0)
            current_item = next(
                (item for item in current_items if item.key == write.key), None
            )
            return WriteResult(False, revision, current_item)
        with _reading("/kv-txn", WriteOutcomeUnknownError):
            return WriteResult(True, _parse_revision_number(body.get("revision", 0)))

    async def write_many(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply several independent writes, each in a call of its own.

        The platform applies the writes of one call atomically: if one condition
        fails, none takes effect.
        """
        return tuple(await asyncio.gather(*map(self.write, writes)))

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease."""
        request = {"ttl_ms": round(ttl_s * 1000)}
        _, body, era = await self._mutate("POST", "/kv-lease", request)
        with _reading("/kv-lease"):
            return Lease(int(body["lease"]), _parse_ttl_s(body), era)

    async def renew_lease(self, lease_id: int) -> Lease:
        """Renew a lease; raise `LeaseExpiredError` if it no longer exists."""
        status, body, era = await self._mutate("POST", f"/kv-keep/{lease_id}", None)
        if status == _NOT_FOUND:
            raise LeaseExpiredError(f"lease {lease_id} does not exist")
        with _reading("/kv-keep"):
            return Lease(lease_id, _parse_ttl_s(body), era)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        await self._mutate("DELETE", f"/kv-lease-end/{lease_id}", None)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield changes under a prefix from a revision on, by long polling."""
        after_revision = from_revision - 1
        had_changes = True
        while True:
            poll_timeout_s = self.next_poll_timeout_s(had_changes)
            query = {
                "path_prefix": prefix,
                "after_revision": str(after_revision),
                "wait_ms": str(round(poll_timeout_s * 1000)),
            }
            timeout_s = poll_timeout_s + self._settings.poll_timeout_margin_s
            status, body, era = await self._read("/kv-watch", query, timeout_s)
            if status == _GONE:
                raise WatchCompactedError(f"no history after revision {after_revision}")
            with _reading("/kv-watch"):
                after_revision = _parse_revision(body, after_revision)
                events = tuple(map(_parse_event, _parse_objects(body, "events")))
            had_changes = bool(events)
            yield WatchBatch(after_revision, events, era)

    async def close(self) -> None:
        """Close all connections to the store."""
        if self._session is not None:
            await self._session.close()

    async def _read(
        self, path: str, query: Mapping[str, str], timeout_s: float | None = None
    ) -> "_StoreReply":
        try:
            reply = await self._call("GET", path, query, None, timeout_s)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise StoreUnavailableError(f"{path}: {_describe(error)}") from error
        if reply.status in (_OK, _NOT_FOUND, _GONE):
            return reply
        raise StoreUnavailableError(f"{path}: status {reply.status}")

    async def _mutate(self, method: str, path: str, request: object) -> "_StoreReply":
        try:
            reply = await self._call(method, path, {}, request, None)
        except (aiohttp.ClientConnectorError, NotConnectedError) as error:
            raise StoreUnavailableError(f"{path}: {_describe(error)}") from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise WriteOutcomeUnknownError(f"{path}: {_describe(error)}") from error
        if reply.status in _REFUSED_STATUSES:
            raise StoreUnavailableError(f"{path}: status {reply.status}")
        if reply.status in (_OK, _NOT_FOUND, _CONDITION_FAILED):
            return reply
        raise StoreError(f"{path}: status {reply.status}")

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        request: object,
        timeout_s: float | None,
    ) -> "_StoreReply":
        total_s = timeout_s or self._settings.call_timeout_s
        async with self._get_session().request(
            method,
            self._settings.url + path,
            params=query,
            json=request,
            timeout=aiohttp.ClientTimeout(
                total=total_s, sock_connect=self._settings.connect_timeout_s
            ),
        ) as response:
            return _StoreReply(
                response.status,
                _parse_object(await read_body(response, BODY_MAX_BYTES)),
                _parse_era(response.headers.get(names.STORE_ERA)),
            )

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = create_connector(socket_factory=create_socket, limit=0)
            self._session = create_session(connector)
        return self._session


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__} {error}".strip()


def _parse_object(data: bytes) -> Mapping[str, Any]:
    """Parse a JSON object; raise `ValueError` if it is anything else."""
    if not data:
        return {}
    body = parse_json(data)
    if not isinstance(body, dict):
        raise ValueError(f"expected a JSON object, found {type(body).__name__}")
    return body


@contextlib.contextmanager
def _reading(
    path: str, error_class: type[StoreError] = StoreUnavailableError
) -> Iterator[None]:
    """Raise an error of the store if a part of a reply cannot be read."""
    try:
        yield
    except (LookupError, TypeError, ValueError, OverflowError) as error:
        reason = f"{path}: unreadable reply: {error!r}"
        raise error_class(reason[:REASON_MAX_CHARACTERS]) from error


def _parse_objects(body: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    """Return the objects in a field that have a usable key; absent ones are none."""
    objects = body.get(name)
    return list(filter(_has_usable_key, objects)) if isinstance(objects, list) else []


def _has_usable_key(entry: Mapping[str, Any]) -> bool:
    """Return whether a key can be sent; one of another writer may not be a text."""
    try:
        check_text(entry["key"])
    except UnusableValueError as error:
        logging.warning("event=store_key_unusable reason=%s", error)
        return False
    return True


def _parse_ttl_s(body: Mapping[str, Any]) -> float:
    return check_number(body["ttl_ms"], low=1.0) / 1000


def _parse_era(text: str | None) -> int:
    """Return the era of a reply; 0 for a store that has no eras."""
    if text is None:
        return 0
    return int(text)


def _parse_revision(body: Mapping[str, Any], default: int) -> int:
    return _parse_revision_number(body.get("current_rev", default))


def _parse_revision_number(value: Any) -> int:
    """Return a revision that messages between gateways can carry."""
    return check_integer(int(value))


def _parse_item(entry: Mapping[str, Any]) -> KeyValue:
    return KeyValue(
        key=str(entry["key"]),
        value=_decode_value(entry.get("value")),
        create_revision=_parse_revision_number(entry.get("created", 0)),
        mod_revision=_parse_revision_number(entry["revision"]),
        lease_id=int(entry.get("lease") or 0),
    )


def _decode_value(text: object) -> bytes:
    """Decode a base64 value.

    Malformed input yields an empty value, which every reader rejects.
    """
    if not isinstance(text, str):
        return b""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b""


def _parse_event(entry: Mapping[str, Any]) -> WatchEvent:
    item = None if entry.get("removed") else _parse_item(entry)
    revision = _parse_revision_number(entry["revision"])
    return WatchEvent(str(entry["key"]), item, revision)
