"""Buffer for the tokens and the outcome of one answer at its agent."""

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
    """Buffer the tokens and the outcome of one answer at its agent.

    Acknowledged tokens stay in the buffer, so that a caller that lost some of
    them can resume. They are the first to be trimmed when memory runs short.

    Parameters
    ----------
    answer_id : bytes
        ID of the answer.
    generation_id : str
        ID of the generation that produces the answer.
    workspace : str
        Workspace that is allowed to resume the answer.
    limit : int
        Position up to which the entry accepts tokens.
    buffer_max_tokens : int
        Number of tokens beyond `limit` at which production is paused.
    memory_budget : MemoryBudget
        Memory that all buffered answers use together.

    Attributes
    ----------
    is_cancellable : bool
        Whether the run is cancelled when nobody resumes the answer.
    is_resolved : bool
        Whether the outcome was acknowledged or is no longer waited for.
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
        """Memory in bytes used by the buffered tokens and the outcome."""
        return self._used_bytes

    def attach(self, link: Link, position: int, limit: int) -> None:
        """Continue sending on a link, starting at a position.

        A link that the answer was sent on before gets a failure message instead
        of further tokens.
        """
        if position < self._first_position:
            reason = f"tokens before position {self._first_position} are no longer kept"
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
        """Stop sending on a link, if the answer is being sent on it."""
        if self.link is link:
            self.link = None

    def apply_credit(self, acknowledged: int, limit: int) -> None:
        """Record acknowledged tokens and raise the position limit."""
        self._acknowledged = min(max(self._acknowledged, acknowledged), self._sent)
        self._limit = max(self._limit, limit)
        self._update_space()
        self.send_pending()

    def append(self, texts: tuple[str, ...]) -> None:
        """Append produced tokens and send those below the limit."""
        self._texts.extend(texts)
        self.produced += len(texts)
        self._adjust_memory(sum(map(len, texts)) + TOKEN_OVERHEAD_BYTES * len(texts))
        self._update_space()
        self.send_pending()

    def end(self, outcome: Outcome) -> None:
        """Set the outcome; it is sent after the last token."""
        self.outcome = outcome
        if isinstance(outcome, ServiceAnswered):
            self._adjust_memory(len(outcome.body))
        self.ended.set()
        self.send_pending()

    def trim(self, tokens_to_keep: int) -> None:
        """Discard acknowledged tokens except the last `tokens_to_keep`."""
        end = self._acknowledged - tokens_to_keep
        count = end - self._first_position
        if count <= 0:
            return
        freed = sum(map(len, islice(self._texts, count)))
        del self._texts[:count]
        self._first_position = end
        self._adjust_memory(-freed - TOKEN_OVERHEAD_BYTES * count)

    def release_memory(self) -> None:
        """Return the memory of this answer to the memory budget."""
        self._adjust_memory(-self._used_bytes)

    async def wait_for_space(self) -> None:
        """Wait until more tokens may be produced.

        Production pauses while the buffer holds `buffer_max_tokens` beyond the
        limit of the entry. While the memory budget is exhausted, it pauses at
        that limit.
        """
        while True:
            await self._space.wait()
            if self.produced < self._limit or not self._memory_budget.is_full:
                return
            self._space.clear()
            self._memory_budget.call_when_available(self._update_space)

    def send_pending(self) -> None:
        """Send pending tokens below the limit, and the outcome after the last one."""
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
