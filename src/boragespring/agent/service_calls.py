"""Execution of calls to the plain service next to the agent."""

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
    """Run submitted calls, each in its own task and at most once.

    Parameters
    ----------
    service : ServiceClient
        Client of the service next to the agent.
    answer_registry : AnswerRegistry
        Keeps the answers until the callers have received them.
    workload : Workload
        Admission queue and leave state of the agent.
    dispatcher : Dispatcher
        Receives submitted calls from the links.
    memory : RunOnceMemory
        Remembers the requests that must not run again.
    incarnation : int
        Number that identifies this run of the agent process.
    """

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
        dispatcher.on(SubmitCall, self._on_submit)

    def _on_submit(self, link: Link, message: SubmitCall) -> None:
        existing = self._answer_registry.get(message.answer_id)
        if existing is not None:
            if existing.workspace == message.workspace:
                self._answer_registry.on_reattached(existing)
                existing.attach(link, 0, 0)
            return
        refusal = self._check_submit(message)
        if refusal is not None:
            link.send(refusal)
            return
        self._memory.record(message.answer_id, SpentReason.RAN)
        answer = self._answer_registry.open(
            message.answer_id, secrets.token_hex(8), message.workspace, 0
        )
        # A call that is not idempotent continues when its entry is lost, so that
        # other entries can query its outcome.
        answer.is_cancellable = message.idempotent
        answer.attach(link, 0, 0)
        answer.task = asyncio.create_task(self._run_once(answer, message))

    def _check_submit(self, message: SubmitCall) -> AnswerRefused | AnswerFailed | None:
        """Return the reply to a submit that must not run, or None if it can run."""
        answer_id = message.answer_id
        if message.incarnation != self._incarnation:
            reason = "the request was sent to an earlier run of the agent process"
            return AnswerRefused(answer_id, "agent_replaced", reason, RETRY_AFTER_S)
        match self._memory.get_spent_reason(answer_id):
            case SpentReason.RAN:
                reason = "the request has run and its outcome is no longer available"
                return AnswerFailed(answer_id, "outcome_unknown", reason)
            case SpentReason.BARRED:
                reason = "another entry resolved the request first"
                return AnswerRefused(answer_id, "claim_lost", reason, RETRY_AFTER_S)
        if self._workload.is_leaving:
            reason = "the backend server is shutting down"
            return AnswerRefused(answer_id, "leaving", reason, RETRY_AFTER_S)
        if self._memory.is_full:
            reason = "the agent's record of processed requests is full"
            return AnswerRefused(answer_id, "memory_full", reason, RETRY_AFTER_S)
        return None

    async def _run_once(self, answer: BufferedAnswer, message: SubmitCall) -> None:
        try:
            await self._run(answer, message)
        finally:
            refused = isinstance(answer.outcome, AnswerRefused)
            spent_reason = SpentReason.BARRED if refused else SpentReason.RAN
            self._memory.record(answer.answer_id, spent_reason)

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
            self._finish_failed_call(answer, ticket, error)
        else:
            self._answer_registry.finish(
                answer,
                ServiceAnswered(
                    answer.answer_id, reply.status, reply.headers, reply.body
                ),
            )
        finally:
            ticket.finish()

    def _finish_failed_call(
        self, answer: BufferedAnswer, ticket: Ticket, error: Exception
    ) -> None:
        if not ticket.was_admitted:
            reason = "the deadline passed before the service had capacity"
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
