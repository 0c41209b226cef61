"""Serve one request of a caller from admission to its final answer."""

import time

from attrs import frozen

from boragespring.catalog import RequestKind
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.jobs import Job, JobGate
from boragespring.forwarding.messages import CallerReply, CallerRequest, Refusal
from boragespring.forwarding.streamed import StreamForwarder
from boragespring.forwarding.whole import WholeForwarder

__all__ = ["Forwarder"]


@frozen
class Forwarder:
    """Parts that serve requests.

    Parameters
    ----------
    gate : JobGate
        Checks requests.
    whole : WholeForwarder
        Serves those with a whole reply.
    streamed : StreamForwarder
        Serves streams.
    context : ForwardingContext
        Log and budget.
    """

    gate: JobGate
    whole: WholeForwarder
    streamed: StreamForwarder
    context: ForwardingContext

    async def serve(self, request: CallerRequest, caller: CallerReply) -> None:
        """Give a request its final answer."""
        job = self.gate.admit(request)
        if isinstance(job, Refusal):
            await self._refuse(request, job, caller)
            return
        self.context.budget.note_request(job.service.name)
        if job.route.kind is RequestKind.STREAMING:
            await self._serve_stream(job, caller)
            return
        reply = await self.whole.forward(job)
        if isinstance(reply, Refusal):
            await self._refuse(request, reply, caller, job)
            return
        self._tell_end(job, f"status {reply.head.status}", server=reply.server_id)
        await caller.send_whole(reply.head, reply.body)

    async def _serve_stream(self, job: Job, caller: CallerReply) -> None:
        outcome = await self.streamed.forward(job, caller)
        if isinstance(outcome, Refusal):
            await self._refuse(job.request, outcome, caller, job)
            return
        self._tell_end(
            job,
            outcome.end.name.lower(),
            reason=outcome.reason,
            server=outcome.server_id,
            events=outcome.events,
            longest_pause_s=outcome.longest_pause_s,
            moves=outcome.moves,
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
        self._count(request, job, refusal.reason.value)
        await caller.refuse(refusal)

    def _count(self, request: CallerRequest, job: Job | None, outcome: str) -> None:
        workspace = job.workspace if job else ""
        kind = job.route.kind.value if job else "none"
        took_s = time.monotonic() - request.arrived_at_s
        self.context.metrics.record_ended(workspace, kind, outcome, took_s)

    def _tell_end(self, job: Job, outcome: str, **inputs: object) -> None:
        is_failure = outcome == "cut" or outcome.startswith("status 5")
        tell = self.context.log.failure if is_failure else self.context.log.request
        self._count(job.request, job, outcome)
        tell(
            "answered",
            job.request_id,
            outcome=outcome,
            route=job.route.name,
            kind=job.route.kind.value,
            workspace=job.workspace,
            took_s=round(time.monotonic() - job.request.arrived_at_s, 3),
            **inputs,
        )
