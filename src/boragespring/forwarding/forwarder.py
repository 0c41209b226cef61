"""Serve callers' requests from validation to the final reply."""

import time

from attrs import frozen

from boragespring.catalog import RequestKind
from boragespring.forwarding.buffered import BufferedForwarder
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.jobs import Job, RequestValidator
from boragespring.forwarding.messages import CallerReply, CallerRequest, Refusal
from boragespring.forwarding.streaming import StreamForwarder

__all__ = ["Forwarder"]


@frozen
class Forwarder:
    """Validate requests and forward them according to the kind of their route.

    Parameters
    ----------
    validator : RequestValidator
        Validates requests.
    buffered : BufferedForwarder
        Forwards requests whose reply is buffered.
    streaming : StreamForwarder
        Forwards requests whose reply is streamed.
    context : ForwardingContext
        Log, metrics and retry budget.
    """

    validator: RequestValidator
    buffered: BufferedForwarder
    streaming: StreamForwarder
    context: ForwardingContext

    async def serve(self, request: CallerRequest, caller: CallerReply) -> None:
        """Forward a request and send the reply or refusal to the caller."""
        job = self.validator.validate(request)
        if isinstance(job, Refusal):
            await self._refuse(request, job, caller)
            return
        self.context.budget.record_request(job.service.name)
        if job.route.kind is RequestKind.STREAMING:
            await self._serve_stream(job, caller)
            return
        reply = await self.buffered.forward(job)
        if isinstance(reply, Refusal):
            await self._refuse(request, reply, caller, job)
            return
        self._log_end(
            job,
            f"status {reply.head.status}",
            server=reply.server_id,
            framing=reply.head.framing.value,
            body_bytes=len(reply.body),
        )
        await caller.send_buffered(reply.head, reply.body)

    async def _serve_stream(self, job: Job, caller: CallerReply) -> None:
        outcome = await self.streaming.forward(job, caller)
        if isinstance(outcome, Refusal):
            await self._refuse(job.request, outcome, caller, job)
            return
        self._log_end(
            job,
            outcome.end.name.lower(),
            reason=outcome.reason,
            server=outcome.server_id,
            events=outcome.events,
            longest_pause_s=outcome.longest_pause_s,
            moves=outcome.moves,
            framing=outcome.framing.value,
            unterminated_bytes=outcome.unterminated_bytes,
        )

    async def _refuse(
        self,
        request: CallerRequest,
        refusal: Refusal,
        caller: CallerReply,
        job: Job | None = None,
    ) -> None:
        self.context.log.failure(
            "refused",
            request.request_id,
            reason=refusal.reason.value,
            was_not_run=refusal.was_not_run,
            retry_after_s=refusal.retry_after_s,
            route=job.route.name if job else "",
            kind=job.route.kind.value if job else "",
            held_s=round(time.monotonic() - request.arrived_at_s, 3),
        )
        self._record_outcome(request, job, refusal.reason.value)
        await caller.refuse(refusal)

    def _record_outcome(
        self, request: CallerRequest, job: Job | None, outcome: str
    ) -> None:
        workspace = job.workspace if job else ""
        kind = job.route.kind.value if job else "none"
        took_s = time.monotonic() - request.arrived_at_s
        self.context.metrics.record_ended(workspace, kind, outcome, took_s)

    def _log_end(self, job: Job, outcome: str, **inputs: object) -> None:
        is_failure = outcome == "cut" or outcome.startswith("status 5")
        write_log = self.context.log.failure if is_failure else self.context.log.request
        self._record_outcome(job.request, job, outcome)
        write_log(
            "answered",
            job.request_id,
            outcome=outcome,
            route=job.route.name,
            kind=job.route.kind.value,
            workspace=job.workspace,
            took_s=round(time.monotonic() - job.request.arrived_at_s, 3),
            **inputs,
        )
