"""Forward requests whose reply is passed on as a whole."""

import asyncio
import time

from attrs import define, field, frozen

from boragespring.catalog import RequestKind
from boragespring.fleet import BackendServer
from boragespring.fleet.model import RunLoad
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    ReplyBrokenError,
    ReplyLostError,
    ServerUnreachableError,
)
from boragespring.forwarding.jobs import Job
from boragespring.forwarding.messages import (
    Refusal,
    RefusalReason,
    ReplyHead,
    ServerReply,
)
from boragespring.forwarding.placement import (
    PlacementView,
    ServiceCall,
    choose_server,
)

__all__ = ["WholeForwarder", "WholeReply", "WholeSettings"]


@frozen
class WholeSettings:
    """How long and how often a request is tried.

    Parameters
    ----------
    sends_max : int
        Most servers that are asked, with those that refuse.
    patience_share : float
        Share of the time left after which an idempotent request that may be
        sent again no longer waits for its first server.
    body_max_bytes : int
        Largest reply that is held back until it is complete.
    retry_after_s : float
        When to come back after a refusal.
    """

    sends_max: int = 4
    patience_share: float = 0.5
    body_max_bytes: int = 8 * 2**20
    retry_after_s: float = 0.25


@frozen
class WholeReply:
    """Complete reply of a server."""

    head: ReplyHead
    body: bytes
    server_id: str


@frozen
class _NotRun:
    """The server did not run the request."""

    reason: str


@frozen
class _Lost:
    """The request may have run and there is no reply to pass on."""

    reason: str


@define
class _Progress:
    """What happened to a request so far."""

    avoided: set[str] = field(factory=set)
    runs: int = 0
    sends: int = 0
    failed_reply: WholeReply | None = None


class WholeForwarder:
    """Send a request until it has a reply, within what may be repeated."""

    def __init__(self, context: ForwardingContext, settings: WholeSettings) -> None:
        self._context = context
        self._settings = settings

    async def forward(self, job: Job) -> WholeReply | Refusal:
        """Return the reply for the caller, or the gateway's own answer."""
        progress = _Progress()
        try:
            async with asyncio.timeout_at(job.deadline_s):
                return await self._try_servers(job, progress)
        except TimeoutError:
            return self._timed_out(job, progress)

    async def _try_servers(self, job: Job, progress: _Progress) -> WholeReply | Refusal:
        while True:
            server = self._choose(job, progress)
            if server is None:
                return self._give_up(progress, RefusalReason.NO_SERVER)
            if progress.sends and not self._context.budget.take(job.service.name):
                return self._give_up(progress, RefusalReason.OVERLOADED)
            progress.sends += 1
            outcome = await self._send(job, server, progress)
            if isinstance(outcome, WholeReply) and outcome.head.status < 500:
                return outcome
            if isinstance(outcome, WholeReply):
                progress.failed_reply = outcome
            self._context.metrics.record_retry(_kind_of(outcome))
            self._context.log.request(
                "try_again",
                job.request_id,
                server=server.server_id,
                sends=progress.sends,
                runs=progress.runs,
                outcome=_describe(outcome),
            )
            if not self._may_repeat(job, progress):
                return self._give_up(progress, RefusalReason.REPLY_LOST)

    def _choose(self, job: Job, progress: _Progress) -> BackendServer | None:
        view = PlacementView(
            servers=self._context.fleet.candidates(job.service.name),
            zone=self._context.zone,
            now_s=time.monotonic(),
            avoided=progress.avoided,
        )
        return choose_server(ServiceCall(), view, self._context.placement)

    async def _send(
        self, job: Job, server: BackendServer, progress: _Progress
    ) -> WholeReply | _NotRun | _Lost:
        progress.avoided.add(server.server_id)
        now_s = time.monotonic()
        server.runs[job.request_id] = RunLoad(0, 0.0, now_s)
        try:
            async with asyncio.timeout_at(self._patience_end_s(job, progress, now_s)):
                outcome = await self._exchange(job, server)
        except TimeoutError:
            outcome = _Lost("no reply in time")
        finally:
            self._context.fleet.run_ended(server, job.request_id)
        if isinstance(outcome, _NotRun):
            return outcome
        progress.runs += 1
        if isinstance(outcome, _Lost):
            self._context.fleet.note_failure(server, outcome.reason)
        else:
            self._context.fleet.note_success(server)
        return outcome

    async def _exchange(
        self, job: Job, server: BackendServer
    ) -> WholeReply | _NotRun | _Lost:
        try:
            reply = await self._context.calls.send(server, job.attempt())
        except ServerUnreachableError as error:
            self._context.fleet.note_failure(server, str(error), is_certain=True)
            return _NotRun(str(error))
        except ReplyLostError as error:
            return _Lost(str(error))
        try:
            return await self._read(job, server, reply)
        except ReplyBrokenError as error:
            return _Lost(str(error))
        finally:
            reply.close()

    async def _read(
        self, job: Job, server: BackendServer, reply: ServerReply
    ) -> WholeReply | _NotRun | _Lost:
        head = reply.head
        if head.was_not_run or head.is_other_server:
            return _NotRun(f"status {head.status}")
        if head.request_id and head.request_id != job.request_id:
            return _Lost(f"reply to another request, {head.request_id}")
        if head.is_encoded:
            return _Lost("encoded body")
        if head.is_success and not head.is_signed:
            return _Lost("success without a signature")
        body = bytearray()
        async for chunk in reply.chunks():
            body += chunk
            if len(body) > self._settings.body_max_bytes:
                return _Lost("reply too large to hold")
        return WholeReply(head, bytes(body), server.server_id)

    def _patience_end_s(self, job: Job, progress: _Progress, now_s: float) -> float:
        left_s = job.deadline_s - now_s
        runs_left = job.route.attempts_max - progress.runs
        if job.route.kind is RequestKind.IDEMPOTENT and runs_left > 1:
            return now_s + self._settings.patience_share * left_s
        return job.deadline_s

    def _may_repeat(self, job: Job, progress: _Progress) -> bool:
        if progress.sends >= self._settings.sends_max:
            return False
        if job.route.kind is not RequestKind.IDEMPOTENT and progress.runs:
            return False
        return progress.runs < job.route.attempts_max

    def _give_up(
        self, progress: _Progress, reason: RefusalReason
    ) -> WholeReply | Refusal:
        if progress.failed_reply is not None:
            return progress.failed_reply
        if progress.runs:
            return Refusal(RefusalReason.REPLY_LOST, was_not_run=False)
        return Refusal(reason, True, self._settings.retry_after_s)

    def _timed_out(self, job: Job, progress: _Progress) -> WholeReply | Refusal:
        if progress.failed_reply is not None:
            return progress.failed_reply
        was_not_run = not progress.sends
        return Refusal(RefusalReason.TIMED_OUT, was_not_run)


def _kind_of(outcome: WholeReply | _NotRun | _Lost) -> str:
    if isinstance(outcome, WholeReply):
        return "server_failure"
    return "not_run" if isinstance(outcome, _NotRun) else "lost"


def _describe(outcome: WholeReply | _NotRun | _Lost) -> str:
    if isinstance(outcome, WholeReply):
        return f"status {outcome.head.status}"
    kind = "not run" if isinstance(outcome, _NotRun) else "may have run"
    return f"{kind}: {outcome.reason}"
