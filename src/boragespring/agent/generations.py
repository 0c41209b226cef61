"""Execution of generations at the engine next to the agent."""

import asyncio
import contextlib
import secrets

from absl import logging

from boragespring.admission import AdmissionRefusedError, Ticket
from boragespring.agent.workload import Workload
from boragespring.answers import AnswerRegistry, BufferedAnswer
from boragespring.answers.messages import (
    AnswerFailed,
    AnswerFinished,
    AnswerRefused,
    SubmitGeneration,
)
from boragespring.engines import CallNotRunError, EngineClient, EngineError
from boragespring.engines.client import GenerationRequest
from boragespring.links import Dispatcher, Link

__all__ = ["GenerationRunner"]

LEAVING_RETRY_AFTER_S = 1.0
ENGINE_RETRY_AFTER_S = 1.0


class GenerationRunner:
    """Run submitted generations, each in its own task.

    Parameters
    ----------
    engine : EngineClient
        Client of the engine next to the agent.
    answer_registry : AnswerRegistry
        Keeps the tokens of answers until the callers have received them.
    workload : Workload
        Admission queue and leave state of the agent.
    dispatcher : Dispatcher
        Receives submitted generations from the links.
    """

    def __init__(
        self,
        engine: EngineClient,
        answer_registry: AnswerRegistry,
        workload: Workload,
        dispatcher: Dispatcher,
    ) -> None:
        self._engine = engine
        self._answer_registry = answer_registry
        self._workload = workload
        self._running: dict[bytes, tuple[BufferedAnswer, bool]] = {}
        dispatcher.on(SubmitGeneration, self._on_submit)

    def move(self) -> int:
        """End the generations that can start again elsewhere.

        These are the ones that are allowed to move and those without output.

        Returns
        -------
        int
            Number of generations that were ended.
        """
        movable = [
            answer
            for answer, is_movable in tuple(self._running.values())
            if is_movable or not answer.produced
        ]
        for answer in movable:
            self._fail(answer, "moved", "the backend server is being reclaimed")
            if answer.task is not None:
                answer.task.cancel()
        return len(movable)

    def _on_submit(self, link: Link, message: SubmitGeneration) -> None:
        existing = self._answer_registry.get(message.answer_id)
        if existing is not None:
            # The submit was retried after a lost link and must not run twice.
            if existing.workspace == message.workspace:
                self._answer_registry.on_reattached(existing)
                existing.attach(link, 0, message.limit)
            return
        if self._workload.is_leaving:
            link.send(
                AnswerRefused(
                    message.answer_id,
                    "leaving",
                    "the backend server is shutting down",
                    LEAVING_RETRY_AFTER_S,
                )
            )
            return
        generation_id = secrets.token_hex(8)
        answer = self._answer_registry.open(
            message.answer_id, generation_id, message.workspace, message.limit
        )
        answer.attach(link, 0, message.limit)
        answer.task = asyncio.create_task(self._run(answer, message))

    async def _run(self, answer: BufferedAnswer, message: SubmitGeneration) -> None:
        ticket = self._workload.generation_ticket(message)
        self._running[answer.answer_id] = (answer, message.is_movable)
        try:
            async with asyncio.timeout(message.deadline_in_s):
                await self._workload.queue.submit(ticket)
                await self._generate(answer, message, ticket)
        except AdmissionRefusedError as error:
            self._refuse(answer, error.code, str(error), error.retry_after_s)
        except TimeoutError:
            self._finish_timed_out(answer, ticket)
        except CallNotRunError as error:
            self._refuse(answer, "not_run", str(error), ENGINE_RETRY_AFTER_S)
        except EngineError as error:
            self._fail(answer, "generation_failed", str(error))
        except Exception as error:
            logging.exception("event=generation_failed answer=%s", answer.answer_id)
            self._fail(answer, "agent_error", f"{type(error).__name__}: {error}")
        finally:
            ticket.finish(is_complete=isinstance(answer.outcome, AnswerFinished))
            del self._running[answer.answer_id]

    async def _generate(
        self, answer: BufferedAnswer, message: SubmitGeneration, ticket: Ticket
    ) -> None:
        request = GenerationRequest(
            answer.generation_id,
            message.model,
            message.prompt,
            message.max_tokens,
            ticket.traffic_class.rank,
            message.parameters,
        )
        self._workload.cache.record_prompt(message.prompt)
        stream = self._engine.generate(request)
        async with contextlib.aclosing(stream):
            async for batch in stream:
                ticket.record_tokens(len(batch.texts))
                answer.append(batch.texts)
                if batch.finish_reason is not None:
                    finished = AnswerFinished(
                        answer.answer_id,
                        answer.produced,
                        str(batch.finish_reason),
                        message.prompt_tokens,
                    )
                    self._answer_registry.finish(answer, finished)
                    return
                await answer.wait_for_space()

    def _finish_timed_out(self, answer: BufferedAnswer, ticket: Ticket) -> None:
        if ticket.was_admitted:
            self._fail(
                answer,
                "deadline_exceeded",
                "the generation was cancelled at its deadline",
            )
            return
        reason = "the deadline passed before the engine had capacity"
        self._refuse(answer, "deadline_unreachable", reason, ENGINE_RETRY_AFTER_S)

    def _refuse(
        self, answer: BufferedAnswer, code: str, reason: str, retry_after_s: float
    ) -> None:
        refused = AnswerRefused(answer.answer_id, str(code), reason, retry_after_s)
        self._answer_registry.finish(answer, refused)

    def _fail(self, answer: BufferedAnswer, code: str, reason: str) -> None:
        self._answer_registry.finish(
            answer, AnswerFailed(answer.answer_id, code, reason)
        )
