"""Stand-in for a model engine: an HTTP server before an `EngineCore`."""

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
    load_report_text,
    orca_header,
    stream_event,
)
from boragespring.standins.engine_settings import EngineFaults, EngineStandInSettings
from boragespring.standins.load_history import LoadHistory

__all__ = ["EngineStandIn"]

LEDGER_LENGTH = 200_000
FREEZE_POLL_INTERVAL_S = 0.02
MEAN_OUTPUT_TOKENS = 64


@define(eq=False)
class _Stream:
    """Open answer of one run."""

    run: Run
    model: str
    writer: StreamWriter
    done: asyncio.Event = Factory(asyncio.Event)


@define(eq=False)
class EngineStandIn:
    """Model engine with simulated time per token, served over HTTP."""

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
    _wake: asyncio.Event = field(init=False, factory=asyncio.Event)
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
        """Listen and start to decode."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/v1/completions", self._completions),
                web.post("/generate_stream", self._generate_stream),
                web.get("/v1/models", self._list_models),
                web.get("/metrics", self._metrics),
                web.get("/health", self._health),
                web.get("/ledger", self._ledger),
                web.post("/orders", self._order),
                web.post("/faults", self._set_faults),
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
                loss_share=self.settings.cache_event_loss_share,
                seed=self.settings.seed,
            )
        self._loop_task = asyncio.create_task(self._decode_forever())

    @property
    def port_to_bind(self) -> int:
        """Port to listen on; the earlier one after a restart."""
        return self.port or self.settings.port

    async def stop(self) -> None:
        """Stop at once; open streams break off, as when the engine dies."""
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
        """Break off every open stream and cancel its run."""
        for stream in list(self._streams.values()):
            self._end(stream)

    async def _decode_forever(self) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while True:
            if self.core.is_idle:
                self._history.add(self.core.snapshot(loop.time()))
                self._wake.clear()
                await self._wake.wait()
                due_s = loop.time()
            while self.faults.is_frozen:
                await asyncio.sleep(FREEZE_POLL_INTERVAL_S)
                due_s = loop.time()
            due_s += self.core.begin_step() * self.faults.slow_factor
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            for run in self.core.finish_step():
                await self._emit(run)
            self._history.add_if_due(self.core, loop.time())
            self._publish_cache_events()

    async def _emit(self, run: Run) -> None:
        stream = self._streams.get(run)
        if stream is None:
            return
        event = stream_event(self.settings.dialect, run, stream.model)
        try:
            await stream.writer.write(event, drain=False)
        except ConnectionError:
            self._end(stream)
            return
        if run.state is RunState.COMPLETE:
            stream.done.set()

    def _end(self, stream: _Stream) -> None:
        self.core.cancel(stream.run)
        self._streams.pop(stream.run, None)
        stream.done.set()

    def _reported_load(self) -> EngineSnapshot:
        now_s = asyncio.get_running_loop().time()
        if not self.faults.is_frozen:
            self._history.add(self.core.snapshot(now_s))
        return self._history.reported(now_s)

    def _publish_cache_events(self) -> None:
        cache = self.core.cache
        if self.cache_events is not None and (cache.stored or cache.removed):
            self.cache_events.publish(cache.stored, cache.removed)
        cache.stored.clear()
        cache.removed.clear()

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        priority = int(body.get("priority", 0))
        if self.settings.dialect is EngineDialect.SGLANG:
            priority = -priority
        request_id = body.get("rid") or request.headers.get("X-Request-Id", "")
        return await self._serve(
            request,
            model=body["model"],
            prompt=body["prompt"],
            max_tokens=int(body["max_tokens"]),
            priority=priority,
            request_id=request_id,
            output_tokens=body.get("standin_output_tokens"),
        )

    async def _generate_stream(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        parameters = body["parameters"]
        return await self._serve(
            request,
            model="",
            prompt=body["inputs"],
            max_tokens=int(parameters["max_new_tokens"]),
            priority=0,
            request_id=request.headers.get("X-Request-Id", ""),
            output_tokens=parameters.get("standin_output_tokens"),
        )

    async def _serve(
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
        run = self._new_run(prompt, max_tokens, priority, request_id, output_tokens)
        if not self.core.fits(run):
            raise web.HTTPBadRequest(text="request exceeds the engine's memory")
        response = web.StreamResponse(headers=self._load_headers())
        response.content_type = "text/event-stream"
        writer = await response.prepare(request)
        if not isinstance(writer, StreamWriter):
            raise web.HTTPServiceUnavailable
        return await self._follow(request, response, _Stream(run, model, writer))

    async def _follow(
        self, request: web.Request, response: web.StreamResponse, stream: _Stream
    ) -> web.StreamResponse:
        self._streams[stream.run] = stream
        self.ledger.append(stream.run)
        self.core.submit(stream.run)
        self._wake.set()
        try:
            await stream.done.wait()
        finally:
            self._end(stream)
        if stream.run.state is RunState.CANCELLED and request.transport is not None:
            request.transport.abort()
        return response

    def _new_run(
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
            chance = random.Random(f"{self.settings.seed}:{prompt}")
            output_tokens = 1 + int(chance.expovariate(1 / MEAN_OUTPUT_TOKENS))
        return Run(
            generation_id=xxhash.xxh32_hexdigest(identity.encode()),
            request_id=request_id,
            prompt=prompt,
            prompt_tokens=count_prompt_tokens(prompt),
            output_tokens=max(1, min(int(output_tokens), max_tokens)),
            priority=priority,
            max_tokens=max_tokens,
        )

    async def _metrics(self, request: web.Request) -> web.Response:
        text = self.faults.report
        if text is None:
            load = self._reported_load()
            text = load_report_text(self.settings.dialect, load, self.settings.core)
        return web.Response(text=text)

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok", headers=self._load_headers())

    def _load_headers(self) -> dict[str, str]:
        if self.settings.dialect is not EngineDialect.ORCA:
            return {}
        header = orca_header(self._reported_load(), self.settings.core)
        return {"endpoint-load-metrics": header}

    async def _list_models(self, request: web.Request) -> web.Response:
        return web.json_response({"data": [{"id": name} for name in self.models]})

    async def _ledger(self, request: web.Request) -> web.Response:
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

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        number = int(order.get("fencing_number", 0))
        if self.settings.checks_fencing and number < self.fencing_number:
            return web.json_response({"error": "old fencing number"}, status=409)
        self.fencing_number = max(self.fencing_number, number)
        self.orders.append(order)
        if order.get("kind") == "load_model":
            self.models.add(str(order.get("name")))
        return web.json_response({"applied": True})

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body.pop("drop_streams", False):
            self.drop_streams()
        self.faults = attrs.evolve(self.faults, **body)
        return web.json_response(attrs.asdict(self.faults))
