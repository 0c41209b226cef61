"""Forward a stream; it may go on at another server when its own leaves."""

import asyncio
import random
import time
from enum import Enum, auto

from attrs import define, field, frozen

from boragespring.fleet import BackendServer
from boragespring.fleet.model import RunLoad
from boragespring.forwarding.carrier import StreamCarrier
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    ReplyBrokenError,
    ReplyLostError,
    ServerUnreachableError,
)
from boragespring.forwarding.jobs import Job
from boragespring.forwarding.messages import (
    CallerReply,
    PromptShape,
    Refusal,
    RefusalReason,
    ServerReply,
)
from boragespring.forwarding.overload import (
    OverloadSettings,
    expected_wait_s,
    refusal_pause_s,
)
from boragespring.forwarding.placement import (
    EngineLoad,
    PlacementView,
    ServiceCall,
    choose_server,
)
from boragespring.forwarding.relocation import Relocations
from boragespring.forwarding.running import RunningStream

__all__ = ["StreamForwarder", "StreamOutcome", "StreamSettings"]

_NO_PROMPT = PromptShape(0, 0)


@frozen
class StreamSettings:
    """How a stream is tried.

    Parameters
    ----------
    sends_max : int
        Most servers that are asked, with those that refuse.
    handover_wait_s : float
        Longest wait for the end of a move after the stream has stopped.
    body_max_bytes : int
        Largest reply without events that is held back.
    retry_after_s : float
        When to come back after a refusal.
    overload : OverloadSettings
        When a generation is refused for the engines' load.
    """

    sends_max: int = 4
    handover_wait_s: float = 2.5
    body_max_bytes: int = 2**20
    retry_after_s: float = 0.3
    overload: OverloadSettings = OverloadSettings()


class StreamEnd(Enum):
    """How a stream ended towards the caller."""

    COMPLETE = auto()
    CUT = auto()


@frozen
class StreamOutcome:
    """What became of a stream that was started, for the log."""

    end: StreamEnd
    reason: str
    server_id: str
    events: int = 0
    moves: int = 0
    longest_pause_s: float = 0.0


@define
class _Sends:
    """Servers that were asked so far."""

    avoided: set[str] = field(factory=set)
    count: int = 0


@frozen
class _Opened:
    """Reply that has begun at a server."""

    server: BackendServer
    load: RunLoad
    reply: ServerReply


class StreamForwarder:
    """Carry streams from backend servers to callers."""

    def __init__(
        self,
        context: ForwardingContext,
        relocations: Relocations,
        settings: StreamSettings,
        chance: random.Random | None = None,
    ) -> None:
        self._context = context
        self._relocations = relocations
        self._settings = settings
        self._chance = chance or random.Random()

    async def forward(self, job: Job, caller: CallerReply) -> StreamOutcome | Refusal:
        """Carry a stream to its end; return a refusal when nothing was sent."""
        try:
            async with asyncio.timeout_at(job.deadline_s):
                opened = await self._open(job)
        except TimeoutError:
            return Refusal(RefusalReason.TIMED_OUT, was_not_run=False)
        if isinstance(opened, Refusal):
            return opened
        head = opened.reply.head
        if not head.is_success:
            return await self._pass_failure(job, opened, caller)
        return await self._carry(job, opened, caller)

    async def _open(self, job: Job) -> _Opened | Refusal:
        """Send the request until a server takes it."""
        sends = _Sends()
        while True:
            server = self._choose(job, sends)
            if server is None:
                return self._refuse(RefusalReason.NO_SERVER)
            refusal = self._overload(job, server)
            if refusal is not None:
                return refusal
            if sends.count and not self._context.budget.take(job.service.name):
                return self._refuse(RefusalReason.OVERLOADED)
            sends.count += 1
            sends.avoided.add(server.server_id)
            opened = await self._send(job, server)
            if isinstance(opened, _Opened | Refusal):
                return opened
            self._context.metrics.record_retry("not_run")
            self._context.log.request(
                "try_again",
                job.request_id,
                server=server.server_id,
                sends=sends.count,
                outcome=opened,
            )
            if sends.count >= self._settings.sends_max:
                return self._refuse(RefusalReason.OVERLOADED)

    def _choose(self, job: Job, sends: _Sends) -> BackendServer | None:
        engine = job.service.engine
        prompt = job.request.prompt or _NO_PROMPT
        load = ServiceCall() if engine is None else EngineLoad(prompt, engine)
        now_s = time.monotonic()
        view = PlacementView(
            servers=self._context.fleet.candidates(job.service.name),
            zone=self._context.zone,
            now_s=now_s,
            avoided=sends.avoided,
        )
        server = choose_server(load, view, self._context.placement)
        if server is not None:
            self._context.log.request(
                "placed",
                job.request_id,
                server=server.server_id,
                open_runs=server.load.runs,
                memory_tokens=round(server.load.memory_tokens),
                prefill_tokens=round(server.load.prefill_tokens),
                catalog_version=job.catalog_version,
            )
        return server

    def _overload(self, job: Job, server: BackendServer) -> Refusal | None:
        """Refuse a generation that even the best engine would begin too late."""
        engine = job.service.engine
        if engine is None:
            return None
        settings = self._settings.overload
        wait_s = expected_wait_s(server, engine, job.urgency, settings)
        pause_s = refusal_pause_s(wait_s, job.route, settings, self._chance)
        if pause_s is None:
            return None
        self._context.log.failure(
            "overloaded",
            job.request_id,
            server=server.server_id,
            expected_wait_s=round(wait_s, 3),
            objective_s=job.route.objective_s,
            memory_tokens=round(server.load.memory_tokens),
            prefill_tokens=round(server.load.prefill_tokens),
        )
        return Refusal(RefusalReason.OVERLOADED, True, pause_s)

    async def _send(self, job: Job, server: BackendServer) -> _Opened | Refusal | str:
        """Send to one server; a text says why it surely did not run there."""
        prompt = job.request.prompt or _NO_PROMPT
        load = RunLoad(prompt.prompt_tokens, prompt.output_tokens, time.monotonic())
        server.runs[job.request_id] = load
        self._context.tell_loads()
        is_open = False
        try:
            reply = await self._context.calls.send(server, job.attempt())
            head = reply.head
            if head.was_not_run or head.is_other_server:
                reply.close()
                return f"not run, status {head.status}"
            if head.request_id and head.request_id != job.request_id:
                reply.close()
                self._context.fleet.note_failure(server, "reply to another request")
                return Refusal(RefusalReason.REPLY_LOST, was_not_run=False)
            is_open = True
            return _Opened(server, load, reply)
        except ServerUnreachableError as error:
            self._context.fleet.note_failure(server, str(error), is_certain=True)
            return f"unreachable: {error}"
        except ReplyLostError as error:
            self._context.fleet.note_failure(server, str(error))
            return Refusal(RefusalReason.REPLY_LOST, was_not_run=False)
        finally:
            if not is_open:
                self._context.fleet.run_ended(server, job.request_id)

    async def _pass_failure(
        self, job: Job, opened: _Opened, caller: CallerReply
    ) -> StreamOutcome | Refusal:
        """Pass on a server's own failure as a whole."""
        body = bytearray()
        try:
            async with asyncio.timeout_at(job.deadline_s):
                async for chunk in opened.reply.chunks():
                    body += chunk
                    if len(body) > self._settings.body_max_bytes:
                        break
        except (ReplyBrokenError, TimeoutError):
            return Refusal(RefusalReason.REPLY_LOST, was_not_run=False)
        finally:
            opened.reply.close()
            self._context.fleet.run_ended(opened.server, job.request_id)
        await caller.send_whole(opened.reply.head, bytes(body))
        reason = f"status {opened.reply.head.status}"
        return StreamOutcome(StreamEnd.COMPLETE, reason, opened.server.server_id)

    async def _carry(
        self, job: Job, opened: _Opened, caller: CallerReply
    ) -> StreamOutcome | Refusal:
        head = opened.reply.head
        if not head.is_signed or head.is_encoded:
            opened.reply.close()
            self._context.fleet.run_ended(opened.server, job.request_id)
            return Refusal(RefusalReason.REPLY_LOST, was_not_run=False)
        stream = RunningStream(job, opened.server, opened.load)
        wait_s = self._settings.handover_wait_s
        carrier = StreamCarrier(self._context, stream, caller, wait_s)
        self._relocations.add(stream)
        try:
            async with asyncio.timeout_at(job.deadline_s):
                await caller.start(head)
                reason = await carrier.carry(opened.reply)
        except TimeoutError:
            reason = "time is up"
        except ReplyLostError as error:
            reason = str(error)
        finally:
            self._relocations.remove(stream)
            self._context.metrics.record_stream(
                job.workspace,
                job.route.kind.value,
                stream.first_event_at_s - job.request.arrived_at_s,
                stream.longest_pause_s,
            )
            carrier.close()
        end = StreamEnd.CUT if reason else StreamEnd.COMPLETE
        if reason:
            caller.abort()
        else:
            await caller.finish()
        return StreamOutcome(
            end,
            reason,
            stream.server.server_id,
            stream.events,
            stream.moves,
            round(stream.longest_pause_s, 3),
        )

    def _refuse(self, reason: RefusalReason) -> Refusal:
        return Refusal(reason, True, self._settings.retry_after_s)
