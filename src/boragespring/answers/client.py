"""Carry a request to one agent and its answer back, over lost links."""

import asyncio
import contextlib
import time
from collections.abc import AsyncGenerator, Callable
from typing import Protocol

from attrs import frozen

from boragespring.answers.errors import AnswerUnavailableError, AttemptLostError
from boragespring.answers.identity import AnswerHandle
from boragespring.answers.messages import (
    AnswerAcknowledged,
    AnswerFailed,
    CancelAnswer,
    ReleaseAnswer,
    ResumeAnswer,
    SubmitCall,
    SubmitGeneration,
)
from boragespring.answers.receiver import AnswerReceiver, AnswerTable
from boragespring.links import Link, LinkClosedError
from boragespring.membership import AgentPeer

__all__ = ["AgentFinder", "AnswerClient", "AnswerClientSettings"]

Submit = SubmitGeneration | SubmitCall


class AgentFinder(Protocol):
    """Finds the agent of a name, also one that gets no new work."""

    def __call__(self, name: str) -> AgentPeer | None:
        """Return the agent, or None when no such agent is listed."""
        ...


@frozen
class AnswerClientSettings:
    """Bounds of carrying answers.

    Parameters
    ----------
    window_tokens : int
        Tokens that an agent may send ahead of what the caller has taken.
    restart_after_s : float
        How long a lost link may take to come back for an answer that can still
        restart elsewhere.
    resume_timeout_s : float
        The same for one that cannot; agents keep answers as long.
    """

    window_tokens: int
    restart_after_s: float
    resume_timeout_s: float


class AnswerClient:
    """Submit a request to an agent and follow its answer to the end.

    A lost link is replaced and the answer goes on at its position, as long as
    the same start of the agent is reached.

    Parameters
    ----------
    table : AnswerTable
        Where messages of answers arrive.
    find_agent : AgentFinder
        Finds the agent of a handle.
    settings : AnswerClientSettings
        Bounds.
    count_resume : callable
        Counts resumed answers.
    """

    def __init__(
        self,
        table: AnswerTable,
        find_agent: AgentFinder,
        settings: AnswerClientSettings,
        count_resume: Callable[[], None],
    ) -> None:
        self._table = table
        self._find_agent = find_agent
        self._settings = settings
        self._count_resume = count_resume

    @property
    def window_tokens(self) -> int:
        """Tokens that an agent may send ahead."""
        return self._settings.window_tokens

    async def submit(
        self,
        peer: AgentPeer,
        link: Link,
        request: Submit,
        *,
        auto_acknowledge: bool = True,
    ) -> AsyncGenerator[AnswerReceiver, None]:
        """Submit to one agent and yield the receiver at each change.

        Parameters
        ----------
        peer : AgentPeer
            The agent.
        link : Link
            Open link to the agent.
        request : SubmitGeneration or SubmitCall
            The request, under an answer id of its own.
        auto_acknowledge : bool, default=True
            Whether the end of the iteration tells the agent that the outcome
            is safe; else the caller does so by `acknowledge`.

        Raises
        ------
        AttemptLostError
            When the agent cannot be reached again.
        """
        receiver = AnswerReceiver(request.answer_id, self.window_tokens)
        session = _AnswerSession(self, peer, receiver, request.workspace, request)
        deadline_s = time.monotonic() + request.deadline_in_s
        async with contextlib.aclosing(
            self._run_session(session, link, deadline_s, auto_acknowledge)
        ) as receivers:
            async for changed in receivers:
                yield changed

    async def resume(
        self, handle: AnswerHandle, workspace: str, deadline_in_s: float
    ) -> AsyncGenerator[AnswerReceiver, None]:
        """Go on with an answer at the position of its handle.

        Raises
        ------
        AnswerUnavailableError
            When the agent is gone.
        """
        peer = self._find_agent(handle.agent_name)
        if peer is None:
            raise AnswerUnavailableError("answer_gone", "the answer's agent is gone")
        try:
            link = await peer.dialer.wait_link(self._settings.resume_timeout_s)
        except LinkClosedError as error:
            message = "the answer's agent is out of reach"
            raise AnswerUnavailableError("answer_gone", message) from error
        receiver = AnswerReceiver(handle.answer_id, self.window_tokens, handle.position)
        receiver.accepted = True
        session = _AnswerSession(self, peer, receiver, workspace, None)
        self._count_resume()
        deadline_s = time.monotonic() + deadline_in_s
        async with contextlib.aclosing(
            self._run_session(session, link, deadline_s, True)
        ) as receivers:
            async for changed in receivers:
                yield changed

    def acknowledge(self, peer: AgentPeer, answer_id: bytes) -> None:
        """Tell an agent that an outcome need not be kept for this entry."""
        if peer.link is not None:
            with contextlib.suppress(LinkClosedError):
                peer.link.send(AnswerAcknowledged(answer_id))

    async def cancel(self, handle: AnswerHandle, workspace: str) -> None:
        """Cancel an answer for its workspace."""
        receivers = self.resume(handle, workspace, self._settings.resume_timeout_s)
        async with contextlib.aclosing(receivers):
            async for receiver in receivers:
                if receiver.outcome is not None:
                    _check_available(receiver.outcome)
                    return
                if receiver.generation_id:
                    # The end of a taken answer that still runs cancels it.
                    receiver.is_consumed = True
                    return

    async def _reconnect(self, session: "_AnswerSession", incarnation: int) -> Link:
        """Return a new link to the same start of an agent."""
        peer = session.peer
        settings = self._settings
        timeout_s = settings.resume_timeout_s
        if session.is_restartable:
            timeout_s = settings.restart_after_s
        try:
            link = await peer.dialer.wait_link(timeout_s)
        except LinkClosedError as error:
            raise AttemptLostError(f"agent {peer.name} is lost") from error
        if link.peer.incarnation != incarnation:
            raise AttemptLostError(f"agent {peer.name} was replaced")
        self._count_resume()
        return link

    async def _run_session(
        self,
        session: "_AnswerSession",
        link: Link,
        deadline_s: float,
        auto_acknowledge: bool,
    ) -> AsyncGenerator[AnswerReceiver, None]:
        receiver, peer = session.receiver, session.peer
        incarnation = link.peer.incarnation
        timer = asyncio.get_running_loop().call_later(
            max(0.0, deadline_s - time.monotonic()),
            receiver.fail,
            "deadline_exceeded",
            "no complete answer at the deadline",
        )
        self._table.open(receiver)
        peer.in_flight += 1
        try:
            session.start(link)
            while True:
                await receiver.wait()
                yield receiver
                if receiver.outcome is None and receiver.link is None:
                    session.start(await self._reconnect(session, incarnation))
        finally:
            timer.cancel()
            peer.in_flight -= 1
            if self._table.close(receiver):
                session.finish(auto_acknowledge)


@frozen
class _AnswerSession:
    """Start and end of following one answer on links."""

    client: AnswerClient
    peer: AgentPeer
    receiver: AnswerReceiver
    workspace: str
    request: Submit | None

    @property
    def is_restartable(self) -> bool:
        """Whether nothing was delivered and the request may be repeated."""
        if isinstance(self.request, SubmitCall):
            return self.request.idempotent
        return self.request is not None and self.receiver.delivered == 0

    def start(self, link: Link) -> None:
        """Submit, or resume what the agent has taken, on a link."""
        self.receiver.attach(link)
        try:
            link.send(self._opening_message())
        except LinkClosedError:
            # Its end was reported before the answer was expected on it.
            self.receiver.detach(link)

    def _opening_message(self) -> Submit | ResumeAnswer:
        receiver = self.receiver
        if self.request is not None and not receiver.accepted:
            # The agent runs an answer id once, so that a repeat is safe.
            return self.request
        return ResumeAnswer(
            receiver.answer_id, self.workspace, receiver.received, receiver.limit
        )

    def finish(self, auto_acknowledge: bool) -> None:
        """Tell the agent what becomes of the answer."""
        receiver, link = self.receiver, self.receiver.link
        if link is None or not link.is_up:
            return
        with contextlib.suppress(LinkClosedError):
            if not receiver.is_consumed:
                link.send(ReleaseAnswer(receiver.answer_id))
            elif not receiver.is_ended_by_agent:
                link.send(CancelAnswer(receiver.answer_id, "ended by the entry"))
            elif auto_acknowledge:
                link.send(AnswerAcknowledged(receiver.answer_id))


def _check_available(outcome: object) -> None:
    if isinstance(outcome, AnswerFailed) and outcome.code == "unknown_answer":
        raise AnswerUnavailableError("unknown_answer", outcome.reason)
