"""Send a request to one agent and receive its answer, across lost links."""

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
    """Lookup of agents by name, including those that get no new work."""

    def __call__(self, name: str) -> AgentPeer | None:
        """Return the agent, or None if no agent of this name is listed."""
        ...


@frozen
class AnswerClientSettings:
    """Flow-control window and timeouts for lost links.

    Parameters
    ----------
    window_tokens : int
        Number of tokens that an agent may send beyond those delivered to the
        caller.
    restart_timeout_s : float
        Time in seconds to wait for a lost link if the answer can still restart
        on another agent.
    resume_timeout_s : float
        Time in seconds to wait for a lost link if the answer cannot restart.
        Agents should be configured to keep answers longer.
    """

    window_tokens: int
    restart_timeout_s: float
    resume_timeout_s: float


class AnswerClient:
    """Submit a request to an agent and follow its answer to the end.

    If the link is lost, the client waits for a new one and resumes the answer
    at its current position, provided that the agent has the same incarnation.

    Parameters
    ----------
    table : AnswerTable
        Table that dispatches incoming messages to receivers.
    find_agent : AgentFinder
        Looks up the agent that is named in an answer handle.
    settings : AnswerClientSettings
        Window and timeouts.
    count_resume : callable
        Called each time an answer is resumed.
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
        """Number of tokens that an agent may send beyond those delivered."""
        return self._settings.window_tokens

    async def submit(
        self,
        peer: AgentPeer,
        link: Link,
        request: Submit,
        *,
        auto_acknowledge: bool = True,
    ) -> AsyncGenerator[AnswerReceiver, None]:
        """Submit a request to one agent and yield the receiver on each change.

        Parameters
        ----------
        peer : AgentPeer
            The agent.
        link : Link
            An open link to the agent.
        request : SubmitGeneration or SubmitCall
            The request, with its own answer ID.
        auto_acknowledge : bool, default=True
            Whether to acknowledge the outcome to the agent when the iteration
            ends. If False, the caller must call `acknowledge` itself.

        Raises
        ------
        AttemptLostError
            If the link is lost and the same incarnation of the agent cannot be
            reached again.
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
        """Resume an answer at the position of its handle.

        Raises
        ------
        AnswerUnavailableError
            If the agent is no longer listed or cannot be reached.
        AttemptLostError
            If the link is lost and the same incarnation of the agent cannot be
            reached again.
        """
        peer = self._find_agent(handle.agent_name)
        if peer is None:
            raise AnswerUnavailableError(
                "answer_gone", "the agent that keeps the answer is gone"
            )
        try:
            link = await peer.dialer.wait_for_link(self._settings.resume_timeout_s)
        except LinkClosedError as error:
            message = "the agent that keeps the answer is unreachable"
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
        """Acknowledge an outcome, so that the agent need not keep it any longer."""
        if peer.link is not None:
            with contextlib.suppress(LinkClosedError):
                peer.link.send(AnswerAcknowledged(answer_id))

    async def cancel(self, handle: AnswerHandle, workspace: str) -> None:
        """Cancel an answer on behalf of its workspace.

        Raises
        ------
        AnswerUnavailableError
            If the agent is no longer listed, cannot be reached or does not know the
            answer.
        """
        receivers = self.resume(handle, workspace, self._settings.resume_timeout_s)
        async with contextlib.aclosing(receivers):
            async for receiver in receivers:
                if receiver.outcome is not None:
                    _check_available(receiver.outcome)
                    return
                if receiver.generation_id:
                    # A session that ends as consumed while its answer still runs
                    # sends a cancellation.
                    receiver.is_consumed = True
                    return

    async def _reconnect(self, session: "_AnswerSession", incarnation: int) -> Link:
        """Wait for a new link to the same incarnation of an agent."""
        peer = session.peer
        settings = self._settings
        timeout_s = settings.resume_timeout_s
        if session.is_restartable:
            timeout_s = settings.restart_timeout_s
        try:
            link = await peer.dialer.wait_for_link(timeout_s)
        except LinkClosedError as error:
            raise AttemptLostError(
                f"agent {peer.name} could not be reached again"
            ) from error
        if link.peer.incarnation != incarnation:
            raise AttemptLostError(f"agent {peer.name} was restarted or replaced")
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
            "the answer was not complete at its deadline",
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
    """Start and finish the exchange for one answer on successive links."""

    client: AnswerClient
    peer: AgentPeer
    receiver: AnswerReceiver
    workspace: str
    request: Submit | None

    @property
    def is_restartable(self) -> bool:
        """Whether the request can run again on another agent.

        This holds for idempotent calls, and for generations of which nothing was
        delivered yet.
        """
        if isinstance(self.request, SubmitCall):
            return self.request.idempotent
        return self.request is not None and self.receiver.delivered == 0

    def start(self, link: Link) -> None:
        """Submit the request on a link, or resume it if the agent accepted it."""
        self.receiver.attach(link)
        try:
            link.send(self._opening_message())
        except LinkClosedError:
            # The link went down before the receiver was attached, so no down
            # event will follow.
            self.receiver.detach(link)

    def _opening_message(self) -> Submit | ResumeAnswer:
        receiver = self.receiver
        if self.request is not None and not receiver.accepted:
            # The agent runs each answer ID at most once, so resending is safe.
            return self.request
        return ResumeAnswer(
            receiver.answer_id, self.workspace, receiver.received, receiver.limit
        )

    def finish(self, auto_acknowledge: bool) -> None:
        """Release, cancel or acknowledge the answer at the agent."""
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
