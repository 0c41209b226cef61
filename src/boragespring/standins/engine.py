"""Stand-in for a model engine: an HTTP server in front of an `EngineCore`."""

import asyncio
import random
from collections import deque
from contextlib import suppress

import attrs
import xxhash
from aiohttp import web
from aiohttp.http import StreamWriter
from attrs import Factory, define, field

from boragespring.standins.cache_events import CacheEventPublisher
from boragespring.standins.engine_core import (
    EngineCore,
    EngineSnapshot,
    Run,
    RunState,
    count_prompt_tokens,
)
from boragespring.standins.engine_dialects import (
    EngineDialect,
    format_load_report,
    format_orca_header,
    format_stream_event,
)
from boragespring.standins.engine_settings import EngineFaults, EngineStandInSettings
from boragespring.standins.load_history import LoadHistory

__all__ = ["EngineStandIn"]

LEDGER_LENGTH = 200_000
FREEZE_POLL_INTERVAL_S = 0.02
MEAN_OUTPUT_TOKENS = 64


@define(eq=False)
class _Stream:
    """Open response stream of one run."""

    run: Run
    model: str
    writer: StreamWriter
    done: asyncio.Event = Factory(asyncio.Event)


@define(eq=False)
class EngineStandIn:
    """Model engine with simulated step times, served over HTTP.

    Parameters
    ----------
    settings : EngineStandInSettings
        Address, vendor, size and speed.
    faults : EngineFaults
        Faults to inject.

    Attributes
    ----------
    core : EngineCore
        Batch, queue and memory.
    ledger : deque of Run
        Most recent generations, in the order in which they were submitted.
    orders : list of dict
        Accepted orders, oldest first.
    models : set of str
        Loaded models; if empty, requests for any model are accepted.
    fencing_number : int
        Highest fencing number of the accepted orders.
    cache_events : CacheEventPublisher or None
        Publisher of cache events; None if they are disabled.
    port : int
        TCP port that the server listens on; 0 before the first start.
    """

    settings: EngineStandInSettings = Factory(EngineStandInSettings)
    faults: EngineFaults = Factory(EngineFaults)
    core: EngineCore = field(init=False)
    ledger: deque[Run] = field(init=False)
    orders: list[dict[str, object]] = field(init=False, factory=list)
    models: set[str] = field(init=False, factory=set)
    fencing_number: int = field(init=False, default=0)
    cache_events: CacheEventPublisher | None = field(init=False, default=None)
    port: int = field(init=False, default=0)
    _streams: dict[Run, _Stream] = field(init=False, factory=dict)
    _history: LoadHistory = field(init=False)
    _work_available: asyncio.Event = field(init=False, factory=asyncio.Event)
    _runner: web.AppRunner | None = field(init=False, default=None)
    _loop_task: asyncio.Task[None] | None = field(init=False, default=None)
    _sequence: int = field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.core = EngineCore(self.settings.core)
        self.ledger = deque(maxlen=LEDGER_LENGTH)
        self.models = set(self.settings.models)
        self._history = LoadHistory(self.settings.report_lag_s)

    @property
    def url(self) -> str:
        """Base URL of the engine."""
        return f"http://{self.settings.host}:{self.port}"

    async def start(self) -> None:
        """Start to listen and to decode; after `stop`, on the same port as before."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/v1/completions", self._handle_completions),
                web.post("/generate_stream", self._handle_generate_stream),
                web.get("/v1/models", self._handle_list_models),
                web.get("/metrics", self._handle_metrics),
                web.get("/health", self._handle_health),
                web.get("/ledger", self._handle_ledger),
                web.post("/orders", self._handle_order),
                web.post("/faults", self._handle_faults),
            ]
        )
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.settings.host, self.port_to_bind)
        await site.start()
        self.port = self._runner.addresses[0][1]
        if self.settings.cache_event_port is not None:
            self.cache_events = CacheEventPublisher(
                host=self.settings.host,
                port=self.settings.cache_event_port,
                lag_s=self.settings.cache_event_lag_s,
                loss_probability=self.settings.cache_event_loss_probability,
                seed=self.settings.seed,
            )
        self._loop_task = asyncio.create_task(self._decode_forever())

    @property
    def port_to_bind(self) -> int:
        """Port to listen on; after a restart, the same port as before."""
        return self.port or self.settings.port

    async def stop(self) -> None:
        """Stop immediately and abort all open streams, like an engine that crashes."""
        if self._loop_task is not None:
            self._loop_task.cancel()
            with suppress(asyncio.CancelledError):
                await self._loop_task
            self._loop_task = None
        self.drop_streams()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
        if self.cache_events is not None:
            self.cache_events.close()
            self.cache_events = None

    def drop_streams(self) -> None:
        """Abort every open stream and cancel its run."""
        for stream in list(self._streams.values()):
            self._close_stream(stream)

    async def _decode_forever(self) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while True:
            if self.core.is_idle:
                self._history.add(self.core.snapshot(loop.time()))
                self._work_available.clear()
                await self._work_available.wait()
                due_s = loop.time()
            while self.faults.is_frozen:
                await asyncio.sleep(FREEZE_POLL_INTERVAL_S)
                due_s = loop.time()
            due_s += self.core.begin_step() * self.faults.slow_factor
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            for run in self.core.finish_step():
                await self._send_token(run)
            self._history.add_if_due(self.core, loop.time())
            self._publish_cache_events()

    async def _send_token(self, run: Run) -> None:
        stream = self._streams.get(run)
        if stream is None:
            return
        event = format_stream_event(self.settings.dialect, run, stream.model)
        try:
            await stream.writer.write(event, drain=False)
        except ConnectionError:
            self._close_stream(stream)
            return
        if run.state is RunState.COMPLETE:
            stream.done.set()

    def _close_stream(self, stream: _Stream) -> None:
        self.core.cancel(stream.run)
        self._streams.pop(stream.run, None)
        stream.done.set()

    def _reported_load(self) -> EngineSnapshot:
        now_s = asyncio.get_running_loop().time()
        if not self.faults.is_frozen:
            self._history.add(self.core.snapshot(now_s))
        return self._history.lagged_load(now_s)

    def _publish_cache_events(self) -> None:
        cache = self.core.cache
        if self.cache_events is not None and (cache.stored or cache.removed):
            self.cache_events.publish(cache.stored, cache.removed)
        cache.stored.clear()
        cache.removed.clear()

    async def _handle_completions(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        priority = int(body.get("priority", 0))
        if self.settings.dialect is EngineDialect.SGLANG:
            priority = -priority
        request_id = body.get("rid") or request.headers.get("X-Request-Id", "")
        return await self._generate(
            request,
            model=body["model"],
            prompt=body["prompt"],
            max_tokens=int(body["max_tokens"]),
            priority=priority,
            request_id=request_id,
            output_tokens=body.get("standin_output_tokens"),
        )

    async def _handle_generate_stream(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        parameters = body["parameters"]
        return await self._generate(
            request,
            model="",
            prompt=body["inputs"],
            max_tokens=int(parameters["max_new_tokens"]),
            priority=0,
            request_id=request.headers.get("X-Request-Id", ""),
            output_tokens=parameters.get("standin_output_tokens"),
        )

    async def _generate(
        self,
        request: web.Request,
        *,
        model: str,
        prompt: str,
        max_tokens: int,
        priority: int,
        request_id: str,
        output_tokens: int | None,
    ) -> web.StreamResponse:
        if self.faults.refuses:
            raise web.HTTPServiceUnavailable
        if model and self.models and model not in self.models:
            raise web.HTTPNotFound(text="model is not loaded")
        run = self._create_run(prompt, max_tokens, priority, request_id, output_tokens)
        if not self.core.fits(run):
            raise web.HTTPBadRequest(text="request exceeds the engine's memory")
        response = web.StreamResponse(headers=self._load_headers())
        response.content_type = "text/event-stream"
        writer = await response.prepare(request)
        if not isinstance(writer, StreamWriter):
            raise web.HTTPServiceUnavailable
        return await self._stream_run(request, response, _Stream(run, model, writer))

    async def _stream_run(
        self, request: web.Request, response: web.StreamResponse, stream: _Stream
    ) -> web.StreamResponse:
        self._streams[stream.run] = stream
        self.ledger.append(stream.run)
        self.core.submit(stream.run)
        self._work_available.set()
        try:
            await stream.done.wait()
        finally:
            self._close_stream(stream)
        if stream.run.state is RunState.CANCELLED and request.transport is not None:
            request.transport.abort()
        return response

    def _create_run(
        self,
        prompt: str,
        max_tokens: int,
        priority: int,
        request_id: str,
        output_tokens: int | None,
    ) -> Run:
        self._sequence += 1
        identity = f"{self.settings.seed}:{self.port}:{self._sequence}:{request_id}"
        if output_tokens is None:
            rng = random.Random(f"{self.settings.seed}:{prompt}")
            output_tokens = 1 + int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS))
        return Run(
            generation_id=xxhash.xxh32_hexdigest(identity.encode()),
            request_id=request_id,
            prompt=prompt,
            prompt_tokens=count_prompt_tokens(prompt),
            output_tokens=max(1, min(int(output_tokens), max_tokens)),
            priority=priority,
            max_tokens=max_tokens,
        )

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        text = self.faults.report
        if text is None:
            load = self._reported_load()
            text = format_load_report(self.settings.dialect, load, self.settings.core)
        return web.Response(text=text)

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok", headers=self._load_headers())

    def _load_headers(self) -> dict[str, str]:
        if self.settings.dialect is not EngineDialect.ORCA:
            return {}
        header = format_orca_header(self._reported_load(), self.settings.core)
        return {"endpoint-load-metrics": header}

    async def _handle_list_models(self, request: web.Request) -> web.Response:
        return web.json_response({"data": [{"id": name} for name in self.models]})

    async def _handle_ledger(self, request: web.Request) -> web.Response:
        runs = [
            {
                "generation_id": run.generation_id,
                "request_id": run.request_id,
                "produced_tokens": run.produced_tokens,
                "prompt_tokens": run.prompt_tokens,
                "preemptions": run.preemptions,
                "state": run.state.value,
            }
            for run in self.ledger
        ]
        totals = {"preemptions": self.core.preemptions}
        return web.json_response(
            {"runs": runs, "totals": totals, "orders": self.orders}
        )

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        order_fence = int(order.get("fencing_number", 0))
        if self.settings.checks_fencing and order_fence < self.fencing_number:
            return web.json_response({"error": "outdated fencing number"}, status=409)
        self.fencing_number = max(self.fencing_number, order_fence)
        self.orders.append(order)
        if order.get("kind") == "load_model":
            self.models.add(str(order.get("name")))
        return web.json_response({"applied": True})

    async def _handle_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body.pop("drop_streams", False):
            self.drop_streams()
        self.faults = attrs.evolve(self.faults, **body)
        return web.json_response(attrs.asdict(self.faults))
