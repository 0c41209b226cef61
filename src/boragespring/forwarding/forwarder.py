"""Serve callers' requests from validation to the final reply."""

from attrs import frozen

from boragespring.catalog import RequestKind
from boragespring.forwarding.buffered import BufferedForwarder
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.jobs import Job, RequestValidator
from boragespring.forwarding.messages import CallerReply, CallerRequest, Refusal
from boragespring.forwarding.request_tracker import RequestTracker
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
        Retry budget.
    tracker : RequestTracker
        Writes the final line of each request.
    """

    validator: RequestValidator
    buffered: BufferedForwarder
    streaming: StreamForwarder
    context: ForwardingContext
    tracker: RequestTracker

    def refuse_early(self, request: CallerRequest) -> Refusal | None:
        """Return the refusal of a request whose body need not be read.

        While this gateway stops, waiting for a body would only delay both the caller,
        whom another gateway can serve, and the stop.
        """
        if self.validator.stops_at_s is None:
            return None
        job = self.validator.validate(request)
        return job if isinstance(job, Refusal) else None

    async def serve(self, request: CallerRequest, caller: CallerReply) -> None:
        """Forward a request and send the reply or refusal to the caller."""
        job = self.validator.validate(request)
        if isinstance(job, Refusal):
            await self._refuse(request, job, caller)
            return
        request.progress.admit(
            job.route.name, job.route.kind.value, job.workspace, job.deadline_s
        )
        self.context.budget.record_request(job.service.name)
        if job.route.kind is RequestKind.STREAMING:
            await self._serve_stream(job, caller)
            return
        reply = await self.buffered.forward(job)
        if isinstance(reply, Refusal):
            await self._refuse(request, reply, caller)
            return
        job.progress.answer()
        await caller.send_buffered(reply.head, reply.body)
        self.tracker.answered(
            job.progress,
            f"status {reply.head.status}",
            server=reply.server_id,
            framing=reply.head.framing.value,
            body_bytes=len(reply.body),
        )

    async def _serve_stream(self, job: Job, caller: CallerReply) -> None:
        outcome = await self.streaming.forward(job, caller)
        if isinstance(outcome, Refusal):
            await self._refuse(job.request, outcome, caller)
            return
        self.tracker.answered(
            job.progress,
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
        self, request: CallerRequest, refusal: Refusal, caller: CallerReply
    ) -> None:
        self.tracker.refused(request.progress, refusal)
        await caller.refuse(refusal)
