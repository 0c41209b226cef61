"""Handle queries about claimed requests on the agent's side."""

import asyncio

from boragespring.answers import AnswerRegistry
from boragespring.answers.messages import AnswerRefused, ServiceAnswered
from boragespring.claims.messages import ClaimQuery, ClaimReply, RunState
from boragespring.claims.run_once import RunOnceMemory, SpentReason
from boragespring.links import Dispatcher, Link

__all__ = ["ClaimQueryHandler"]

SUBMIT_GRACE_S = 0.05


class ClaimQueryHandler:
    """Report the state of claimed requests on this agent to the entries.

    An entry that finds a claim of another entry sends a `ClaimQuery` to the
    agent that the claim names. If the agent has not received the request, it
    bars the answer id before it replies, so that a submit that arrives later is
    refused.

    Parameters
    ----------
    incarnation : int
        Incarnation of this agent process. Nothing is known about requests of
        earlier incarnations.
    answer_registry : AnswerRegistry
        Answers in progress and answers that ended recently.
    memory : RunOnceMemory
        Answer ids that have run or must never run.
    dispatcher : Dispatcher
        Dispatcher of the links on which queries arrive.
    """

    def __init__(
        self,
        incarnation: int,
        answer_registry: AnswerRegistry,
        memory: RunOnceMemory,
        dispatcher: Dispatcher,
    ) -> None:
        self._incarnation = incarnation
        self._answer_registry = answer_registry
        self._memory = memory
        dispatcher.on_call(ClaimQuery, self._on_query)

    async def _on_query(self, link: Link, query: ClaimQuery) -> ClaimReply:
        if query.incarnation != self._incarnation:
            return _reply_without_outcome(RunState.GONE)
        if self._is_unseen(query.answer_id):
            # The claim is written before the submit is sent, so the submit may
            # still be on its way.
            await asyncio.sleep(SUBMIT_GRACE_S)
        answer = self._answer_registry.get(query.answer_id)
        if answer is None or answer.workspace != query.workspace:
            return self._reply_from_memory(query.answer_id)
        try:
            async with asyncio.timeout(query.timeout_s):
                await answer.ended.wait()
        except TimeoutError:
            return _reply_without_outcome(RunState.RUNNING)
        outcome = answer.outcome
        if isinstance(outcome, ServiceAnswered):
            return ClaimReply(
                RunState.FINISHED, outcome.status, outcome.headers, outcome.body
            )
        if isinstance(outcome, AnswerRefused):
            return _reply_without_outcome(RunState.NEVER)
        return _reply_without_outcome(RunState.UNKNOWN)

    def _is_unseen(self, answer_id: bytes) -> bool:
        return (
            self._answer_registry.get(answer_id) is None
            and self._memory.get_spent_reason(answer_id) is None
        )

    def _reply_from_memory(self, answer_id: bytes) -> ClaimReply:
        reason = self._memory.get_spent_reason(answer_id)
        if reason is SpentReason.RAN:
            return _reply_without_outcome(RunState.UNKNOWN)
        if reason is None and self._memory.is_full:
            return _reply_without_outcome(RunState.UNKNOWN)
        # A submit that arrives after this point is refused.
        self._memory.record(answer_id, SpentReason.BARRED)
        return _reply_without_outcome(RunState.NEVER)


def _reply_without_outcome(state: str) -> ClaimReply:
    return ClaimReply(state, 0, {}, b"")
