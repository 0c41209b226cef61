"""Steps by which a call with an idempotency key is claimed, sent and resolved."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import frozen

from boragespring.answers import OutcomeUnknownError, RequestRunner
from boragespring.answers.messages import AnswerRefused, ServiceAnswered, SubmitCall
from boragespring.claims.messages import ClaimQuery, ClaimReply
from boragespring.claims.record import ClaimRecord
from boragespring.claims.store import ClaimStore, StoredClaim
from boragespring.links import CallFailedError, Link, LinkClosedError, evolve
from boragespring.membership import AgentPeer
from boragespring.settings import ClaimSettings

__all__ = ["AgentFinder", "ClaimOperations", "ClaimedRequest"]

QUERY_TIMEOUT_MAX_S = 2.0
QUERY_REPLY_MARGIN_S = 2.0

AgentFinder = Callable[[str], AgentPeer | None]


@frozen
class ClaimedRequest:
    """A call with an idempotency key, and its deadline on the monotonic clock."""

    key: str
    service: str
    digest: bytes
    submit: SubmitCall
    deadline_s: float

    def remaining_s(self) -> float:
        """Return the time in seconds until the deadline; negative after it."""
        return self.deadline_s - time.monotonic()


class ClaimOperations:
    """Write claims, send calls and query agents on behalf of key resolutions.

    Parameters
    ----------
    store : ClaimStore
        Claims of all entries.
    runner : RequestRunner
        Chooses agents and sends calls.
    find_agent : callable
        Returns the agent with a given name, or None if it is not known.
    settings : ClaimSettings
        Timeouts, retention and size limit of outcomes.
    resume_timeout_s : float
        Longest time, in seconds, to wait for a lost link to be reestablished.

    Attributes
    ----------
    background : set of asyncio.Task
        Tasks that no caller waits for, such as the recording of outcomes.
    """

    def __init__(
        self,
        store: ClaimStore,
        runner: RequestRunner,
        find_agent: AgentFinder,
        settings: ClaimSettings,
        resume_timeout_s: float,
    ) -> None:
        self._store = store
        self._runner = runner
        self._find_agent = find_agent
        self._settings = settings
        self._resume_timeout_s = resume_timeout_s
        self.background: set[asyncio.Task[None]] = set()

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that no caller waits for."""
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def choose_agent(
        self, service: str, excluded: set[str]
    ) -> tuple[AgentPeer, Link] | None:
        """Return an agent and its open link, or None if there is none to choose."""
        peer = self._runner.choose(service, frozenset(excluded))
        if peer is None or peer.link is None:
            return None
        return peer, peer.link

    async def dispatch(
        self, peer: AgentPeer, link: Link, claim: StoredClaim, request: ClaimedRequest
    ) -> ServiceAnswered | AnswerRefused:
        """Send a call to the agent that its claim names and return the outcome."""
        record = claim.record
        assert record is not None
        submit = evolve(
            request.submit,
            answer_id=record.answer_id,
            incarnation=record.incarnation,
            deadline_in_s=max(0.0, request.remaining_s()),
        )
        outcome = await self._runner.call_agent(peer, link, submit)
        if isinstance(outcome, ServiceAnswered):
            self.run_in_background(self._store_outcome(request, claim, outcome, peer))
        return outcome

    async def _store_outcome(
        self,
        request: ClaimedRequest,
        claim: StoredClaim,
        answer: ServiceAnswered,
        peer: AgentPeer | None,
    ) -> None:
        record = claim.record
        assert record is not None
        finished = record.with_outcome(answer, self._settings.outcome_body_max_bytes)
        await self._store.record_outcome(request.key, finished, claim.revision)
        if peer is not None:
            self._runner.client.acknowledge(peer, record.answer_id)

    def record_answer(
        self, request: ClaimedRequest, claim: StoredClaim, answer: ServiceAnswered
    ) -> None:
        """Record an outcome obtained by querying about another entry's claim."""
        self.run_in_background(self._store_outcome(request, claim, answer, None))

    def record_unknown(self, request: ClaimedRequest, claim: StoredClaim) -> None:
        """Record that the outcome can no longer be determined."""
        record = claim.record
        assert record is not None
        self.run_in_background(
            self._store.record_outcome(
                request.key, record.with_unknown_outcome(), claim.revision
            )
        )

    def release(self, request: ClaimedRequest, revision: int) -> None:
        """Delete a claim whose request is known not to have run."""
        self.run_in_background(self._store.release(request.key, revision))

    async def put(
        self, request: ClaimedRequest, record: ClaimRecord, revision: int
    ) -> StoredClaim:
        """Write a claim if the key still has the expected revision."""
        return await self._store.put(request.key, record, revision)

    async def read_claim(self, request: ClaimedRequest) -> StoredClaim:
        """Read the claim of a request's key."""
        return await self._store.read(request.key)

    def is_linked(self, record: ClaimRecord) -> bool:
        """Return whether the agent that a claim names has an open link."""
        peer = self._find_agent(record.agent_name)
        return peer is not None and peer.link is not None

    async def query_agent(
        self, record: ClaimRecord, request: ClaimedRequest
    ) -> ClaimReply:
        """Query the agent that a claim names for the state of the request.

        Raises
        ------
        OutcomeUnknownError
            If the agent is unknown, unreachable or does not reply.
        """
        peer = self._find_agent(record.agent_name)
        if peer is None:
            raise OutcomeUnknownError(f"agent {record.agent_name} is not known")
        timeout_s = max(0.0, min(QUERY_TIMEOUT_MAX_S, request.remaining_s()))
        query = ClaimQuery(
            record.answer_id, request.submit.workspace, record.incarnation, timeout_s
        )
        try:
            link = await peer.dialer.wait_for_link(self._resume_timeout_s)
            return await link.call(query, ClaimReply, timeout_s + QUERY_REPLY_MARGIN_S)
        except (LinkClosedError, CallFailedError) as error:
            raise OutcomeUnknownError(
                f"agent {record.agent_name} did not reply: {error}"
            ) from error
