"""Receivers of the answers that an entry relays to its callers."""

import asyncio

from boragespring.answers.messages import (
    AnswerAccepted,
    AnswerCredit,
    AnswerFailed,
    AnswerFinished,
    AnswerRefused,
    AnswerTokens,
    ConfirmLeaving,
    LeavingConfirmed,
    ServiceAnswered,
)
from boragespring.links import Dispatcher, Link

__all__ = ["AnswerReceiver", "AnswerTable", "Outcome"]

#: Message that ends an answer: `AnswerFinished` follows the tokens of a generation,
#: and `ServiceAnswered` is the complete HTTP response of a plain service.
Outcome = AnswerFinished | AnswerFailed | AnswerRefused | ServiceAnswered


class AnswerReceiver:
    """Collect the tokens and the outcome of one answer as they arrive.

    Parameters
    ----------
    answer_id : bytes
        ID of the answer.
    window_tokens : int
        Number of tokens that the agent may send beyond those delivered to the
        caller.
    position : int
        Position of the first token to receive.

    Attributes
    ----------
    is_consumed : bool
        Whether the outcome has been processed by the code that reads this
        receiver.
    """

    def __init__(self, answer_id: bytes, window_tokens: int, position: int = 0) -> None:
        self.answer_id = answer_id
        self.link: Link | None = None
        self.generation_id = ""
        self.received = position
        self.delivered = position
        self.accepted = False
        self.outcome: Outcome | None = None
        self.is_ended_by_agent = False
        self.is_consumed = False
        self._window_tokens = window_tokens
        self._acknowledged = position
        self._texts: list[str] = []
        self._changed = asyncio.Event()

    @property
    def limit(self) -> int:
        """Position up to which the agent is allowed to send tokens."""
        return self.delivered + self._window_tokens

    def attach(self, link: Link) -> None:
        """Expect the messages of this answer on a link."""
        self.link = link
        self._changed.set()

    def detach(self, link: Link) -> None:
        """Handle the loss of a link, if the answer is expected on it."""
        if self.link is link:
            self.link = None
            self._changed.set()

    def accept(self, message: AnswerAccepted) -> None:
        """Record that the agent accepted the request."""
        if self.generation_id and self.generation_id != message.generation_id:
            self.fail(
                "answer_lost", "the agent runs another generation for this answer"
            )
            return
        self.accepted = True
        self.generation_id = message.generation_id
        self._changed.set()

    def add(self, message: AnswerTokens) -> None:
        """Add tokens; duplicates are dropped, and a gap fails the answer."""
        if self.outcome is not None:
            return
        overlap = self.received - message.position
        if overlap < 0:
            self.fail(
                "answer_lost",
                f"tokens {self.received} to {message.position} are missing",
            )
            return
        texts = message.texts[overlap:] if overlap else message.texts
        if not texts:
            return
        self._texts.extend(texts)
        self.received += len(texts)
        self._changed.set()

    def end(self, outcome: Outcome) -> None:
        """Set the outcome that the agent sent, unless one is set already."""
        if self.outcome is None:
            self.outcome = outcome
            self.is_ended_by_agent = True
            self._changed.set()

    def fail(self, code: str, reason: str) -> None:
        """End the answer locally with a failure, unless it has an outcome."""
        if self.outcome is None:
            self.outcome = AnswerFailed(self.answer_id, code, reason)
            self._changed.set()

    def take_texts(self) -> list[str]:
        """Return the tokens not yet delivered and count them as delivered."""
        texts = self._texts
        if texts:
            self._texts = []
            self.delivered += len(texts)
        return texts

    def acknowledge(self) -> None:
        """Grant the agent more credit once half of the window is used."""
        if self.delivered - self._acknowledged < self._window_tokens // 2:
            return
        if self.link is None or not self.link.is_up:
            return
        self._acknowledged = self.delivered
        self.link.send(AnswerCredit(self.answer_id, self.delivered, self.limit))

    async def wait(self) -> None:
        """Wait until there are new tokens, an outcome or a change of the link.

        Return immediately if tokens or an outcome are present or the link is lost.
        """
        if self._texts or self.outcome is not None or self.link is None:
            return
        self._changed.clear()
        await self._changed.wait()


class AnswerTable:
    """Dispatch messages to the receivers of all answers of an entry, by ID.

    A message is accepted only on the link on which its answer is expected. Any
    other message is late or has no receiver; it is dropped and counted.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the messages that arrive on the entry's links.

    Attributes
    ----------
    unexpected_messages : int
        Number of messages that were dropped.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._receivers: dict[bytes, AnswerReceiver] = {}
        self.unexpected_messages = 0
        dispatcher.on(AnswerAccepted, self._on_accepted)
        dispatcher.on(AnswerTokens, self._on_tokens)
        dispatcher.on(AnswerFinished, self._on_outcome)
        dispatcher.on(AnswerFailed, self._on_outcome)
        dispatcher.on(AnswerRefused, self._on_outcome)
        dispatcher.on(ServiceAnswered, self._on_outcome)
        dispatcher.on_call(ConfirmLeaving, self._on_confirm_leaving)
        dispatcher.on_down(self._on_link_down)

    def __len__(self) -> int:
        return len(self._receivers)

    def open(self, receiver: AnswerReceiver) -> None:
        """Start to dispatch messages to a receiver, replacing an earlier one."""
        earlier = self._receivers.get(receiver.answer_id)
        if earlier is not None:
            earlier.fail(
                "resumed_elsewhere",
                "the caller resumed the answer on another connection",
            )
        self._receivers[receiver.answer_id] = receiver

    def close(self, receiver: AnswerReceiver) -> bool:
        """Remove a receiver; return False if it was no longer registered."""
        if self._receivers.get(receiver.answer_id) is not receiver:
            return False
        del self._receivers[receiver.answer_id]
        return True

    def _find_expected(self, link: Link, answer_id: bytes) -> AnswerReceiver | None:
        receiver = self._receivers.get(answer_id)
        if receiver is None or receiver.link is not link:
            self.unexpected_messages += 1
            return None
        return receiver

    def _on_accepted(self, link: Link, message: AnswerAccepted) -> None:
        receiver = self._find_expected(link, message.answer_id)
        if receiver is not None:
            receiver.accept(message)

    def _on_tokens(self, link: Link, message: AnswerTokens) -> None:
        receiver = self._find_expected(link, message.answer_id)
        if receiver is not None:
            receiver.add(message)

    def _on_outcome(self, link: Link, message: Outcome) -> None:
        receiver = self._find_expected(link, message.answer_id)
        if receiver is not None:
            receiver.end(message)

    async def _on_confirm_leaving(
        self, link: Link, message: ConfirmLeaving
    ) -> LeavingConfirmed:
        """Confirm to a leaving agent that this entry sends it no new work."""
        return LeavingConfirmed()

    def _on_link_down(self, link: Link) -> None:
        for receiver in self._receivers.values():
            receiver.detach(link)
