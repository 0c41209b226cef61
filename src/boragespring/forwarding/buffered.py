"""Forward requests whose reply is buffered until it is complete."""

import asyncio
import random
import time
from functools import partial

from attrs import define, field, frozen

from boragespring.catalog import RequestKind
from boragespring.fleet import BackendServer
from boragespring.fleet.model import RunLoad
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    RateLimitedError,
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
from boragespring.forwarding.time_limits import bring_forward
from boragespring.forwarding.unframed_end import UnframedEndCheck

__all__ = ["BufferedForwarder", "BufferedReply", "BufferedSettings"]


@frozen
class BufferedSettings:
    """Limits on the attempts of a request and on the size of its reply.

    Parameters
    ----------
    sends_max : int
        Maximum number of servers to send to, including those that refuse.
    attempt_timeout_share : float
        Fraction of the remaining time that an attempt of an idempotent request is
        allowed to take while another attempt is left.
    body_max_bytes : int
        Maximum size of a buffered reply in bytes.
    retry_after_s : float
        Retry delay in seconds sent with a refusal.
    """

    sends_max: int = 4
    attempt_timeout_share: float = 0.5
    body_max_bytes: int = 8 * 2**20
    retry_after_s: float = 0.25


@frozen
class BufferedReply:
    """Complete reply of a backend server."""

    head: ReplyHead
    body: bytes
    server_id: str


@frozen
class _NotRun:
    """Outcome of an attempt that is known not to have run.

    Parameters
    ----------
    reason : str
        What the server did.
    is_server_failure : bool
        Whether the server could have run it.
    """

    reason: str
    is_server_failure: bool = True


@frozen
class _ReplyLost:
    """Outcome of an attempt that may have run and has no usable reply.

    Parameters
    ----------
    reason : str
        What was received instead.
    is_timeout : bool
        Whether there was no reply in time.
    is_server_failure : bool
        Whether the server is to blame, and not this gateway.
    """

    reason: str
    is_timeout: bool = False
    is_server_failure: bool = True


@define
class _Progress:
    """Attempts made so far for one request.

    Parameters
    ----------
    excluded : set of str
        Servers that have already been sent the request.
    runs : int
        Attempts that ran or may have run.
    sends : int
        All attempts, including those that did not run.
    failed_reply : BufferedReply or None
        Latest reply with a 5xx status.
    """

    excluded: set[str] = field(factory=set)
    runs: int = 0
    sends: int = 0
    failed_reply: BufferedReply | None = None


class BufferedForwarder:
    """Send a request to servers until one replies or no retry is allowed.

    Parameters
    ----------
    context : ForwardingContext
        Dependencies shared by all requests.
    settings : BufferedSettings
        Limits on attempts and on the size of replies.
    rng : random.Random, optional
        Spreads the retry delays of refused requests.
    """

    def __init__(
        self,
        context: ForwardingContext,
        settings: BufferedSettings,
        rng: random.Random | None = None,
    ) -> None:
        self._context = context
        self._settings = settings
        self._rng = rng or random.Random()

    async def forward(self, job: Job) -> BufferedReply | Refusal:
        """Return the reply for the caller, or a refusal of the gateway itself."""
        progress = _Progress()
        try:
            async with self._context.unanswered.limit(job.deadline_s):
                return await self._try_servers(job, progress)
        except TimeoutError:
            return self._on_timeout(progress)

    async def _try_servers(
        self, job: Job, progress: _Progress
    ) -> BufferedReply | Refusal:
        while True:
            refusal = self._context.refuse_quarantined(job)
            if refusal is not None:
                return self._end_refused(progress, refusal)
            server = self._choose(job, progress)
            if server is None:
                found = await self._context.wait_for_server(
                    job, progress.excluded, self._rng
                )
                if not isinstance(found, BackendServer):
                    reason = found.reason if found else RefusalReason.NO_SERVER
                    retry_after_s = found.retry_after_s if found else None
                    return self._give_up(job, progress, reason, retry_after_s)
                server = found
            if progress.sends and not self._context.budget.try_acquire(
                job.service.name
            ):
                return self._give_up(job, progress, RefusalReason.OVERLOADED)
            refusal = self._context.refuse_quarantined(job)
            if refusal is not None:
                return self._end_refused(progress, refusal)
            progress.sends += 1
            outcome = await self._send(job, server, progress)
            if isinstance(outcome, BufferedReply) and outcome.head.status < 500:
                return outcome
            if isinstance(outcome, BufferedReply):
                progress.failed_reply = outcome
            self._context.metrics.record_retry(_outcome_kind(outcome))
            self._context.log.request(
                "try_again",
                job.request_id,
                server=server.server_id,
                sends=progress.sends,
                runs=progress.runs,
                outcome=_describe_outcome(outcome),
            )
            if not self._can_retry(job, progress):
                return self._give_up(job, progress, RefusalReason.REPLY_LOST)
            if await self._context.must_not_repeat(job, server):
                return self._give_up(job, progress, RefusalReason.REPLY_LOST)

    def _choose(self, job: Job, progress: _Progress) -> BackendServer | None:
        view = PlacementView(
            servers=self._context.fleet.candidates(job.service.name),
            zone=self._context.zone,
            now_s=time.monotonic(),
            excluded=progress.excluded,
        )
        server = None
        if job.route.kind is RequestKind.IDEMPOTENT and not progress.sends:
            server = self._context.outliers.trial_server(job.service.name)
        server = server or choose_server(ServiceCall(), view, self._context.placement)
        self._context.prefetch_permits(job)
        return server

    async def _send(
        self, job: Job, server: BackendServer, progress: _Progress
    ) -> BufferedReply | _NotRun | _ReplyLost:
        progress.excluded.add(server.server_id)
        job.progress.send(server.server_id)
        now_s = time.monotonic()
        server.runs[job.request_id] = RunLoad(0, 0.0, now_s)
        try:
            async with asyncio.timeout_at(
                self._attempt_deadline_s(job, progress, now_s)
            ) as scope:
                self._context.crash_detector.run_sent(
                    server, job, partial(bring_forward, scope, 0.0)
                )
                outcome = await self._exchange(job, server)
        except TimeoutError:
            outcome = _ReplyLost("no reply in time", is_timeout=True)
        finally:
            self._context.crash_detector.run_ended(server, job.request_id)
            self._context.fleet.remove_run(server, job.request_id)
        job.progress.take_back()
        self._record_outcome(job, server, outcome, now_s)
        if isinstance(outcome, _NotRun):
            return outcome
        progress.runs += 1
        if isinstance(outcome, _ReplyLost) and outcome.is_server_failure:
            self._context.fleet.record_failure(server, outcome.reason)
        else:
            self._context.fleet.record_success(server)
        return outcome

    def _record_outcome(
        self,
        job: Job,
        server: BackendServer,
        outcome: BufferedReply | _NotRun | _ReplyLost,
        sent_at_s: float,
    ) -> None:
        """Count an outcome at its server, unless the server had no fair chance."""
        if isinstance(outcome, _NotRun):
            if outcome.is_server_failure:
                self._context.outliers.record(server, has_failed=True)
            return
        if isinstance(outcome, BufferedReply):
            has_failed = outcome.head.status >= 500
        elif not outcome.is_server_failure:
            return
        else:
            waited_s = time.monotonic() - sent_at_s
            if outcome.is_timeout and waited_s < job.route.objective_s:
                return
            has_failed = True
        self._context.outliers.record(server, has_failed=has_failed)
        if not has_failed:
            self._context.paces.record_work(server, 1.0, time.monotonic() - sent_at_s)

    async def _exchange(
        self, job: Job, server: BackendServer
    ) -> BufferedReply | _NotRun | _ReplyLost:
        try:
            reply = await self._context.calls.send(server, job.attempt())
        except RateLimitedError as error:
            return _NotRun(str(error), is_server_failure=False)
        except ServerUnreachableError as error:
            self._context.fleet.record_failure(server, str(error), is_certain=True)
            return _NotRun(str(error))
        except ReplyLostError as error:
            self._context.crash_detector.run_broke(server, job.request_id)
            return _ReplyLost(str(error))
        try:
            outcome = await self._read_reply(job, server, reply)
            self._context.crash_detector.run_ended(
                server,
                job.request_id,
                is_sound=isinstance(outcome, BufferedReply) and reply.head.is_success,
            )
            return outcome
        except ReplyBrokenError as error:
            self._context.crash_detector.run_broke(server, job.request_id)
            return _ReplyLost(str(error))
        finally:
            reply.close()

    async def _read_reply(
        self, job: Job, server: BackendServer, reply: ServerReply
    ) -> BufferedReply | _NotRun | _ReplyLost:
        head = reply.head
        # A refusal of another request says nothing about this one.
        if head.request_id and head.request_id != job.request_id:
            return _ReplyLost(f"reply to another request, {head.request_id}")
        if head.was_not_run or head.is_misdirected:
            return _NotRun(f"status {head.status}", not head.is_misdirected)
        if head.is_encoded:
            return _ReplyLost("encoded body")
        if head.is_success and not head.is_signed:
            return _ReplyLost("success without a signature")
        body = bytearray()
        with UnframedEndCheck(self._context, server, head.framing) as end:
            async for chunk in reply.chunks():
                body += chunk
                if len(body) > self._settings.body_max_bytes:
                    return _ReplyLost("reply too large to hold")
                if not job.progress.hold_reply(len(body)):
                    reason = "callers hold too much memory"
                    return _ReplyLost(reason, is_server_failure=False)
            await end.verify()
        return BufferedReply(head, bytes(body), server.server_id)

    def _attempt_deadline_s(self, job: Job, progress: _Progress, now_s: float) -> float:
        left_s = job.deadline_s - now_s
        runs_left = job.route.attempts_max - progress.runs
        if job.route.kind is RequestKind.IDEMPOTENT and runs_left > 1:
            return now_s + self._settings.attempt_timeout_share * left_s
        return job.deadline_s

    def _can_retry(self, job: Job, progress: _Progress) -> bool:
        if progress.sends >= self._settings.sends_max:
            return False
        if job.route.kind is not RequestKind.IDEMPOTENT and progress.runs:
            return False
        return progress.runs < job.route.attempts_max

    def _end_refused(
        self, progress: _Progress, refusal: Refusal
    ) -> BufferedReply | Refusal:
        """End a request that is refused, after the attempts made so far."""
        if progress.failed_reply is not None:
            return progress.failed_reply
        if progress.runs:
            return Refusal(RefusalReason.REPLY_LOST, was_not_run=False)
        return refusal

    def _give_up(
        self,
        job: Job,
        progress: _Progress,
        reason: RefusalReason,
        retry_after_s: float | None = None,
    ) -> BufferedReply | Refusal:
        if retry_after_s is None and not progress.runs:
            retry_after_s = self._context.retry_after_s(
                job, self._settings.retry_after_s, self._rng
            )
        return self._end_refused(progress, Refusal(reason, True, retry_after_s or 0.0))

    def _on_timeout(self, progress: _Progress) -> BufferedReply | Refusal:
        if progress.failed_reply is not None:
            return progress.failed_reply
        return self._context.unanswered.refusal(was_not_run=not progress.sends)


def _outcome_kind(outcome: BufferedReply | _NotRun | _ReplyLost) -> str:
    if isinstance(outcome, BufferedReply):
        return "server_failure"
    return "not_run" if isinstance(outcome, _NotRun) else "lost"


def _describe_outcome(outcome: BufferedReply | _NotRun | _ReplyLost) -> str:
    if isinstance(outcome, BufferedReply):
        return f"status {outcome.head.status}"
    kind = "not run" if isinstance(outcome, _NotRun) else "may have run"
    return f"{kind}: {outcome.reason}"
