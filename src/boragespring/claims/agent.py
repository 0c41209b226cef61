"""What an agent answers about claimed requests."""

import asyncio

from boragespring.answers import AnswerRegistry
from boragespring.answers.messages import AnswerRefused, ServiceAnswered
from boragespring.claims.messages import AskClaim, ClaimReply, RunState
from boragespring.claims.run_once import RunOnceMemory, Spent
from boragespring.links import Dispatcher, Link

__all__ = ["ClaimWitness"]

SUBMIT_GRACE_S = 0.05


class ClaimWitness:
    """Tell entries what became of a claimed request at this agent.

    Parameters
    ----------
    incarnation : int
        This start of the agent; it knows nothing of earlier ones.
    answer_registry : AnswerRegistry
        Answers that run and that ended lately.
    memory : RunOnceMemory
        Answer ids that ran or will never run.
    dispatcher : Dispatcher
        Links on which the questions arrive.
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
        dispatcher.on_call(AskClaim, self._answer)

    async def _answer(self, link: Link, message: AskClaim) -> ClaimReply:
        if message.incarnation != self._incarnation:
            return _reply(RunState.GONE)
        if self._is_unseen(message.answer_id):
            # The claim is written before the submit leaves; give it a moment.
            await asyncio.sleep(SUBMIT_GRACE_S)
        kept = self._answer_registry.get(message.answer_id)
        if kept is None or kept.workspace != message.workspace:
            return self._answer_from_memory(message.answer_id)
        try:
            async with asyncio.timeout(message.wait_s):
                await kept.ended.wait()
        except TimeoutError:
            return _reply(RunState.RUNNING)
        outcome = kept.outcome
        if isinstance(outcome, ServiceAnswered):
            return ClaimReply(
                RunState.FINISHED, outcome.status, outcome.headers, outcome.body
            )
        if isinstance(outcome, AnswerRefused):
            return _reply(RunState.NEVER)
        return _reply(RunState.UNKNOWN)

    def _is_unseen(self, answer_id: bytes) -> bool:
        return (
            self._answer_registry.get(answer_id) is None
            and self._memory.why_spent(answer_id) is None
        )

    def _answer_from_memory(self, answer_id: bytes) -> ClaimReply:
        why = self._memory.why_spent(answer_id)
        if why is Spent.RAN:
            return _reply(RunState.UNKNOWN)
        if why is None and self._memory.is_full:
            return _reply(RunState.UNKNOWN)
        # From now on a submit that is still on its way will be refused.
        self._memory.note(answer_id, Spent.BARRED)
        return _reply(RunState.NEVER)


def _reply(state: str) -> ClaimReply:
    return ClaimReply(state, 0, {}, b"")
