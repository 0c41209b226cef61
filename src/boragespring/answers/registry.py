"""Registry of the answers that an agent buffers for their callers."""

import asyncio
from collections.abc import Callable

from boragespring.answers.buffered_answer import BufferedAnswer, Outcome
from boragespring.answers.memory import MemoryBudget
from boragespring.answers.messages import (
    AnswerAcknowledged,
    AnswerCredit,
    AnswerFailed,
    AnswerRefused,
    CancelAnswer,
    ReleaseAnswer,
    ResumeAnswer,
)
from boragespring.links import Dispatcher, Link
from boragespring.settings.agent import AnswerSettings

__all__ = ["AnswerRegistry", "BufferedAnswer"]


class AnswerRegistry:
    """Keep all answers of an agent, by ID, each for a bounded time.

    Parameters
    ----------
    settings : AnswerSettings
        Buffer sizes, retention times and the memory limit.
    dispatcher : Dispatcher
        Dispatcher of the messages that arrive on the agent's links.

    Attributes
    ----------
    memory_budget : MemoryBudget
        Memory that all buffered answers use together.
    unexpected_messages : int
        Number of messages that were dropped because their answer is unknown or
        is being sent on another link.
    """

    def __init__(self, settings: AnswerSettings, dispatcher: Dispatcher) -> None:
        self._settings = settings
        self._answers: dict[bytes, BufferedAnswer] = {}
        self._timers: dict[bytes, asyncio.TimerHandle] = {}
        self._changed = asyncio.Event()
        self.memory_budget = MemoryBudget(settings.memory_max_bytes)
        self.unexpected_messages = 0
        dispatcher.on(AnswerCredit, self._on_credit)
        dispatcher.on(AnswerAcknowledged, self._on_acknowledged)
        dispatcher.on(CancelAnswer, self._on_cancel)
        dispatcher.on(ReleaseAnswer, self._on_release)
        dispatcher.on(ResumeAnswer, self._on_resume)
        dispatcher.on_down(self._on_link_down)

    def __len__(self) -> int:
        return len(self._answers)

    @property
    def running(self) -> int:
        """Number of answers without an outcome."""
        return sum(answer.outcome is None for answer in self._answers.values())

    async def wait_idle(self) -> None:
        """Wait until every answer has ended and its outcome is resolved.

        An outcome is resolved once the entry acknowledges it, or once the
        resume timeout passes without anyone resuming the answer.
        """
        while any(
            answer.outcome is None or not answer.is_resolved
            for answer in self._answers.values()
        ):
            self._changed.clear()
            await self._changed.wait()

    def get(self, answer_id: bytes) -> BufferedAnswer | None:
        """Return the answer with this ID, or None."""
        return self._answers.get(answer_id)

    def open(
        self, answer_id: bytes, generation_id: str, workspace: str, limit: int
    ) -> BufferedAnswer:
        """Create and register a new answer."""
        answer = BufferedAnswer(
            answer_id,
            generation_id,
            workspace,
            limit,
            self._settings.buffer_max_tokens,
            self.memory_budget,
        )
        self._answers[answer_id] = answer
        self._free_memory()
        return answer

    def finish(self, answer: BufferedAnswer, outcome: Outcome) -> None:
        """Set the outcome of an answer and schedule its removal."""
        answer.end(outcome)
        # Failures and refusals need no acknowledgement, since a caller cannot
        # resume them.
        answer.is_resolved = isinstance(outcome, (AnswerFailed, AnswerRefused))
        self._changed.set()
        if answer.link is not None:
            self._schedule(self._settings.retention_s, answer, self._remove)
        else:
            self._schedule(self._settings.resume_timeout_s, answer, self._expire)
        self._free_memory()

    def _free_memory(self) -> None:
        """Trim acknowledged tokens and evict resolved answers, oldest first."""
        if not self.memory_budget.is_full:
            return
        for answer in self._answers.values():
            answer.trim(self._settings.replay_min_tokens)
        for answer in tuple(self._answers.values()):
            if not self.memory_budget.is_full:
                return
            if answer.outcome is not None and answer.is_resolved:
                self._stop_timer(answer)
                self._remove(answer)

    def _remove(self, answer: BufferedAnswer) -> None:
        self._timers.pop(answer.answer_id, None)
        if self._answers.pop(answer.answer_id, None) is not None:
            answer.release_memory()
        self._changed.set()

    def _expire(self, answer: BufferedAnswer) -> None:
        """Stop waiting for an answer that nobody resumed in time."""
        answer.is_resolved = True
        self._changed.set()
        if answer.outcome is not None:
            self._schedule(self._settings.retention_s, answer, self._remove)
        elif answer.is_cancellable:
            self._cancel_and_remove(answer)

    def _cancel_and_remove(self, answer: BufferedAnswer) -> None:
        if answer.outcome is None and answer.task is not None:
            answer.task.cancel()
        self._remove(answer)

    def _schedule(
        self,
        delay_s: float,
        answer: BufferedAnswer,
        action: Callable[[BufferedAnswer], None],
    ) -> None:
        self._stop_timer(answer)
        loop = asyncio.get_running_loop()
        handle = loop.call_later(delay_s, action, answer)
        self._timers[answer.answer_id] = handle

    def _stop_timer(self, answer: BufferedAnswer) -> None:
        timer = self._timers.pop(answer.answer_id, None)
        if timer is not None:
            timer.cancel()

    def _find_attached(self, link: Link, answer_id: bytes) -> BufferedAnswer | None:
        """Return an answer if it is being sent on this link, otherwise None."""
        answer = self._answers.get(answer_id)
        if answer is None or answer.link is not link:
            self.unexpected_messages += 1
            return None
        return answer

    def _on_credit(self, link: Link, message: AnswerCredit) -> None:
        answer = self._find_attached(link, message.answer_id)
        if answer is not None:
            answer.apply_credit(message.acknowledged, message.limit)
            answer.trim(self._settings.replay_max_tokens)
            self._free_memory()

    def _on_acknowledged(self, link: Link, message: AnswerAcknowledged) -> None:
        answer = self._find_attached(link, message.answer_id)
        if answer is not None:
            answer.is_resolved = True
            self._changed.set()

    def _on_cancel(self, link: Link, message: CancelAnswer) -> None:
        answer = self._find_attached(link, message.answer_id)
        if answer is None:
            return
        if answer.is_cancellable:
            self._stop_timer(answer)
            self._cancel_and_remove(answer)
            return
        self._detach_answer(answer, link)

    def _on_release(self, link: Link, message: ReleaseAnswer) -> None:
        answer = self._find_attached(link, message.answer_id)
        if answer is not None:
            self._detach_answer(answer, link)

    def _on_resume(self, link: Link, message: ResumeAnswer) -> None:
        answer = self._answers.get(message.answer_id)
        if answer is None or answer.workspace != message.workspace:
            link.send(
                AnswerFailed(
                    message.answer_id,
                    "unknown_answer",
                    "the agent does not keep this answer",
                )
            )
            return
        self.on_reattached(answer)
        answer.attach(link, message.position, message.limit)

    def on_reattached(self, answer: BufferedAnswer) -> None:
        """Update the timer of an answer that a caller waits for again."""
        if answer.outcome is None:
            self._stop_timer(answer)
        else:
            self._schedule(self._settings.retention_s, answer, self._remove)

    def _on_link_down(self, link: Link) -> None:
        for answer in tuple(self._answers.values()):
            if answer.link is link:
                self._detach_answer(answer, link)

    def _detach_answer(self, answer: BufferedAnswer, link: Link) -> None:
        answer.detach(link)
        if answer.outcome is None or not answer.is_resolved:
            self._schedule(self._settings.resume_timeout_s, answer, self._expire)
