"""Stand-in for the platform: key-value service, instance list and weight store."""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import cattrs
import xxhash
from aiohttp import web
from attrs import define

from boragespring.standins import json_gateway
from boragespring.store.instances import Instance
from boragespring.store.instances_http import instances_from_json, instances_to_json
from boragespring.store.keyspace import Keyspace
from boragespring.store.memory_store import StoreFaults
from boragespring.store.store import WatchCompactedError

__all__ = ["StoreStandIn", "StoreStandInSettings"]

_REQUEST_MAX_BYTES = 32 * 1024 * 1024
_LOOPBACK = "127.0.0.1"

RpcHandler = Callable[[Keyspace, Mapping[str, Any]], dict[str, Any]]


@define
class StoreStandInSettings:
    """Settings of the stand-in for the platform.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 selects a free one.
    progress_interval_s : float
        Interval in seconds between progress notifications on idle watches.
    instances_lag_s : float
        Delay in seconds until a change of the instance list becomes visible.
    weight_loads_per_s : float
        Rate at which the weight store permits model loads, per second.
    """

    host: str = _LOOPBACK
    port: int = 0
    progress_interval_s: float = 1.0
    instances_lag_s: float = 0.0
    weight_loads_per_s: float = 1.0


class StoreStandIn:
    """HTTP server that stands in for the platform in tests and demos.

    Parameters
    ----------
    settings : StoreStandInSettings or None
        Settings; None uses the defaults.
    clock : callable, default=time.monotonic
        Monotonic clock in seconds.

    Attributes
    ----------
    keyspace : Keyspace
        State of the key-value service.
    faults : StoreFaults
        Injected faults; ``POST /faults`` changes them.
    calls : Counter
        Number of calls by path.
    """

    def __init__(
        self,
        settings: StoreStandInSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings or StoreStandInSettings()
        self.keyspace = Keyspace(clock)
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self._clock = clock
        self._instance_versions: list[tuple[float, tuple[Instance, ...]]] = [
            (float("-inf"), ())
        ]
        self._next_load_at_s = clock()
        self._runner: web.AppRunner | None = None
        self._port = self.settings.port
        self._is_stopping = False

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.settings.host}:{self._port}"

    async def start(self) -> None:
        """Start to listen; after `stop`, on the same port as before."""
        app = web.Application(client_max_size=_REQUEST_MAX_BYTES)
        app.add_routes(
            [
                web.post("/v3/kv/range", self._rpc_handler(json_gateway.handle_range)),
                web.post(
                    "/v3/kv/txn",
                    self._rpc_handler(json_gateway.handle_txn, can_lose_reply=True),
                ),
                web.post(
                    "/v3/lease/grant",
                    self._rpc_handler(json_gateway.handle_lease_grant),
                ),
                web.post(
                    "/v3/lease/keepalive",
                    self._rpc_handler(json_gateway.handle_lease_keepalive),
                ),
                web.post(
                    "/v3/lease/revoke",
                    self._rpc_handler(json_gateway.handle_lease_revoke),
                ),
                web.post("/v3/watch", self._handle_watch),
                web.get("/instances", self._handle_get_instances),
                web.put("/instances", self._handle_put_instances),
                web.post("/weights/{name}", self._handle_weight_load),
                web.post("/faults", self._handle_post_faults),
                web.get("/calls", self._handle_get_calls),
            ]
        )
        self._is_stopping = False
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.settings.host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop the server and close its connections, but keep its state."""
        if self._runner is not None:
            # Open watches see the flag and end on their own, so that the cleanup does
            # not have to cancel them.
            self._is_stopping = True
            self.keyspace.wake()
            await self._runner.cleanup()
            self._runner = None

    def put_instances(self, instances: tuple[Instance, ...]) -> None:
        """Set the instance list, which becomes visible after ``instances_lag_s``."""
        self._instance_versions.append((self._clock(), instances))

    def _rpc_handler(
        self, rpc: RpcHandler, can_lose_reply: bool = False
    ) -> Callable[[web.Request], Any]:
        async def handle(request: web.Request) -> web.StreamResponse:
            body = await self._receive_call(request)
            try:
                reply = rpc(self.keyspace, body)
            except json_gateway.JsonGatewayError as error:
                return error.response()
            if can_lose_reply and self.faults.lost_answers:
                self.faults.lost_answers -= 1
                _abort_connection(request)
            return web.json_response(reply)

        return handle

    async def _receive_call(self, request: web.Request) -> Any:
        self.calls[request.path] += 1
        body = await request.json()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            _abort_connection(request)
        return body

    async def _handle_watch(self, request: web.Request) -> web.StreamResponse:
        body = (await self._receive_call(request))["create_request"]
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        await response.write(
            _result_line(
                {"header": json_gateway.response_header(self.keyspace), "created": True}
            )
        )
        try:
            await self._stream_changes(request, response, body)
        except WatchCompactedError as error:
            cancelled = {
                "header": json_gateway.response_header(self.keyspace),
                "canceled": True,
                "compact_revision": str(self.keyspace.compacted_revision),
                "cancel_reason": str(error),
            }
            await response.write(_result_line(cancelled))
        except ConnectionError:
            # The watcher has closed its connection, so there is nobody to notify.
            pass
        return response

    async def _stream_changes(
        self, request: web.Request, response: web.StreamResponse, body: Any
    ) -> None:
        start, end = json_gateway.key_range(body)
        generation = self.keyspace.generation
        next_progress_s = self._clock() + self.settings.progress_interval_s
        next_revision = int(body.get("start_revision", 0)) or self.keyspace.revision + 1
        while True:
            if (
                self._is_stopping
                or self.faults.down
                or generation != self.keyspace.generation
            ):
                _abort_connection(request)
            batches = self.keyspace.events_from(start, end, next_revision)
            next_revision = max(next_revision, self.keyspace.revision + 1)
            now_s = self._clock()
            is_due = batches or now_s >= next_progress_s
            if is_due and not self.faults.silent_watches:
                next_progress_s = now_s + self.settings.progress_interval_s
                await response.write(json_gateway.watch_message(self.keyspace, batches))
            if next_revision > self.keyspace.revision and not self._is_stopping:
                await self.keyspace.wait_for_change(self.settings.progress_interval_s)

    async def _handle_get_instances(self, request: web.Request) -> web.Response:
        self.calls[request.path] += 1
        if self.faults.down:
            _abort_connection(request)
        horizon_s = self._clock() - self.settings.instances_lag_s
        visible = [
            instances
            for put_at_s, instances in self._instance_versions
            if put_at_s <= horizon_s
        ]
        body = json.dumps(instances_to_json(visible[-1])).encode()
        etag = xxhash.xxh64_hexdigest(body)
        if any(candidate.value == etag for candidate in request.if_none_match or ()):
            raise web.HTTPNotModified(headers={"ETag": f'"{etag}"'})
        response = web.Response(body=body, content_type="application/json")
        response.etag = etag
        response.enable_compression()
        return response

    async def _handle_put_instances(self, request: web.Request) -> web.Response:
        try:
            self.put_instances(instances_from_json(await request.json()))
        except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        return web.json_response({})

    async def _handle_weight_load(self, request: web.Request) -> web.Response:
        self.calls["/weights"] += 1
        now_s = self._clock()
        if now_s < self._next_load_at_s:
            delay_s = self._next_load_at_s - now_s
            raise web.HTTPTooManyRequests(headers={"Retry-After": f"{delay_s:.3f}"})
        self._next_load_at_s = now_s + 1.0 / self.settings.weight_loads_per_s
        return web.json_response({"name": request.match_info["name"]})

    async def _handle_post_faults(self, request: web.Request) -> web.Response:
        """Set faults by field name.

        ``restore_revision`` resets the store to an earlier revision, and
        ``instances_lag_s`` changes the delay of the instance list.
        """
        body = await request.json()
        fault_names = {field.name for field in attrs.fields(StoreFaults)}
        unknown = body.keys() - fault_names - {"restore_revision", "instances_lag_s"}
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown faults: {sorted(unknown)}")
        for name in fault_names & body.keys():
            setattr(self.faults, name, body[name])
        if "restore_revision" in body:
            self.keyspace.restore(int(body["restore_revision"]))
        if "instances_lag_s" in body:
            self.settings.instances_lag_s = float(body["instances_lag_s"])
        return web.json_response(attrs.asdict(self.faults))

    async def _handle_get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def _result_line(result: Mapping[str, Any]) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"


def _abort_connection(request: web.Request) -> None:
    """Abort the connection without a reply and end the handler."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError
