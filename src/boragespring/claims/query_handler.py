"""What an agent answers about claimed requests."""

import asyncio

from boragespring.answers import AnswerKeeper
from boragespring.answers.messages import AnswerRefused, ServiceAnswered
from boragespring.claims.messages import ClaimQuery, ClaimReply, RunState
from boragespring.claims.run_once import RunOnceMemory, SpentReason
from boragespring.links import Dispatcher, Link

__all__ = ["ClaimQueryHandler"]

SUBMIT_GRACE_S = 0.05


class ClaimQueryHandler:
    """Tell entries what became of a claimed request at this agent.

    Parameters
    ----------
    incarnation : int
        This start of the agent; it knows nothing of earlier ones.
    keeper : AnswerKeeper
        Answers that run and that ended lately.
    memory : RunOnceMemory
        Answer ids that ran or will never run.
    dispatcher : Dispatcher
        Links on which the questions arrive.
    """

    def __init__(
        self,
        incarnation: int,
        keeper: AnswerKeeper,
        memory: RunOnceMemory,
        dispatcher: Dispatcher,
    ) -> None:
        self._incarnation = incarnation
        self._keeper = keeper
        self._memory = memory
        dispatcher.on_call(ClaimQuery, self._answer)

    async def _answer(self, link: Link, message: ClaimQuery) -> ClaimReply:
        if message.incarnation != self._incarnation:
            return _reply(RunState.GONE)
        if self._is_unseen(message.answer_id):
            # The claim is written before the submit leaves; give it a moment.
            await asyncio.sleep(SUBMIT_GRACE_S)
        kept = self._keeper.get(message.answer_id)
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
            self._keeper.get(answer_id) is None
            and self._memory.get_spent_reason(answer_id) is None
        )

    def _answer_from_memory(self, answer_id: bytes) -> ClaimReply:
        why = self._memory.get_spent_reason(answer_id)
        if why is SpentReason.RAN:
            return _reply(RunState.UNKNOWN)
        if why is None and self._memory.is_full:
            return _reply(RunState.UNKNOWN)
        # From now on a submit that is still on its way will be refused.
        self._memory.record(answer_id, SpentReason.BARRED)
        return _reply(RunState.NEVER)


def _reply(state: str) -> ClaimReply:
    return ClaimReply(state, 0, {}, b"")
