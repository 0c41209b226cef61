"""Run the requests of callers, with several attempts where that is safe."""

import contextlib
from collections.abc import AsyncGenerator, Callable
from typing import Protocol

from boragespring.answers.client import AnswerClient
from boragespring.answers.errors import (
    AnswerError,
    AnswerLostError,
    AnswerUnavailableError,
    AttemptLostError,
    NotRunError,
    OutcomeUnknownError,
)
from boragespring.answers.identity import AnswerHandle, new_answer_id
from boragespring.answers.messages import (
    AnswerRefused,
    ServiceAnswered,
    SubmitCall,
    SubmitGeneration,
)
from boragespring.answers.parts import (
    AnswerPart,
    RefusedError,
    failure_reason,
    iter_parts,
)
from boragespring.answers.retries import RetryBudget
from boragespring.links import Link, evolve
from boragespring.membership import AgentPeer

__all__ = ["AnswerPart", "PeerChooser", "RequestRunner"]

#: Maximum number of agents that one request is sent to.
ATTEMPTS_MAX = 4
NO_SERVER_RETRY_AFTER_S = 1.0


class PeerChooser(Protocol):
    """Selection of the agent for a request, updated with the results."""

    def __call__(
        self,
        service: str,
        excluded: frozenset[str],
        request: SubmitGeneration | None = None,
    ) -> AgentPeer | None:
        """Return an agent that accepts work and is not excluded, or None.

        Raises
        ------
        NotRunError
            If requests of this kind are being shed.
        """
        ...

    def record_served(self, service: str, name: str) -> None:
        """Record that an agent delivered a complete answer."""
        ...

    def record_failed(self, service: str, name: str) -> None:
        """Record that an agent failed to complete an answer."""
        ...


class RequestRunner:
    """Run requests at agents and restart them where that is safe.

    Parameters
    ----------
    client : AnswerClient
        Runs a single attempt.
    choose : PeerChooser
        Selects the agent of each attempt.
    retries : RetryBudget
        Limits the restarts of each workspace.
    count_restart : callable
        Called each time a request is restarted.
    """

    def __init__(
        self,
        client: AnswerClient,
        choose: PeerChooser,
        retries: RetryBudget,
        count_restart: Callable[[], None],
    ) -> None:
        self._client = client
        self._choose = choose
        self._retries = retries
        self._count_restart = count_restart

    async def stream(
        self, service: str, request: SubmitGeneration
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yield the parts of an answer as they arrive.

        A lost attempt restarts on another agent as long as no tokens were
        yielded.

        Raises
        ------
        NotRunError
            If the request is known not to have run.
        AnswerLostError
            If the answer is lost after tokens were yielded, or if the limits on
            attempts or restarts are reached.
        """
        attempts = self._attempts(service, request.workspace)
        while True:
            is_started = False
            try:
                async with contextlib.aclosing(attempts.generate(request)) as parts:
                    async for part in parts:
                        is_started = is_started or bool(part.texts)
                        yield part
                return
            except AttemptLostError as error:
                if is_started:
                    raise AnswerLostError(str(error)) from error
                attempts.check_restart(error)

    async def collect(
        self, service: str, request: SubmitGeneration
    ) -> list[AnswerPart]:
        """Return all parts of a complete answer, restarting lost attempts.

        Raises
        ------
        NotRunError
            If the request is known not to have run.
        AnswerLostError
            If the limits on attempts or restarts are reached.
        """
        request = evolve(request, is_movable=True)
        attempts = self._attempts(service, request.workspace)
        while True:
            try:
                async with contextlib.aclosing(attempts.generate(request)) as parts:
                    return [part async for part in parts]
            except AttemptLostError as error:
                attempts.check_restart(error)

    async def call(self, service: str, request: SubmitCall) -> ServiceAnswered:
        """Send a call to a plain service and return its response.

        Raises
        ------
        NotRunError
            If the call is known not to have reached the service.
        OutcomeUnknownError
            If the call was dispatched but its outcome is unknown.
        """
        attempts = self._attempts(service, request.workspace)
        while True:
            try:
                return await attempts.call(request)
            except AttemptLostError as error:
                if not request.idempotent:
                    raise OutcomeUnknownError(str(error)) from error
                attempts.check_restart(error)

    async def resume(
        self, handle: AnswerHandle, workspace: str, deadline_in_s: float
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yield the rest of an answer, starting at the position of its handle.

        Raises
        ------
        AnswerUnavailableError
            If the answer is no longer kept or its agent cannot be reached.
        AnswerLostError
            If the answer is lost while it is received.
        """
        receivers = self._client.resume(handle, workspace, deadline_in_s)
        parts = iter_parts(receivers, handle.agent_name)
        async with contextlib.aclosing(parts):
            async for part in parts:
                yield part

    async def call_agent(
        self, peer: AgentPeer, link: Link, request: SubmitCall
    ) -> ServiceAnswered | AnswerRefused:
        """Send a call to one agent without acknowledging its outcome.

        The caller acknowledges the outcome with `AnswerClient.acknowledge`.

        Raises
        ------
        OutcomeUnknownError
            If the outcome is currently unknown.
        """
        receivers = self._client.submit(peer, link, request, auto_acknowledge=False)
        try:
            async with contextlib.aclosing(receivers):
                async for receiver in receivers:
                    outcome = receiver.outcome
                    if isinstance(outcome, (ServiceAnswered, AnswerRefused)):
                        receiver.is_consumed = True
                        return outcome
                    if outcome is not None:
                        receiver.is_consumed = True
                        raise OutcomeUnknownError(failure_reason(outcome))
        except AttemptLostError as error:
            raise OutcomeUnknownError(str(error)) from error
        raise OutcomeUnknownError("the answer ended without an outcome")

    def choose(
        self,
        service: str,
        excluded: frozenset[str],
        request: SubmitGeneration | None = None,
    ) -> AgentPeer | None:
        """Return an agent for a request, or None if none is available."""
        return self._choose(service, excluded, request)

    def record_served(self, service: str, name: str) -> None:
        """Record that an agent delivered a complete answer."""
        self._choose.record_served(service, name)

    def record_failed(self, service: str, name: str) -> None:
        """Record that an agent failed to complete an answer."""
        self._choose.record_failed(service, name)

    def _attempts(self, service: str, workspace: str) -> "_Attempts":
        self._retries.record_request(workspace)
        return _Attempts(self, service, workspace)

    @property
    def client(self) -> AnswerClient:
        """Client that runs single attempts."""
        return self._client

    def try_spend_restart(self, workspace: str) -> bool:
        """Spend one restart of a workspace; return False if none is left."""
        if not self._retries.try_spend(workspace):
            return False
        self._count_restart()
        return True


class _Attempts:
    """Attempts of one request, each on a different agent."""

    def __init__(self, runner: RequestRunner, service: str, workspace: str) -> None:
        self._runner = runner
        self._service = service
        self._workspace = workspace
        self._excluded: set[str] = set()
        self._may_have_run = False
        self._refusal = NotRunError(
            "no_server",
            f"no backend server of {service} accepts work",
            NO_SERVER_RETRY_AFTER_S,
        )

    def check_restart(self, error: AnswerError) -> None:
        """Raise `AnswerLostError` unless another attempt is allowed."""
        self._may_have_run = True
        if len(self._excluded) >= ATTEMPTS_MAX:
            raise AnswerLostError(str(error)) from error
        if not self._runner.try_spend_restart(self._workspace):
            message = f"{error}; the workspace has used up its restart budget"
            raise AnswerLostError(message) from error

    def _next_agent(
        self, request: SubmitGeneration | None = None
    ) -> tuple[AgentPeer, Link]:
        while len(self._excluded) < ATTEMPTS_MAX:
            excluded = frozenset(self._excluded)
            try:
                peer = self._runner.choose(self._service, excluded, request)
            except NotRunError as error:
                self._refusal = error
                break
            if peer is None:
                break
            self._excluded.add(peer.name)
            if peer.link is not None:
                return peer, peer.link
        if self._may_have_run:
            # An earlier attempt may have run, so this refusal must not be
            # reported as "not run".
            raise AnswerLostError(
                f"no further attempt after a lost one: {self._refusal}"
            )
        raise self._refusal

    def _record_refusal(self, refused: AnswerRefused) -> None:
        self._refusal = NotRunError(refused.code, refused.reason, refused.retry_after_s)

    async def generate(
        self, request: SubmitGeneration
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yield the parts from the first agent that accepts the request."""
        client = self._runner.client
        while True:
            peer, link = self._next_agent(request)
            attempt = evolve(
                request, answer_id=new_answer_id(), limit=client.window_tokens
            )
            parts = iter_parts(client.submit(peer, link, attempt), peer.name)
            try:
                async with contextlib.aclosing(parts):
                    async for part in parts:
                        yield part
                self._runner.record_served(self._service, peer.name)
                return
            except RefusedError as error:
                self._record_refusal(error.refused)
            except AnswerUnavailableError as error:
                if error.code == "resumed_elsewhere":
                    raise
                raise AttemptLostError(str(error)) from error
            except AttemptLostError:
                self._runner.record_failed(self._service, peer.name)
                raise

    async def call(self, request: SubmitCall) -> ServiceAnswered:
        """Return the response from the first agent that accepts the call."""
        client = self._runner.client
        while True:
            peer, link = self._next_agent()
            attempt = evolve(
                request,
                answer_id=new_answer_id(),
                incarnation=link.peer.incarnation,
            )
            receivers = client.submit(peer, link, attempt)
            async with contextlib.aclosing(receivers):
                async for receiver in receivers:
                    outcome = receiver.outcome
                    if outcome is None:
                        continue
                    receiver.is_consumed = True
                    if isinstance(outcome, AnswerRefused):
                        self._record_refusal(outcome)
                        break
                    if isinstance(outcome, ServiceAnswered):
                        return outcome
                    raise OutcomeUnknownError(failure_reason(outcome))
