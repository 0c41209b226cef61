"""Send calls to the plain service beside the agent."""

import asyncio
import secrets

from boragespring.admission import AdmissionRefusedError, Ticket
from boragespring.agent.workload import Workload
from boragespring.answers import AnswerRegistry, BufferedAnswer
from boragespring.answers.messages import (
    AnswerFailed,
    AnswerRefused,
    ServiceAnswered,
    SubmitCall,
)
from boragespring.claims import RunOnceMemory, SpentReason
from boragespring.engines import CallNotRunError, EngineError, ServiceClient
from boragespring.engines.client import ServiceCall
from boragespring.links import Dispatcher, Link

__all__ = ["ServiceCallRunner"]

RETRY_AFTER_S = 1.0


class ServiceCallRunner:
    """Take submitted calls; one task sends each, at most once."""

    def __init__(
        self,
        service: ServiceClient,
        answer_registry: AnswerRegistry,
        workload: Workload,
        dispatcher: Dispatcher,
        memory: RunOnceMemory,
        incarnation: int,
    ) -> None:
        self._memory = memory
        self._incarnation = incarnation
        self._service = service
        self._answer_registry = answer_registry
        self._workload = workload
        dispatcher.on(SubmitCall, self._submit)

    def _submit(self, link: Link, message: SubmitCall) -> None:
        kept = self._answer_registry.get(message.answer_id)
        if kept is not None:
            if kept.workspace == message.workspace:
                self._answer_registry.on_reattached(kept)
                kept.attach(link, 0, 0)
            return
        refusal = self._why_not(message)
        if refusal is not None:
            link.send(refusal)
            return
        self._memory.record(message.answer_id, SpentReason.RAN)
        answer = self._answer_registry.open(
            message.answer_id, secrets.token_hex(8), message.workspace, 0
        )
        # A call that may not be repeated goes on when its entry is lost, so
        # that its outcome can be told to whoever asks.
        answer.is_cancellable = message.idempotent
        answer.attach(link, 0, 0)
        answer.task = asyncio.create_task(self._run_once(answer, message))

    def _why_not(self, message: SubmitCall) -> AnswerRefused | AnswerFailed | None:
        """Return why a submit must not run, or None."""
        answer_id = message.answer_id
        if message.incarnation != self._incarnation:
            reason = "the request was meant for an earlier start of the agent"
            return AnswerRefused(answer_id, "agent_replaced", reason, RETRY_AFTER_S)
        match self._memory.get_spent_reason(answer_id):
            case SpentReason.RAN:
                reason = "the request ran and its outcome is no longer kept"
                return AnswerFailed(answer_id, "outcome_unknown", reason)
            case SpentReason.BARRED:
                reason = "another entry settled the request first"
                return AnswerRefused(answer_id, "claim_lost", reason, RETRY_AFTER_S)
        if self._workload.is_leaving:
            reason = "the backend server is leaving"
            return AnswerRefused(answer_id, "leaving", reason, RETRY_AFTER_S)
        if self._memory.is_full:
            reason = "the agent remembers as many requests as it can"
            return AnswerRefused(answer_id, "memory_full", reason, RETRY_AFTER_S)
        return None

    async def _run_once(self, answer: BufferedAnswer, message: SubmitCall) -> None:
        try:
            await self._run(answer, message)
        finally:
            refused = isinstance(answer.outcome, AnswerRefused)
            why = SpentReason.BARRED if refused else SpentReason.RAN
            self._memory.record(answer.answer_id, why)

    async def _run(self, answer: BufferedAnswer, message: SubmitCall) -> None:
        ticket = self._workload.call_ticket(message)
        call = ServiceCall(message.method, message.path, message.headers, message.body)
        try:
            async with asyncio.timeout(message.deadline_in_s):
                await self._workload.queue.submit(ticket)
                reply = await self._service.call(call)
        except AdmissionRefusedError as error:
            self._refuse(answer, error.code, str(error), error.retry_after_s)
        except CallNotRunError as error:
            self._refuse(answer, "not_run", str(error), RETRY_AFTER_S)
        except (EngineError, TimeoutError) as error:
            self._lose(answer, ticket, error)
        else:
            self._answer_registry.finish(
                answer,
                ServiceAnswered(
                    answer.answer_id, reply.status, reply.headers, reply.body
                ),
            )
        finally:
            ticket.finish()

    def _lose(self, answer: BufferedAnswer, ticket: Ticket, error: Exception) -> None:
        if not ticket.was_admitted:
            reason = "the deadline passed before the service had room"
            self._refuse(answer, "deadline_unreachable", reason, RETRY_AFTER_S)
            return
        reason = str(error) or "no answer before the deadline"
        self._answer_registry.finish(
            answer, AnswerFailed(answer.answer_id, "outcome_unknown", reason)
        )

    def _refuse(
        self, answer: BufferedAnswer, code: str, reason: str, retry_after_s: float
    ) -> None:
        refused = AnswerRefused(answer.answer_id, str(code), reason, retry_after_s)
        self._answer_registry.finish(answer, refused)
