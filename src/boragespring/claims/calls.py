"""Run each call with an idempotency key at most once across all entries."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging
from attrs import define, frozen

from boragespring.answers import NotRunError, OutcomeUnknownError, RequestRunner
from boragespring.answers.identity import new_answer_id
from boragespring.answers.messages import AnswerRefused, ServiceAnswered, SubmitCall
from boragespring.claims.errors import ClaimStoreError, KeyReusedError
from boragespring.claims.messages import ClaimQuery, ClaimReply, RunState
from boragespring.claims.record import (
    ClaimRecord,
    ClaimState,
    claim_key,
    new_record,
    request_digest,
)
from boragespring.claims.store import ClaimStore, StoredClaim
from boragespring.links import CallFailedError, Link, LinkClosedError, evolve
from boragespring.membership import AgentPeer
from boragespring.settings import ClaimSettings
from boragespring.store.store import ABSENT_REVISION

__all__ = ["ClaimedCalls"]

ATTEMPTS_MAX = 4
QUERY_TIMEOUT_MAX_S = 2.0
QUERY_REPLY_MARGIN_S = 2.0
STORE_RETRY_AFTER_S = 2.0
SERVER_RETRY_AFTER_S = 1.0

AgentFinder = Callable[[str], AgentPeer | None]


@define(eq=False)
class _RunningCall:
    """A call that this entry is currently running or resolving."""

    digest: bytes
    task: asyncio.Task[ServiceAnswered]


@frozen
class _ClaimedRequest:
    """A call with an idempotency key, and its deadline on the monotonic clock."""

    key: str
    service: str
    digest: bytes
    submit: SubmitCall
    deadline_s: float

    def remaining_s(self) -> float:
        return self.deadline_s - time.monotonic()


class ClaimedCalls:
    """Run each call with an idempotency key at most once across all entries.

    Before a call is sent, the entry writes a claim to the store that names the
    only agent, and the only incarnation of it, that is allowed to run the call.
    An entry that finds a claim for its key queries that agent, which either
    reports the outcome or commits to never running the call.

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
        self._running: dict[str, _RunningCall] = {}
        self._background: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._running) + len(self._background)

    async def call(self, service: str, key: str, submit: SubmitCall) -> ServiceAnswered:
        """Return the outcome of a key, running the call if no entry has done so.

        Parameters
        ----------
        service : str
            Name of the service.
        key : str
            Idempotency key of the caller.
        submit : SubmitCall
            The call.

        Raises
        ------
        KeyReusedError
            If the key was already used for a different request.
        NotRunError
            If the request is known not to have run.
        OutcomeUnknownError
            If it cannot be determined whether the request ran.
        """
        stored_key = claim_key(submit.workspace, service, key)
        digest = request_digest(submit)
        running = self._running.get(stored_key)
        if running is None:
            # The claim must still exist when the call ends; once its retention has
            # passed, another entry could claim the key again.
            timeout_s = min(submit.deadline_in_s, self._settings.retention_s / 2)
            deadline_s = time.monotonic() + timeout_s
            request = _ClaimedRequest(stored_key, service, digest, submit, deadline_s)
            running = _RunningCall(digest, asyncio.create_task(self._resolve(request)))
            self._running[stored_key] = running
            running.task.add_done_callback(lambda _: self._discard(stored_key))
        elif running.digest != digest:
            raise KeyReusedError(
                "the idempotency key was already used for a different request"
            )
        # The call may already have run, so it continues when its caller disconnects.
        return await asyncio.shield(running.task)

    async def wait_idle(self) -> None:
        """Wait until no call is in progress and every outcome is recorded."""
        while len(self):
            tasks = [running.task for running in self._running.values()]
            await asyncio.wait({*tasks, *self._background})

    async def close(self) -> None:
        """Cancel all calls in progress; their claims remain in the store."""
        tasks = [running.task for running in self._running.values()]
        for task in (*tasks, *self._background):
            task.cancel()
        await asyncio.gather(*tasks, *self._background, return_exceptions=True)

    def _discard(self, stored_key: str) -> None:
        running = self._running.pop(stored_key)
        if not running.task.cancelled():
            # Retrieve the exception: if all callers have disconnected, asyncio
            # would otherwise log it as never retrieved.
            running.task.exception()

    async def _resolve(self, request: _ClaimedRequest) -> ServiceAnswered:
        try:
            return await _KeyResolution(self, request).run()
        except ClaimStoreError as error:
            message = f"{error}; the request was not sent"
            raise NotRunError(
                "store_unavailable", message, STORE_RETRY_AFTER_S
            ) from error

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that no caller waits for."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def choose_agent(
        self, service: str, excluded: set[str]
    ) -> tuple[AgentPeer, Link] | None:
        """Return an agent and its open link, or None if there is none to choose."""
        peer = self._runner.choose(service, frozenset(excluded))
        if peer is None or peer.link is None:
            return None
        return peer, peer.link

    async def dispatch(
        self, peer: AgentPeer, link: Link, claim: StoredClaim, request: _ClaimedRequest
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
        request: _ClaimedRequest,
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
        self, request: _ClaimedRequest, claim: StoredClaim, answer: ServiceAnswered
    ) -> None:
        """Record an outcome obtained by querying about another entry's claim."""
        self.run_in_background(self._store_outcome(request, claim, answer, None))

    def record_unknown(self, request: _ClaimedRequest, claim: StoredClaim) -> None:
        """Record that the outcome can no longer be determined."""
        record = claim.record
        assert record is not None
        self.run_in_background(
            self._store.record_outcome(
                request.key, record.with_unknown_outcome(), claim.revision
            )
        )

    def release(self, request: _ClaimedRequest, revision: int) -> None:
        """Delete a claim whose request is known not to have run."""
        self.run_in_background(self._store.release(request.key, revision))

    async def put(
        self, request: _ClaimedRequest, record: ClaimRecord, revision: int
    ) -> StoredClaim:
        """Write a claim if the key still has the expected revision."""
        return await self._store.put(request.key, record, revision)

    async def read_claim(self, request: _ClaimedRequest) -> StoredClaim:
        """Read the claim of a request's key."""
        return await self._store.read(request.key)

    def is_linked(self, record: ClaimRecord) -> bool:
        """Return whether the agent that a claim names has an open link."""
        peer = self._find_agent(record.agent_name)
        return peer is not None and peer.link is not None

    async def query_agent(
        self, record: ClaimRecord, request: _ClaimedRequest
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


class _KeyResolution:
    """Resolution of one key: claim it, or obtain the outcome of its claim."""

    def __init__(self, calls: ClaimedCalls, request: _ClaimedRequest) -> None:
        self._calls = calls
        self._request = request
        self._excluded: set[str] = set()
        self._revision = ABSENT_REVISION
        self._refusal = NotRunError(
            "no_server",
            f"no backend server of {request.service} is accepting requests",
            SERVER_RETRY_AFTER_S,
        )

    async def run(self) -> ServiceAnswered:
        """Return the outcome of the key."""
        while len(self._excluded) < ATTEMPTS_MAX and self._request.remaining_s() > 0:
            chosen = self._calls.choose_agent(self._request.service, self._excluded)
            if chosen is None:
                return await self._resolve_without_server()
            answer = await self._claim_and_send(*chosen)
            if answer is not None:
                return answer
        raise self._give_up()

    async def _claim_and_send(
        self, peer: AgentPeer, link: Link
    ) -> ServiceAnswered | None:
        """Claim the key for an agent and send the call; return None to retry."""
        record = new_record(
            self._request.digest, peer.name, link.peer.incarnation, new_answer_id()
        )
        claim = await self._calls.put(self._request, record, self._revision)
        if not claim.is_acquired:
            return await self._join(claim)
        self._revision = claim.revision
        self._excluded.add(peer.name)
        # Send only over the link that was open before the claim was written. The
        # agent may have been queried in the meantime and have barred the answer
        # id. It remembers a barred id for longer than a silent link stays open,
        # so a submit over the same link cannot arrive after the id has expired.
        if not self._can_send(peer, link):
            return None
        outcome = await self._calls.dispatch(peer, link, claim, self._request)
        if isinstance(outcome, ServiceAnswered):
            return outcome
        self._refusal = NotRunError(outcome.code, outcome.reason, outcome.retry_after_s)
        return None

    def _can_send(self, peer: AgentPeer, link: Link) -> bool:
        is_open = link.is_up and not peer.is_leaving
        return is_open and self._request.remaining_s() > 0

    async def _join(self, claim: StoredClaim) -> ServiceAnswered | None:
        """Return the outcome of an existing claim, or None if it can be replaced."""
        record = claim.record
        self._revision = claim.revision
        if record is None:
            return None
        if record.digest != self._request.digest:
            raise KeyReusedError(
                "the idempotency key was already used for a different request"
            )
        if record.state == ClaimState.FINISHED:
            return record.to_answer()
        if record.state == ClaimState.UNKNOWN:
            raise OutcomeUnknownError("the agent was lost while the request ran")
        return await self._query_until_resolved(claim, record)

    async def _query_until_resolved(
        self, claim: StoredClaim, record: ClaimRecord
    ) -> ServiceAnswered | None:
        if not self._calls.is_linked(record):
            changed = await self._read_if_changed(claim)
            if changed is not None:
                return await self._join(changed)
        while self._request.remaining_s() > 0:
            try:
                reply = await self._calls.query_agent(record, self._request)
            except OutcomeUnknownError:
                changed = await self._read_if_changed(claim)
                if changed is None:
                    raise
                return await self._join(changed)
            match reply.state:
                case RunState.FINISHED:
                    answer = ServiceAnswered(
                        record.answer_id, reply.status, reply.headers, reply.body
                    )
                    self._calls.record_answer(self._request, claim, answer)
                    return answer
                case RunState.NEVER:
                    return None
                case RunState.UNKNOWN | RunState.GONE:
                    changed = await self._read_if_changed(claim)
                    if changed is not None:
                        return await self._join(changed)
                    self._calls.record_unknown(self._request, claim)
                    raise OutcomeUnknownError(
                        "the agent was lost while the request may have run"
                    )
        raise OutcomeUnknownError("the request was still running at its deadline")

    async def _read_if_changed(self, claim: StoredClaim) -> StoredClaim | None:
        """Return the stored claim if it has changed, otherwise None.

        A draining agent stops once its outcomes are stored, so the outcome may
        have been recorded since the claim was read.
        """
        try:
            changed = await self._calls.read_claim(self._request)
        except ClaimStoreError as error:
            # Do not raise: `ClaimStoreError` would be reported as a request that
            # did not run, but this one may have run.
            logging.info("event=claim_not_read_again reason=%r", str(error))
            return None
        return changed if changed.revision != claim.revision else None

    async def _resolve_without_server(self) -> ServiceAnswered:
        """Return the outcome of an existing claim; raise if there is none."""
        claim = await self._calls.read_claim(self._request)
        if claim.revision != self._revision:
            answer = await self._join(claim)
            if answer is not None:
                return answer
        raise self._give_up()

    def _give_up(self) -> NotRunError:
        """Release the claim, if one was acquired, and return the error to raise."""
        if self._revision != ABSENT_REVISION:
            self._calls.release(self._request, self._revision)
        if self._request.remaining_s() <= 0:
            return NotRunError(
                "deadline_exceeded",
                "the deadline passed before the request was sent",
                0.0,
            )
        return self._refusal
