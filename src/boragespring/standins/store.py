"""Stand-in server for the platform: key-value service, instances, weights."""

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

_REQUEST_LIMIT_BYTES = 32 * 1024 * 1024
_LOOPBACK = "127.0.0.1"

Reply = Callable[[Keyspace, Mapping[str, Any]], dict[str, Any]]


@define
class StoreStandInSettings:
    """Behaviour of the stand-in.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 takes a free one.
    progress_interval_s : float
        Interval of progress notices on idle watches.
    instances_lag_s : float
        Age that a change of the instance list needs before it is shown.
    weight_loads_per_s : float
        Rate of loads that the weight store permits.
    """

    host: str = _LOOPBACK
    port: int = 0
    progress_interval_s: float = 1.0
    instances_lag_s: float = 0.0
    weight_loads_per_s: float = 1.0


class StoreStandIn:
    """HTTP server that takes the platform's place in tests and demos.

    Parameters
    ----------
    settings : StoreStandInSettings or None
        Behaviour; None for the defaults.
    clock : callable, default=time.monotonic
        Source of time in seconds.

    Attributes
    ----------
    keyspace : Keyspace
        State of the key-value service.
    faults : StoreFaults
        Faults in force; also set by ``POST /faults``.
    calls : Counter
        Calls by path.
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
        self._instances: list[tuple[float, tuple[Instance, ...]]] = [
            (float("-inf"), ())
        ]
        self._next_load_s = clock()
        self._runner: web.AppRunner | None = None
        self._port = self.settings.port
        self._stopping = False

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.settings.host}:{self._port}"

    async def start(self) -> None:
        """Listen; after `stop`, on the same port as before."""
        app = web.Application(client_max_size=_REQUEST_LIMIT_BYTES)
        app.add_routes(
            [
                web.post("/v3/kv/range", self._handler(json_gateway.range_reply)),
                web.post(
                    "/v3/kv/txn", self._handler(json_gateway.txn, loses_answer=True)
                ),
                web.post("/v3/lease/grant", self._handler(json_gateway.lease_grant)),
                web.post(
                    "/v3/lease/keepalive", self._handler(json_gateway.lease_keepalive)
                ),
                web.post("/v3/lease/revoke", self._handler(json_gateway.lease_revoke)),
                web.post("/v3/watch", self._watch),
                web.get("/instances", self._get_instances),
                web.put("/instances", self._put_instances),
                web.post("/weights/{name}", self._start_load),
                web.post("/faults", self._post_faults),
                web.get("/calls", self._get_calls),
            ]
        )
        self._stopping = False
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.settings.host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the connections and refuse new ones; the state stays."""
        if self._runner is not None:
            # Open watches end by themselves, so that none has to be cancelled.
            self._stopping = True
            self.keyspace.wake()
            await self._runner.cleanup()
            self._runner = None

    def put_instances(self, instances: tuple[Instance, ...]) -> None:
        """Set the instance list, shown after its lag."""
        self._instances.append((self._clock(), instances))

    def _handler(
        self, reply: Reply, loses_answer: bool = False
    ) -> Callable[[web.Request], Any]:
        async def handle(request: web.Request) -> web.StreamResponse:
            body = await self._enter(request)
            try:
                answer = reply(self.keyspace, body)
            except json_gateway.GatewayError as error:
                return error.response()
            if loses_answer and self.faults.lost_answers:
                self.faults.lost_answers -= 1
                _cut_off(request)
            return web.json_response(answer)

        return handle

    async def _enter(self, request: web.Request) -> Any:
        self.calls[request.path] += 1
        body = await request.json()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            _cut_off(request)
        return body

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = (await self._enter(request))["create_request"]
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        await response.write(
            _line({"header": json_gateway.header(self.keyspace), "created": True})
        )
        try:
            await self._stream_changes(request, response, body)
        except WatchCompactedError as error:
            cancelled = {
                "header": json_gateway.header(self.keyspace),
                "canceled": True,
                "compact_revision": str(self.keyspace.compacted_revision),
                "cancel_reason": str(error),
            }
            await response.write(_line(cancelled))
        except ConnectionError:
            # The watcher has closed its connection; nobody is left to tell.
            pass
        return response

    async def _stream_changes(
        self, request: web.Request, response: web.StreamResponse, body: Any
    ) -> None:
        start, end = json_gateway.key_bounds(body)
        generation = self.keyspace.generation
        next_notice_s = self._clock() + self.settings.progress_interval_s
        position = int(body.get("start_revision", 0)) or self.keyspace.revision + 1
        while True:
            if (
                self._stopping
                or self.faults.down
                or generation != self.keyspace.generation
            ):
                _cut_off(request)
            batches = self.keyspace.events_from(start, end, position)
            position = max(position, self.keyspace.revision + 1)
            now_s = self._clock()
            due = batches or now_s >= next_notice_s
            if due and not self.faults.silent_watches:
                next_notice_s = now_s + self.settings.progress_interval_s
                await response.write(json_gateway.event_message(self.keyspace, batches))
            if position > self.keyspace.revision and not self._stopping:
                await self.keyspace.wait_for_change(self.settings.progress_interval_s)

    async def _get_instances(self, request: web.Request) -> web.Response:
        self.calls[request.path] += 1
        if self.faults.down:
            _cut_off(request)
        shown_s = self._clock() - self.settings.instances_lag_s
        shown = [listed for put_s, listed in self._instances if put_s <= shown_s]
        body = json.dumps(instances_to_json(shown[-1])).encode()
        tag = xxhash.xxh64_hexdigest(body)
        if any(known.value == tag for known in request.if_none_match or ()):
            raise web.HTTPNotModified(headers={"ETag": f'"{tag}"'})
        response = web.Response(body=body, content_type="application/json")
        response.etag = tag
        response.enable_compression()
        return response

    async def _put_instances(self, request: web.Request) -> web.Response:
        try:
            self.put_instances(instances_from_json(await request.json()))
        except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        return web.json_response({})

    async def _start_load(self, request: web.Request) -> web.Response:
        self.calls["/weights"] += 1
        now_s = self._clock()
        if now_s < self._next_load_s:
            wait_s = self._next_load_s - now_s
            raise web.HTTPTooManyRequests(headers={"Retry-After": f"{wait_s:.3f}"})
        self._next_load_s = now_s + 1.0 / self.settings.weight_loads_per_s
        return web.json_response({"name": request.match_info["name"]})

    async def _post_faults(self, request: web.Request) -> web.Response:
        """Set faults by field name; ``restore_revision`` steps the store back."""
        body = await request.json()
        names = {field.name for field in attrs.fields(StoreFaults)}
        unknown = body.keys() - names - {"restore_revision", "instances_lag_s"}
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown faults: {sorted(unknown)}")
        for name in names & body.keys():
            setattr(self.faults, name, body[name])
        if "restore_revision" in body:
            self.keyspace.restore(int(body["restore_revision"]))
        if "instances_lag_s" in body:
            self.settings.instances_lag_s = float(body["instances_lag_s"])
        return web.json_response(attrs.asdict(self.faults))

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def _line(result: Mapping[str, Any]) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"


def _cut_off(request: web.Request) -> None:
    """Close the connection without an answer and end the handler."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError
