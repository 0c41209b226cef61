"""Emulated HTTP store of the platform, with injectable faults."""

import asyncio
import base64
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import Any

from aiohttp import web
from attrs import define, field

from boragespring.platform import names
from boragespring.store.keyspace import Keyspace
from boragespring.store.store import (
    ConditionalWrite,
    KeyValue,
    LeaseExpiredError,
    WatchCompactedError,
)
from boragespring.store.text import prefix_end

__all__ = ["EmulatedStore", "StoreMode"]

_LOOPBACK = "127.0.0.1"
_READ_ONLY_PREFIXES = ("op/", "servers/")
_PAGE_SIZE = 50

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoreMode(Enum):
    """How the store responds to calls."""

    SERVING = auto()
    #: Responds with 503.
    BUSY = auto()
    #: Responds with 429.
    REFUSING = auto()
    #: Resets the connection.
    RESETTING = auto()
    #: Never responds.
    SILENT = auto()


@define(eq=False)
class EmulatedStore:
    """HTTP server of the store.

    Parameters
    ----------
    keyspace : Keyspace
        Content of the store.
    mode : StoreMode
        How the store responds to calls.
    delay_s : float
        Delay of each call in seconds.
    lost_writes : int
        Number of upcoming writes that are applied but whose reply is lost.
    lost_write_delay_s : float
        Delay before such a write is applied, in seconds.
    calls_per_s : float
        Rate limit; calls beyond it get status 429.
    rate_limited_calls : int
        Number of calls that got status 429 so far.
    calls : Counter of str
        Number of calls so far, by the first segment of the path.
    port : int
        Port that it listens on; 0 before the start.
    """

    keyspace: Keyspace = field(factory=Keyspace)
    mode: StoreMode = StoreMode.SERVING
    delay_s: float = 0.0
    lost_writes: int = 0
    lost_write_delay_s: float = 0.0
    calls_per_s: float = float("inf")
    rate_limited_calls: int = 0
    calls: Counter[str] = field(factory=Counter)
    port: int = 0
    _runner: web.AppRunner | None = None
    _pending_writes: set["asyncio.Task[None]"] = field(factory=set)
    _call_times_s: deque[float] = field(factory=deque)

    @property
    def address(self) -> str:
        """Host and port of the server."""
        return f"{_LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Start listening; `port` holds the port in use."""
        app = web.Application(middlewares=[self._apply_mode])
        app.router.add_get("/kv-key", self._handle_get)
        app.router.add_get("/kv-range", self._handle_range)
        app.router.add_get("/kv-watch", self._handle_watch)
        app.router.add_post("/kv-txn", self._handle_write)
        app.router.add_post("/kv-lease", self._handle_grant)
        app.router.add_post("/kv-keep/{lease}", self._handle_renew)
        app.router.add_delete("/kv-lease-end/{lease}", self._handle_revoke)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        await self._runner.setup()
        await web.TCPSite(self._runner, _LOOPBACK, self.port).start()
        self.port = int(self._runner.addresses[0][1])

    async def stop(self) -> None:
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Write a key unconditionally, bypassing the HTTP interface.

        Returns
        -------
        int
            Revision of the write.
        """
        current = self.keyspace.get(key).item
        expected = current.mod_revision if current else 0
        write = ConditionalWrite(key, value, expected, lease_id)
        return self.keyspace.apply([write])[0].revision

    def remove(self, key: str) -> None:
        """Remove a key unconditionally, bypassing the HTTP interface."""
        current = self.keyspace.get(key).item
        if current is not None:
            self.keyspace.apply([ConditionalWrite(key, None, current.mod_revision)])

    @web.middleware
    async def _apply_mode(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self.calls[request.path.split("/")[1]] += 1
        response = await self._respond(request, handler)
        if not response.prepared:
            response.headers[names.STORE_ERA] = str(1 + self.keyspace.generation)
        return response

    async def _respond(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if self.mode is StoreMode.BUSY:
            return web.json_response({}, status=503)
        if self.mode is StoreMode.REFUSING or self._is_over_rate():
            self.rate_limited_calls += 1
            return web.json_response({}, status=429)
        if self.mode is StoreMode.RESETTING:
            return _reset_connection(request)
        if self.mode is StoreMode.SILENT:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        return await handler(request)

    def _is_over_rate(self) -> bool:
        now_s = time.monotonic()
        while self._call_times_s and self._call_times_s[0] < now_s - 1.0:
            self._call_times_s.popleft()
        if len(self._call_times_s) >= self.calls_per_s:
            return True
        self._call_times_s.append(now_s)
        return False

    async def _handle_get(self, request: web.Request) -> web.Response:
        result = self.keyspace.get(request.query["key"])
        if result.item is None:
            return web.json_response({"current_rev": result.revision}, status=404)
        body = {**_item_document(result.item), "current_rev": result.revision}
        return web.json_response(body)

    async def _handle_range(self, request: web.Request) -> web.Response:
        prefix = request.query.get("path_prefix", "")
        after_key = request.query.get("after_revision", "")
        start_key = after_key + "\0" if after_key else prefix
        found = self.keyspace.range(start_key, prefix_end(prefix) if prefix else "")
        page = found.items[:_PAGE_SIZE]
        return web.json_response(
            {
                "items": [_item_document(item) for item in page],
                "has_more": len(found.items) > len(page),
                "current_rev": found.revision,
            }
        )

    async def _handle_watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get("path_prefix", "")
        after_revision = int(request.query["after_revision"])
        deadline_s = time.monotonic() + int(request.query["wait_ms"]) / 1000
        end_key = prefix_end(prefix) if prefix else ""
        if after_revision > self.keyspace.revision:
            return web.json_response({}, status=410)
        generation = self.keyspace.generation
        while True:
            try:
                batches = self.keyspace.events_from(prefix, end_key, after_revision + 1)
            except WatchCompactedError:
                return web.json_response({}, status=410)
            remaining_s = deadline_s - time.monotonic()
            if batches or remaining_s <= 0:
                break
            await self.keyspace.wait_for_change(remaining_s)
            is_restored = self.keyspace.generation != generation
            if self.mode is not StoreMode.SERVING or is_restored:
                return _reset_connection(request)
        events = [
            _item_document(event.item)
            if event.item is not None
            else {"key": event.key, "revision": event.revision, "removed": True}
            for batch in batches
            for event in batch.events
        ]
        return web.json_response(
            {"events": events, "current_rev": self.keyspace.revision}
        )

    async def _handle_write(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        writes = _parse_writes(body)
        if any(write.key.startswith(_READ_ONLY_PREFIXES) for write in writes):
            return web.json_response({}, status=403)
        if self.lost_writes:
            self.lost_writes -= 1
            task = asyncio.create_task(self._apply_lost_writes(writes))
            self._pending_writes.add(task)
            task.add_done_callback(self._pending_writes.discard)
            await asyncio.sleep(0)
            return _reset_connection(request)
        try:
            results = self.keyspace.apply(writes)
        except LeaseExpiredError:
            return web.json_response({}, status=404)
        if all(result.applied for result in results):
            return web.json_response({"revision": results[0].revision})
        current = [
            _item_document(result.current) for result in results if result.current
        ]
        revision = self.keyspace.revision
        body = {"items": current, "current_rev": revision}
        return web.json_response(body, status=412)

    async def _apply_lost_writes(self, writes: list[ConditionalWrite]) -> None:
        if self.lost_write_delay_s:
            await asyncio.sleep(self.lost_write_delay_s)
        self.keyspace.apply(writes)

    async def _handle_grant(self, request: web.Request) -> web.Response:
        ttl_ms = int((await request.json())["ttl_ms"])
        lease = self.keyspace.grant_lease(ttl_ms / 1000)
        return web.json_response({"lease": lease, "ttl_ms": ttl_ms})

    async def _handle_renew(self, request: web.Request) -> web.Response:
        try:
            ttl_s = self.keyspace.renew_lease(int(request.match_info["lease"]))
        except LeaseExpiredError:
            return web.json_response({}, status=404)
        return web.json_response({"ttl_ms": round(ttl_s * 1000)})

    async def _handle_revoke(self, request: web.Request) -> web.Response:
        try:
            self.keyspace.revoke_lease(int(request.match_info["lease"]))
        except LeaseExpiredError:
            return web.json_response({}, status=404)
        return web.json_response({})


def _reset_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _item_document(item: KeyValue) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.mod_revision,
        "created": item.create_revision,
        "lease": item.lease_id,
    }


def _parse_writes(body: dict[str, Any]) -> list[ConditionalWrite]:
    puts = {row["key"]: row for row in body.get("puts", ())}
    return [
        ConditionalWrite(
            key=row["key"],
            value=(
                base64.b64decode(puts[row["key"]]["value"])
                if row["key"] in puts
                else None
            ),
            expected_mod_revision=row["revision"],
            lease_id=puts.get(row["key"], {}).get("lease", 0),
        )
        for row in body["expected_revision"]
    ]
