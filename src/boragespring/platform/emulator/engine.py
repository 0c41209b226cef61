"""Emulated model engine with batching, KV cache limits, moves and load reports."""

import asyncio
import itertools
import time
from collections.abc import Callable

from aiohttp import web
from attrs import define, field

from boragespring.platform import names
from boragespring.platform.emulator.crash_point import CrashingRequests, CrashPoint
from boragespring.platform.emulator.engine_memory import wait_while_preempted
from boragespring.platform.emulator.engine_moves import free_copies, move_run
from boragespring.platform.emulator.engine_replies import (
    create_stream,
    encode_event,
    shared_parts,
    truncate,
)
from boragespring.platform.emulator.engine_run import EngineRun, RunCopy
from boragespring.platform.emulator.engine_spec import EngineSpec
from boragespring.platform.emulator.server_work import ServerWork, end_by_crash

__all__ = ["EmulatedEngine"]

#: Maximum length of a line in the head of a request.
HEADER_LINE_MAX_BYTES = 64 * 2**10
_LOOPBACK = "127.0.0.1"
#: Time within which a crash ends all requests of an engine.
_CRASH_TIMEOUT_S = 5.0


@define(eq=False)
class EmulatedEngine:
    """Engine that streams numbered events; the data of each repeats its number.

    Parameters
    ----------
    server_id : str
        Identity of the backend server.
    spec : EngineSpec
        Speed and size.
    peers : dict of str to EmulatedEngine
        All engines by address. Runs move between them.
    runs : dict
        Active runs by request ID.
    copies : dict
        Copies of other engines' runs by request ID.
    received_headers : list of dict
        Headers of all generation requests, with names in lower case.
    received_at_s : list of float
        Monotonic times in seconds at which these requests arrived.
    report_count : int
        Number of load reports that were fetched.
    started_run_ids : list of str
        Request IDs of the runs that started here, not of those moved here.
    works : list of ServerWork
        What the server did with each generation request.
    waiting_count : int
        Number of requests that wait for a slot.
    refuses_copies : bool
        Whether copies from other engines are refused.
    truncates_at_event : int
        Number of the event in whose middle the next stream that reaches it is
        truncated; 0 for never.
    stalls_after_event : int
        Number of the event after which all streams send no further event, but a byte
        now and then; 0 for never.
    closes_before_event : int
        Number of the event before which the connection of the next stream that
        reaches it is closed; 0 for never.
    keeps_runs : bool
        Whether runs go on when the connection of their reply is closed.
    is_resumed_signed : bool
        Whether replies that continue a moved run have a signature.
    sends_unframed : bool
        Whether streams have neither a length nor chunks, so that they end when
        their connection is closed.
    crashing_parts : set of str
        Identifiers of the prompt parts with which a run crashes the server as it
        begins its answer; shared by all engines of a deployment. The last part of a
        prompt never does.
    crash_hook : callable or None
        Called after a run has crashed the server.
    crashing : CrashingRequests or None
        Requests that crash the server that runs them.
    is_crashed_by_request : bool
        Whether such a request has crashed the server, not a part of a prompt.
    preemptions : int
        Number of preemptions so far.
    retry_after : str
        Value of ``Retry-After`` in rejections; all are rejected unless it is empty.
    states_leaving : bool
        Whether the server states in all its replies that it leaves.
    rate_limit : str
        Value of ``Server-Limit`` in all replies; empty to send none.
    leaves_at_s : float or None
        Monotonic time at which the server will stop; None if it is not leaving.
    port : int
        Port that it listens on; 0 before the start.
    copy_numbers : iterator of int
        Numbers of the copies that this engine makes.
    transfer_lock : asyncio.Lock
        Held while a copy leaves this engine.
    """

    server_id: str
    spec: EngineSpec
    peers: dict[str, "EmulatedEngine"]
    runs: dict[str, EngineRun] = field(factory=dict)
    copies: dict[str, RunCopy] = field(factory=dict)
    received_headers: list[dict[str, str]] = field(factory=list)
    received_at_s: list[float] = field(factory=list)
    report_count: int = 0
    started_run_ids: list[str] = field(factory=list)
    works: list[ServerWork] = field(factory=list)
    waiting_count: int = 0
    refuses_copies: bool = False
    truncates_at_event: int = 0
    stalls_after_event: int = 0
    closes_before_event: int = 0
    keeps_runs: bool = False
    is_resumed_signed: bool = True
    sends_unframed: bool = False
    crashing_parts: set[str] = field(factory=set)
    crash_hook: "Callable[[EmulatedEngine], None] | None" = None
    crashing: CrashingRequests | None = None
    is_crashed_by_request: bool = False
    preemptions: int = 0
    retry_after: str = ""
    states_leaving: bool = False
    rate_limit: str = ""
    leaves_at_s: float | None = None
    port: int = 0
    copy_numbers: "itertools.count[int]" = field(factory=lambda: itertools.count(1))
    transfer_lock: asyncio.Lock = field(factory=asyncio.Lock)
    _runner: web.AppRunner | None = None
    _crash_task: "asyncio.Task[None] | None" = None

    @property
    def address(self) -> str:
        """Host and port of the server."""
        return f"{_LOOPBACK}:{self.port}"

    @property
    def used_tokens(self) -> int:
        """Number of KV cache tokens in use by runs and copies."""
        resident_runs = [
            *self.runs.values(),
            *(copy.run for copy in self.copies.values()),
        ]
        return sum(
            run.token_count(self.spec) for run in resident_runs if not run.is_preempted
        )

    async def start(self) -> None:
        """Start listening; `port` holds the port in use."""
        app = web.Application()
        app.on_response_prepare.append(self._add_statements)
        app.router.add_get("/report", self._handle_report)
        app.router.add_post("/kv-move", self._handle_move)
        app.router.add_delete("/kv-handle/{copy}", self._handle_copy_delete)
        app.router.add_post("/{path:.*}", self._handle_generate)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.01,
            max_line_size=HEADER_LINE_MAX_BYTES,
            max_field_size=HEADER_LINE_MAX_BYTES,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, _LOOPBACK, self.port).start()
        self.port = int(self._runner.addresses[0][1])
        self.peers[self.address] = self

    async def stop_listening(self) -> None:
        """Refuse new connections; those that are open go on."""
        if self._runner is not None:
            for site in list(self._runner.sites):
                await site.stop()

    async def crash(self) -> None:
        """Stop at once and close all connections, as the end of a process does."""
        self.peers.pop(self.address, None)
        end_by_crash(self.works)
        await self.stop_listening()
        if self._runner is not None and self._runner.server is not None:
            for connection in self._runner.server.connections:
                if connection.transport is not None:
                    connection.transport.abort()
            await self._runner.cleanup()
            self._runner = None

    stop = crash

    async def _crash(self) -> None:
        if self._crash_task is None:
            # The handler of the run that crashes the server ends with all others.
            self._crash_task = asyncio.create_task(self._crash_by_run())
        await asyncio.sleep(_CRASH_TIMEOUT_S)

    async def _crash_by_request(self, point: CrashPoint) -> None:
        await asyncio.sleep(point.delay_s)
        self.is_crashed_by_request = self._crash_task is None
        await self._crash()

    async def _crash_by_run(self) -> None:
        await self.crash()
        if self.crash_hook is not None:
            self.crash_hook(self)

    async def _add_statements(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        if self.states_leaving:
            response.headers[names.SERVER_LEAVING] = "1"
        if self.rate_limit:
            response.headers[names.SERVER_LIMIT] = self.rate_limit

    async def _handle_report(self, _: web.Request) -> web.Response:
        self.report_count += 1
        body = {
            "stage": "both",
            "models": [],
            "busy": False,
            "sequence": 1,
            "waiting": self.waiting_count,
            "running": len(self.runs),
            "kv_cache_used": self.used_tokens,
            "kv_cache_total": self.spec.memory_tokens,
            "handles": len(self.copies),
            "state": "ready" if self.leaves_at_s is None else "draining",
        }
        if self.leaves_at_s is not None:
            remaining_s = self.leaves_at_s - time.monotonic() + self.spec.report_age_s
            body["leaves_ms"] = round(remaining_s * 1000)
        return web.json_response(body)

    async def _handle_move(self, request: web.Request) -> web.Response:
        return await move_run(self, await request.json())

    async def _handle_copy_delete(self, request: web.Request) -> web.Response:
        free_copies(self, request.match_info["copy"])
        return web.json_response({})

    async def _handle_generate(self, request: web.Request) -> web.StreamResponse:
        headers = {name.lower(): value for name, value in request.headers.items()}
        self.received_headers.append(headers)
        self.received_at_s.append(time.monotonic())
        run_id = headers[names.REQUEST_ID.lower()]
        work = ServerWork(run_id, self.server_id)
        self.works.append(work)
        if headers.get(names.EXPECTED_SERVER.lower()) != self.server_id:
            work.reject()
            return web.Response(status=421)
        body = await request.read()
        crash_point = None
        if self.crashing is not None:
            line = f"{request.method} {request.path_qs}"
            crash_point = self.crashing.receive(line, body, run_id)
        await self._wait_for_slot(work, headers)
        run = None if self.retry_after else self._admit(run_id, headers)
        if run is None:
            work.reject()
            return self._reject()
        run.crash_point, run.work = crash_point, work
        stream = asyncio.ensure_future(self._execute(request, run))
        return await (asyncio.shield(stream) if self.keeps_runs else stream)

    async def _wait_for_slot(self, work: ServerWork, headers: dict[str, str]) -> None:
        """Wait while the server is full, if its queue has room."""
        is_moved = names.COPY_SOURCE.lower() in headers
        if is_moved or self.waiting_count >= self.spec.waiting_max:
            return
        self.waiting_count += 1
        try:
            while len(self.runs) >= self.spec.slots:  # noqa: ASYNC110
                await asyncio.sleep(self.spec.event_interval_s)
        except asyncio.CancelledError:
            work.end()
            raise
        finally:
            self.waiting_count -= 1

    async def _execute(
        self, request: web.Request, run: EngineRun
    ) -> web.StreamResponse:
        self.runs[run.run_id] = run
        run.transport = request.transport
        run.resume()
        try:
            return await self._stream(request, run)
        finally:
            self.runs.pop(run.run_id, None)
            run.end()

    def lose_replies(self) -> None:
        """Reset the connections of all replies in progress."""
        for run in self.runs.values():
            if run.work is not None:
                run.work.has_broken_off = True
            if run.transport is not None:
                run.transport.abort()

    def _reject(self) -> web.Response:
        headers = {names.NOT_RUN: "1"}
        if self.retry_after:
            headers[names.RETRY_AFTER] = self.retry_after
        return web.Response(status=503, headers=headers)

    def _admit(self, run_id: str, headers: dict[str, str]) -> EngineRun | None:
        source = headers.get(names.COPY_SOURCE.lower())
        if source:
            copy = self.copies.pop(run_id, None)
            if copy is None or not source.endswith(f"/{copy.copy_id}"):
                return None
            free_copies(self, copy.copy_id)
            return copy.run
        prompt_tokens, output_tokens = map(
            int, headers[names.TOKEN_COUNTS.lower()].split(",")
        )
        if len(self.runs) >= self.spec.slots:
            return None
        if self.used_tokens + prompt_tokens > self.spec.memory_tokens:
            return None
        self.started_run_ids.append(run_id)
        return EngineRun(
            run_id, prompt_tokens, -(-output_tokens // self.spec.tokens_per_event)
        )

    async def _stream(self, request: web.Request, run: EngineRun) -> web.StreamResponse:
        if not run.event_count:
            await asyncio.sleep(run.prompt_tokens / self.spec.prefill_tokens_per_s)
        if run.crash_point is not None and not run.crash_point.has_head:
            await self._crash_by_request(run.crash_point)
        response = create_stream(run.run_id, self.sends_unframed)
        if names.COPY_SOURCE in request.headers and not self.is_resumed_signed:
            del response.headers[names.SIGNATURE]
        await response.prepare(request)
        last_event_id = int(request.headers.get(names.LAST_EVENT_ID) or 0)
        if self.crashing_parts.intersection(shared_parts(request)):
            await self._crash()
        # Events that were sent after the copy was taken are not repeated. Their
        # tokens count as recomputed here.
        run.event_count = max(run.event_count, last_event_id)
        for event_number in range(last_event_id + 1, run.event_count + 1):
            await response.write(encode_event(event_number))
        while run.event_count < run.event_count_max:
            if run.crash_point and run.event_count >= run.crash_point.events:
                await self._crash_by_request(run.crash_point)
            await asyncio.sleep(self.spec.event_interval_s)
            await wait_while_preempted(self, run)
            if run.is_moved:
                return truncate(request, response)
            if self.stalls_after_event and run.event_count == self.stalls_after_event:
                await response.write(b":")
                continue
            run.event_count += 1
            if run.event_count == self.closes_before_event:
                self.closes_before_event = 0
                return self._break_off(run, request, response)
            if run.event_count == self.truncates_at_event:
                self.truncates_at_event = 0
                await response.write(encode_event(run.event_count)[:-6])
                return self._break_off(run, request, response)
            await self._write_event(response, run)
        if run.crash_point is not None:
            await self._crash_by_request(run.crash_point)
        return response

    def _break_off(
        self, run: EngineRun, request: web.Request, response: web.StreamResponse
    ) -> web.StreamResponse:
        if run.work is not None:
            run.work.break_off()
        return truncate(request, response)

    async def _write_event(self, response: web.StreamResponse, run: EngineRun) -> None:
        try:
            await response.write(encode_event(run.event_count))
        except ConnectionResetError:
            if not self.keeps_runs:
                raise
