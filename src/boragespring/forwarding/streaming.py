"""Forward streams and continue their runs elsewhere when a server leaves."""

import asyncio
import random
import time
from functools import partial

from attrs import define, field, frozen

from boragespring.fleet import BackendServer
from boragespring.fleet.model import RunLoad
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    RateLimitedError,
    ReplyBrokenError,
    ReplyLostError,
    ServerUnreachableError,
)
from boragespring.forwarding.held_head import HeldHead
from boragespring.forwarding.jobs import Job
from boragespring.forwarding.messages import (
    CallerReply,
    PromptShape,
    Refusal,
    RefusalReason,
    ServerReply,
)
from boragespring.forwarding.move_scheduler import MoveScheduler
from boragespring.forwarding.overload import (
    OverloadSettings,
    expected_wait_s,
    refusal_retry_after_s,
)
from boragespring.forwarding.placement import (
    GenerationCall,
    PlacementView,
    ServiceCall,
    choose_server,
)
from boragespring.forwarding.running_stream import RunningStream
from boragespring.forwarding.stream_outcome import StreamEnd, StreamOutcome
from boragespring.forwarding.stream_relay import StreamRelay
from boragespring.forwarding.time_limits import bring_forward

__all__ = ["StreamForwarder", "StreamSettings"]

_NO_PROMPT = PromptShape(0, 0)


@frozen
class StreamSettings:
    """Limits on starting and moving a stream.

    Parameters
    ----------
    sends_max : int
        Maximum number of servers to send to, including those that refuse.
    handover_timeout_s : float
        Maximum time in seconds to wait for the result of a move after the reply of
        the previous server has ended.
    body_max_bytes : int
        Maximum size in bytes of an error reply, which is buffered.
    retry_after_s : float
        Retry delay in seconds sent with a refusal.
    overload : OverloadSettings
        Thresholds for refusing generations when engines are overloaded.
    """

    sends_max: int = 4
    handover_timeout_s: float = 2.5
    body_max_bytes: int = 2**20
    retry_after_s: float = 0.3
    overload: OverloadSettings = OverloadSettings()


@define
class _SendHistory:
    """Servers that the request has been sent to."""

    excluded: set[str] = field(factory=set)
    count: int = 0


@frozen
class _OpenedReply:
    """Reply whose status and headers have been received."""

    server: BackendServer
    load: RunLoad
    reply: ServerReply


class StreamForwarder:
    """Forward streams from backend servers to callers.

    Parameters
    ----------
    context : ForwardingContext
        Dependencies shared by all streams.
    move_scheduler : MoveScheduler
        Moves the runs of leaving servers.
    settings : StreamSettings
        Limits on starting and moving a stream.
    rng : random.Random, optional
        Spreads the retry delays of refused requests.
    """

    def __init__(
        self,
        context: ForwardingContext,
        move_scheduler: MoveScheduler,
        settings: StreamSettings,
        rng: random.Random | None = None,
    ) -> None:
        self._context = context
        self._move_scheduler = move_scheduler
        self._settings = settings
        self._rng = rng or random.Random()

    async def forward(self, job: Job, caller: CallerReply) -> StreamOutcome | Refusal:
        """Forward a stream to its end, or return a refusal if none was started."""
        history = _SendHistory()
        try:
            async with self._context.unanswered.limit(job.deadline_s):
                opened = await self._open(job, history)
        except TimeoutError:
            return self._context.unanswered.refusal(was_not_run=not history.count)
        if isinstance(opened, Refusal):
            return opened
        head = opened.reply.head
        if not head.is_success:
            return await self._forward_error_reply(job, opened, caller)
        return await self._relay(job, opened, caller)

    async def _open(self, job: Job, history: _SendHistory) -> _OpenedReply | Refusal:
        """Send the request to servers until one accepts it."""
        while True:
            refusal = self._context.refuse_quarantined(job)
            if refusal is not None:
                return refusal
            server = self._choose(job, history)
            if server is None:
                found = await self._context.wait_for_server(
                    job, history.excluded, self._rng
                )
                if not isinstance(found, BackendServer):
                    return found or self._refuse_without_server(job)
                server = found
            refusal = self._check_overload(job, server)
            refusal = refusal or self._context.refuse_quarantined(job)
            if refusal is not None:
                return refusal
            if history.count and not self._context.budget.try_acquire(job.service.name):
                return self._build_refusal(RefusalReason.OVERLOADED)
            history.count += 1
            history.excluded.add(server.server_id)
            opened = await self._send(job, server)
            if isinstance(opened, _OpenedReply | Refusal):
                return opened
            job.progress.take_back()
            self._context.metrics.record_retry("not_run")
            self._context.log.request(
                "try_again",
                job.request_id,
                server=server.server_id,
                sends=history.count,
                outcome=opened,
            )
            if history.count >= self._settings.sends_max:
                return self._build_refusal(RefusalReason.OVERLOADED)

    def _refuse_without_server(self, job: Job) -> Refusal:
        retry_after_s = self._context.retry_after_s(
            job, self._settings.retry_after_s, self._rng
        )
        return Refusal(RefusalReason.NO_SERVER, True, retry_after_s)

    def _choose(self, job: Job, history: _SendHistory) -> BackendServer | None:
        engine = job.service.engine
        prompt = job.request.prompt or _NO_PROMPT
        call = ServiceCall() if engine is None else GenerationCall(prompt, engine)
        now_s = time.monotonic()
        view = PlacementView(
            servers=self._context.fleet.candidates(job.service.name),
            zone=self._context.zone,
            now_s=now_s,
            excluded=history.excluded,
        )
        server = choose_server(call, view, self._context.placement)
        self._context.prefetch_permits(job)
        if server is not None:
            self._context.log.request(
                "placed",
                job.request_id,
                server=server.server_id,
                open_runs=server.load.runs,
                memory_tokens=round(server.load.memory_tokens),
                prefill_tokens=round(server.load.prefill_tokens),
                catalog_version=job.catalog_version,
                shared_parts=job.logged_prompt,
            )
        return server

    def _check_overload(self, job: Job, server: BackendServer) -> Refusal | None:
        """Refuse a generation that the best engine would start too late."""
        engine = job.service.engine
        if engine is None:
            return None
        settings = self._settings.overload
        wait_s = expected_wait_s(server, engine, job.urgency, settings)
        retry_after_s = refusal_retry_after_s(wait_s, job.route, settings, self._rng)
        if retry_after_s is None:
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
        return Refusal(RefusalReason.OVERLOADED, True, retry_after_s)

    async def _send(
        self, job: Job, server: BackendServer
    ) -> _OpenedReply | Refusal | str:
        """Send the request to one server.

        Returns
        -------
        _OpenedReply, Refusal or str
            The reply, a refusal if the outcome is unknown, or the reason why the
            request is known not to have run.
        """
        prompt = job.request.prompt or _NO_PROMPT
        load = RunLoad(
            prompt.prompt_tokens,
            prompt.output_tokens,
            time.monotonic(),
            tokens_to_read=server.load.prefill_tokens + prompt.prompt_tokens,
        )
        server.runs[job.request_id] = load
        job.progress.send(server.server_id)
        self._context.notify_loads()
        is_open = False
        try:
            async with asyncio.timeout(None) as scope:
                self._context.crash_detector.run_sent(
                    server, job, partial(bring_forward, scope, 0.0)
                )
                reply = await self._context.calls.send(server, job.attempt())
            head = reply.head
            # A refusal of another request says nothing about this one.
            if head.request_id and head.request_id != job.request_id:
                reply.close()
                reason = f"reply to another request, {head.request_id}"
                self._context.fleet.record_failure(server, reason)
                return self._refuse_lost(job, server, reason)
            if head.was_not_run or head.is_misdirected:
                reply.close()
                if not head.is_misdirected:
                    self._context.outliers.record(server, has_failed=True)
                return f"not run, status {head.status}"
            is_open = True
            self._context.crash_detector.run_replied(server, job.request_id)
            return _OpenedReply(server, load, reply)
        except TimeoutError:
            # Cancelled by the crash detector. The server may have begun the run.
            return Refusal(RefusalReason.QUARANTINED, was_not_run=False)
        except RateLimitedError as error:
            return str(error)
        except ServerUnreachableError as error:
            self._context.outliers.record(server, has_failed=True)
            self._context.fleet.record_failure(server, str(error), is_certain=True)
            return f"unreachable: {error}"
        except ReplyLostError as error:
            self._context.outliers.record(server, has_failed=True)
            self._context.crash_detector.run_broke(server, job.request_id)
            self._context.fleet.record_failure(server, str(error))
            return self._refuse_lost(job, server, str(error))
        finally:
            if not is_open:
                self._context.crash_detector.run_ended(server, job.request_id)
                self._context.fleet.remove_run(server, job.request_id)

    async def _forward_error_reply(
        self, job: Job, opened: _OpenedReply, caller: CallerReply
    ) -> StreamOutcome | Refusal:
        """Forward a server's error reply to the caller without streaming it."""
        body = bytearray()
        try:
            if opened.reply.head.is_encoded:
                raise ReplyBrokenError("encoded body")
            async with asyncio.timeout_at(job.deadline_s):
                async for chunk in opened.reply.chunks():
                    body += chunk
                    is_held = job.progress.hold_reply(len(body))
                    if not is_held or len(body) > self._settings.body_max_bytes:
                        raise ReplyBrokenError("reply too large to hold")
        except (ReplyBrokenError, TimeoutError) as error:
            reason = f"status {opened.reply.head.status}, {error}"
            return self._refuse_lost(job, opened.server, reason)
        finally:
            opened.reply.close()
            self._context.crash_detector.run_ended(opened.server, job.request_id)
            self._context.fleet.remove_run(opened.server, job.request_id)
        has_failed = opened.reply.head.status >= 500
        self._context.outliers.record(opened.server, has_failed=has_failed)
        job.progress.answer()
        await caller.send_buffered(opened.reply.head, bytes(body))
        reason = f"status {opened.reply.head.status}"
        return StreamOutcome(StreamEnd.COMPLETE, reason, opened.server.server_id)

    async def _relay(
        self, job: Job, opened: _OpenedReply, caller: CallerReply
    ) -> StreamOutcome | Refusal:
        head = opened.reply.head
        if not head.is_stream_for(job.request_id):
            opened.reply.close()
            self._context.crash_detector.run_ended(opened.server, job.request_id)
            self._context.fleet.remove_run(opened.server, job.request_id)
            reason = f"status {head.status}, but no signed stream of the request"
            return self._refuse_lost(job, opened.server, reason)
        stream = RunningStream(
            job, opened.server, opened.load, last_event_id=job.last_event_id
        )
        unanswered = self._context.unanswered
        self._move_scheduler.add(stream)
        job.progress.run = stream
        refusal = Refusal(RefusalReason.REPLY_LOST, was_not_run=False)
        held = HeldHead(caller, head)
        relay = StreamRelay(
            self._context, stream, held, self._settings.handover_timeout_s
        )
        try:
            async with unanswered.limit(job.deadline_s) as on_start:
                held.on_start = on_start
                reason = await relay.forward(opened.reply)
        except TimeoutError:
            reason = "time is up"
            refusal = unanswered.refusal(was_not_run=False)
        except (ReplyLostError, ServerUnreachableError) as error:
            reason = str(error)
        finally:
            self._move_scheduler.remove(stream)
            self._context.metrics.record_stream(
                job.workspace,
                job.route.kind.value,
                stream.first_event_at_s - job.request.arrived_at_s,
                stream.longest_pause_s,
            )
            relay.close()
        end = StreamEnd.CUT if reason else StreamEnd.COMPLETE
        self._context.metrics.record_stream_end(
            end.name.lower(),
            stream.reply_framing.value,
            is_event_unterminated=stream.unterminated_bytes > 0,
        )
        if reason and not held.is_started:
            self._log_not_begun(job, stream.server_id, reason)
            return refusal
        if reason:
            caller.abort()
        else:
            await held.finish()
        return StreamOutcome(
            end,
            reason,
            stream.server.server_id,
            stream.events,
            stream.moves,
            round(stream.longest_pause_s, 3),
            stream.reply_framing,
            stream.unterminated_bytes,
        )

    def _refuse_lost(self, job: Job, server: BackendServer, reason: str) -> Refusal:
        """Refuse a stream whose reply was lost, as its run may have begun."""
        self._log_not_begun(job, server.server_id, reason)
        return Refusal(RefusalReason.REPLY_LOST, was_not_run=False)

    def _log_not_begun(self, job: Job, server_id: str, reason: str) -> None:
        self._context.log.failure(
            "stream_not_begun", job.request_id, server=server_id, reason=reason
        )

    def _build_refusal(self, reason: RefusalReason) -> Refusal:
        return Refusal(reason, True, self._settings.retry_after_s)
