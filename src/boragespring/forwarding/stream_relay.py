"""Relay the events of a stream to the caller while its run can change servers."""

import asyncio
import contextlib

from attrs import evolve

from boragespring.fleet import BackendServer
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    ForwardingError,
    ReplyBrokenError,
    ReplyLostError,
    RunNotFoundError,
    ServerUnreachableError,
)
from boragespring.forwarding.events import EventSplitter
from boragespring.forwarding.held_head import HeldHead
from boragespring.forwarding.messages import (
    Reachability,
    ResumePoint,
    ServerReply,
)
from boragespring.forwarding.run_stop import stop_run
from boragespring.forwarding.running_stream import Handover, RunningStream
from boragespring.forwarding.unframed_end import UnframedEndCheck
from boragespring.http.reply_end import ReplyFraming

__all__ = ["StreamRelay"]

#: Time in seconds after the drain of a zone within which a run that was stopped for a
#: move may still go on at a server of the zone.
HANDOVER_GRACE_S = 1.0
#: Maximum number of calls that stop a run whose reply was lost.
STOP_ATTEMPTS_MAX = 3
#: Delay in seconds between two of these calls.
STOP_RETRY_DELAY_S = 0.2


class StreamRelay:
    """Relay the events of one stream across the moves of its run.

    Parameters
    ----------
    context : ForwardingContext
        Dependencies shared by all streams.
    stream : RunningStream
        State of the stream.
    caller : HeldHead
        Response channel to the caller.
    handover_timeout_s : float
        Maximum time in seconds to wait for the result of a move after the reply of
        the previous server has ended.
    """

    def __init__(
        self,
        context: ForwardingContext,
        stream: RunningStream,
        caller: HeldHead,
        handover_timeout_s: float,
    ) -> None:
        self._context = context
        self._handover_timeout_s = handover_timeout_s
        self._stream = stream
        self._caller = caller
        self._reply: ServerReply | None = None

    async def forward(self, reply: ServerReply) -> str:
        """Relay events until the stream ends.

        Parameters
        ----------
        reply : ServerReply
            Reply of the first server.

        Returns
        -------
        str
            Empty if the stream is complete, else the reason for its interruption.

        Raises
        ------
        ReplyLostError, ServerUnreachableError
            If the run could not be resumed on the next server or on its own.
        """
        while True:
            self._reply = reply
            failure = await self._relay_reply(reply)
            stream = self._stream
            if not failure:
                self._context.outliers.record(stream.server, has_failed=False)
                self._context.crash_detector.run_ended(
                    stream.server, stream.job.request_id, is_sound=True
                )
                return ""
            reply.close()
            stream.is_reply_broken = True
            handover = await self._wait_handover() or await self._fallback()
            if handover is None:
                self._context.crash_detector.run_broke(
                    stream.server, stream.job.request_id
                )
                self._context.outliers.record(stream.server, has_failed=True)
                self._context.fleet.record_failure(stream.server, failure)
                return failure
            if self._context.must_stay(stream.server, stream.job):
                return "the run is not resumed, as it may crash servers"
            reply = await self._resume_or_return(handover)

    def close(self) -> None:
        """Close the connection to the server and release the run's load."""
        if self._reply is not None:
            self._reply.close()
        stream = self._stream
        self._context.crash_detector.run_ended(stream.server, stream.job.request_id)
        self._context.fleet.remove_run(stream.server, stream.job.request_id)

    async def _relay_reply(self, reply: ServerReply) -> str:
        """Relay one reply; return why it does not end the stream, else empty."""
        framing = reply.head.framing
        try:
            with UnframedEndCheck(self._context, self._stream.server, framing) as end:
                await self._relay_events(reply)
                if framing is ReplyFraming.CONNECTION:
                    await self._check_not_stopped()
                await end.verify()
        except ReplyBrokenError as error:
            return str(error)
        return ""

    async def _check_not_stopped(self) -> None:
        """Raise `ReplyBrokenError` if the reply ended as its run is moved.

        A server also closes the connection of a run that it stops for a move.
        """
        stream = self._stream
        if stream.is_stopping:
            await self._wait_handover()
        if stream.is_stopping:
            raise ReplyBrokenError("the run was stopped for a move")

    async def _relay_events(self, reply: ServerReply) -> None:
        stream = self._stream
        stream.reply_framing = reply.head.framing
        stream.unterminated_bytes = 0
        splitter = EventSplitter()
        async for chunk in reply.chunks():
            for event in splitter.feed(chunk):
                self._context.crash_detector.run_wrote(
                    stream.server, stream.job.request_id
                )
                if stream.record_event(event.event_id):
                    self._record_pace()
                    await self._caller.write(event.data)
            stream.unterminated_bytes = splitter.remainder_bytes
            if not stream.job.progress.hold_reply(splitter.remainder_bytes):
                raise ReplyBrokenError("callers hold too much memory")
        if splitter.is_within_event:
            # An orderly close can be a broken run: without a length or chunks, the
            # connection is all that marks the end of the reply.
            raise ReplyBrokenError("the stream ended within an event")
        is_unframed = reply.head.framing is ReplyFraming.CONNECTION
        if is_unframed and not stream.has_delivered_events:
            # Each generation has at least one event.
            raise ReplyBrokenError("the stream ended before its first event")
        if splitter.remainder:
            await self._caller.write(splitter.remainder)

    def _record_pace(self) -> None:
        """Record how long the server took to the first event."""
        stream = self._stream
        if stream.events == 1 and not stream.moves:
            took_s = stream.first_event_at_s - stream.load.sent_at_s
            self._context.paces.record_work(
                stream.server, stream.load.tokens_to_read, took_s
            )

    async def _wait_handover(self) -> Handover | None:
        """Return where a move lets the run continue, or None if there is none."""
        pending = self._stream.handover
        if pending is None:
            return None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._handover_timeout_s):
                return await asyncio.shield(pending)
        return None

    async def _fallback(self) -> Handover | None:
        """Return a copy of a run that its leaving server no longer executes.

        A broken connection does not show that the server has ended the run: only its
        reply may be lost. Unless the server is gone, it must stop the run or state
        that it has none. The target recomputes the tokens that the copy lacks.
        """
        copy = self._stream.fallback
        if copy is None or not copy.source.is_leaving:
            return None
        if await self._is_gone(copy.source):
            return copy
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._handover_timeout_s):
                return await self._stop_run(copy)
        self._log_not_stopped("timeout")
        return None

    async def _is_gone(self, server: BackendServer) -> bool:
        found = await self._context.calls.try_connection(server)
        return found is Reachability.REFUSING

    async def _stop_run(self, copy: Handover) -> Handover | None:
        """Stop a run whose reply was lost; return None if it may still execute."""
        async with self._stream.copy_lock:
            for _ in range(STOP_ATTEMPTS_MAX):
                try:
                    return await stop_run(self._context, self._stream, copy.target)
                except RunNotFoundError:
                    return copy
                except ForwardingError as error:
                    self._log_not_stopped(f"{type(error).__name__}: {error}")
                if await self._is_gone(copy.source):
                    return copy
                await asyncio.sleep(STOP_RETRY_DELAY_S)
        return None

    def _log_not_stopped(self, reason: str) -> None:
        stream = self._stream
        self._context.log.failure(
            "run_not_stopped",
            stream.job.request_id,
            server=stream.server.server_id,
            reason=reason,
        )

    async def _resume_or_return(self, handover: Handover) -> ServerReply:
        """Resume a run on its target or, if that cannot be reached, on its source.

        The source keeps the memory of a stopped run until it terminates.
        """
        try:
            return await self._resume(handover)
        except ServerUnreachableError as error:
            self._context.fleet.record_failure(
                handover.target, str(error), is_certain=True
            )
            if handover.target is handover.source:
                raise
        return await self._resume(evolve(handover, target=handover.source))

    async def _resume(self, handover: Handover) -> ServerReply:
        stream = self._stream
        job = stream.job
        if self._context.fleet.drained_for_s(handover.target) > HANDOVER_GRACE_S:
            raise ReplyLostError("the run cannot go on, as its zone is drained")
        resume_point = ResumePoint(
            handover.source.address, handover.copy_id, stream.last_event_id
        )
        self._context.crash_detector.run_ended(stream.server, job.request_id)
        self._context.fleet.remove_run(stream.server, job.request_id)
        stream.record_move(handover.target)
        handover.target.runs[job.request_id] = stream.load
        self._context.crash_detector.run_sent(handover.target, job)
        try:
            reply = await self._context.calls.send(
                handover.target, job.attempt(resume_point)
            )
        except ReplyLostError:
            self._context.crash_detector.run_broke(handover.target, job.request_id)
            raise
        self._context.crash_detector.run_replied(handover.target, job.request_id)
        head = reply.head
        self._context.log.request(
            "resumed",
            job.request_id,
            source=handover.source.server_id,
            target=handover.target.server_id,
            after_event=stream.last_event_id,
            status=head.status,
        )
        if not head.is_stream_for(job.request_id):
            reply.close()
            raise ReplyLostError(
                f"no stream of the run where it should go on, status {head.status}"
            )
        return reply
