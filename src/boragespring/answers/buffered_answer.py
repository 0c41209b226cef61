"""One answer at its agent: tokens, positions and outcome."""

import asyncio
from itertools import islice

from boragespring.answers.memory import TOKEN_OVERHEAD_BYTES, MemoryBudget
from boragespring.answers.messages import (
    AnswerAccepted,
    AnswerFailed,
    AnswerFinished,
    AnswerRefused,
    AnswerTokens,
    ServiceAnswered,
)
from boragespring.links import Link

__all__ = ["BufferedAnswer", "Outcome"]

Outcome = AnswerFinished | AnswerFailed | AnswerRefused | ServiceAnswered


class BufferedAnswer:
    """One answer at its agent: tokens, positions and outcome.

    Tokens stay after they were acknowledged, so that a caller who lost some on
    its way can resume; memory pressure takes them first.

    Parameters
    ----------
    answer_id : bytes
        Identity of the answer.
    generation_id : str
        Identity of its one generation.
    workspace : str
        Workspace that may resume it.
    limit : int
        Position up to which the entry takes tokens.
    buffer_max_tokens : int
        Tokens that may wait for the caller before production is held back.
    memory_budget : MemoryBudget
        Memory of all kept answers.

    Attributes
    ----------
    is_cancellable : bool
        Whether the run may be cancelled when nobody waits for it.
    is_resolved : bool
        Whether the outcome is known to be safe or given up.
    """

    def __init__(
        self,
        answer_id: bytes,
        generation_id: str,
        workspace: str,
        limit: int,
        buffer_max_tokens: int,
        memory_budget: MemoryBudget,
    ) -> None:
        self.answer_id = answer_id
        self.generation_id = generation_id
        self.workspace = workspace
        self.link: Link | None = None
        self.outcome: Outcome | None = None
        self.ended = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.is_cancellable = True
        self.is_resolved = False
        self.produced = 0
        self._buffer_max_tokens = buffer_max_tokens
        self._memory_budget = memory_budget
        self._texts: list[str] = []
        self._first_position = 0
        self._used_bytes = 0
        self._sent = 0
        self._acknowledged = 0
        self._limit = limit
        self._outcome_sent = False
        self._space = asyncio.Event()
        self._space.set()

    @property
    def used_bytes(self) -> int:
        """Memory of the kept tokens and outcome."""
        return self._used_bytes

    def attach(self, link: Link, position: int, limit: int) -> None:
        """Send on over a link, from a position on."""
        if position < self._first_position:
            reason = f"tokens before {self._first_position} are no longer kept"
            link.send(AnswerFailed(self.answer_id, "answer_trimmed", reason))
            return
        previous = self.link
        self.link = link
        if previous is not None and previous is not link and previous.is_up:
            reason = "the caller resumed the answer at another entry"
            previous.send(AnswerFailed(self.answer_id, "resumed_elsewhere", reason))
        self._sent = min(position, self.produced)
        self._limit = limit
        self._outcome_sent = False
        self._update_space()
        link.send(AnswerAccepted(self.answer_id, self.generation_id))
        self.send_pending()

    def detach(self, link: Link) -> None:
        """Note that a link is gone."""
        if self.link is link:
            self.link = None

    def apply_credit(self, acknowledged: int, limit: int) -> None:
        """Allow tokens up to a position."""
        self._acknowledged = min(max(self._acknowledged, acknowledged), self._sent)
        self._limit = max(self._limit, limit)
        self._update_space()
        self.send_pending()

    def append(self, texts: tuple[str, ...]) -> None:
        """Take produced tokens and send what the entry allows."""
        self._texts.extend(texts)
        self.produced += len(texts)
        self._adjust_memory(sum(map(len, texts)) + TOKEN_OVERHEAD_BYTES * len(texts))
        self._update_space()
        self.send_pending()

    def end(self, outcome: Outcome) -> None:
        """Take the outcome and send it after the last token."""
        self.outcome = outcome
        if isinstance(outcome, ServiceAnswered):
            self._adjust_memory(len(outcome.body))
        self.ended.set()
        self.send_pending()

    def trim(self, tokens_to_keep: int) -> None:
        """Forget acknowledged tokens but for the last few."""
        end = self._acknowledged - tokens_to_keep
        count = end - self._first_position
        if count <= 0:
            return
        freed = sum(map(len, islice(self._texts, count)))
        del self._texts[:count]
        self._first_position = end
        self._adjust_memory(-freed - TOKEN_OVERHEAD_BYTES * count)

    def release_memory(self) -> None:
        """Give all memory back."""
        self._adjust_memory(-self._used_bytes)

    async def wait_for_space(self) -> None:
        """Wait while the caller lags too far behind production.

        While the memory of all answers is used up, an answer may run ahead of
        what its entry takes by nothing; up to there each goes on.
        """
        while True:
            await self._space.wait()
            if self.produced < self._limit or not self._memory_budget.is_full:
                return
            self._space.clear()
            self._memory_budget.call_when_available(self._update_space)

    def send_pending(self) -> None:
        """Send what may be sent over the present link."""
        link = self.link
        if link is None or not link.is_up:
            return
        end = min(self.produced, self._limit)
        if end > self._sent:
            texts = self._texts[
                self._sent - self._first_position : end - self._first_position
            ]
            link.send(AnswerTokens(self.answer_id, self._sent, texts))
            self._sent = end
        if self.outcome is not None and self._sent == self.produced:
            self._send_outcome(link)

    def _send_outcome(self, link: Link) -> None:
        if self._outcome_sent or self.outcome is None:
            return
        self._outcome_sent = True
        link.send(self.outcome)

    def _update_space(self) -> None:
        if self.produced - self._limit < self._buffer_max_tokens:
            self._space.set()
        else:
            self._space.clear()

    def _adjust_memory(self, used_bytes: int) -> None:
        self._used_bytes += used_bytes
        self._memory_budget.adjust(used_bytes)
