"""Calls that run at most once for their key, over all entries."""

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
    digest_of,
    new_record,
)
from boragespring.claims.store import ClaimStore, StoredClaim
from boragespring.links import CallFailedError, Link, LinkClosedError, evolve
from boragespring.membership import AgentPeer
from boragespring.settings import ClaimSettings
from boragespring.store.store import ABSENT_REVISION

__all__ = ["ClaimedCalls"]

ATTEMPTS_MAX = 4
ASK_WAIT_S = 2.0
ASK_MARGIN_S = 2.0
STORE_RETRY_AFTER_S = 2.0
SERVER_RETRY_AFTER_S = 1.0

Finder = Callable[[str], AgentPeer | None]


@define(eq=False)
class _Running:
    """A claimed call that this entry runs or settles now."""

    digest: bytes
    task: asyncio.Task[ServiceAnswered]


@frozen
class _Request:
    """One claimed call on its way."""

    key: str
    service: str
    digest: bytes
    submit: SubmitCall
    deadline_s: float

    def time_left_s(self) -> float:
        return self.deadline_s - time.monotonic()


class ClaimedCalls:
    """Run calls with an idempotency key, each at most once.

    A claim in the store names the one start of the one agent that may run the
    call, before it is sent there. Whoever finds a claim asks that agent, which
    tells the outcome or promises never to run the call.

    Parameters
    ----------
    store : ClaimStore
        Claims of all entries.
    runner : RequestRunner
        Chooses agents and sends calls.
    find : callable
        Finds the agent that a claim names.
    settings : ClaimSettings
        Bounds.
    resume_timeout_s : float
        How long a lost link may take to come back.
    """

    def __init__(
        self,
        store: ClaimStore,
        runner: RequestRunner,
        find: Finder,
        settings: ClaimSettings,
        resume_timeout_s: float,
    ) -> None:
        self._store = store
        self._runner = runner
        self._find = find
        self._settings = settings
        self._resume_timeout_s = resume_timeout_s
        self._running: dict[str, _Running] = {}
        self._background: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._running) + len(self._background)

    async def call(self, service: str, key: str, submit: SubmitCall) -> ServiceAnswered:
        """Return the one outcome of a key.

        Raises
        ------
        KeyReusedError
            When the key was used for another request.
        NotRunError
            When this request surely did not run.
        OutcomeUnknownError
            When nobody can tell now whether the request ran.
        """
        stored_key = claim_key(submit.workspace, service, key)
        digest = digest_of(submit)
        running = self._running.get(stored_key)
        if running is None:
            # A claimed call must not outlive the retention of its claim.
            time_s = min(submit.deadline_in_s, self._settings.retention_s / 2)
            deadline_s = time.monotonic() + time_s
            request = _Request(stored_key, service, digest, submit, deadline_s)
            running = _Running(digest, asyncio.create_task(self._settle(request)))
            self._running[stored_key] = running
            running.task.add_done_callback(lambda _: self._forget(stored_key))
        elif running.digest != digest:
            raise KeyReusedError("the key was used for another request")
        # A caller that leaves does not stop the call, which may have run.
        return await asyncio.shield(running.task)

    async def wait_idle(self) -> None:
        """Wait until no call is under way and every outcome is recorded."""
        while len(self):
            tasks = [running.task for running in self._running.values()]
            await asyncio.wait({*tasks, *self._background})

    async def close(self) -> None:
        """Stop; calls that are under way keep their claims."""
        tasks = [running.task for running in self._running.values()]
        for task in (*tasks, *self._background):
            task.cancel()
        await asyncio.gather(*tasks, *self._background, return_exceptions=True)

    def _forget(self, stored_key: str) -> None:
        running = self._running.pop(stored_key)
        if not running.task.cancelled():
            # Retrieved here, as all its callers may have left.
            running.task.exception()

    async def _settle(self, request: _Request) -> ServiceAnswered:
        try:
            return await _Settlement(self, request).run()
        except ClaimStoreError as error:
            message = f"{error}; the request was not sent"
            raise NotRunError(
                "store_unavailable", message, STORE_RETRY_AFTER_S
            ) from error

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run some work that no caller waits for."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def choose(self, service: str, excluded: set[str]) -> tuple[AgentPeer, Link] | None:
        """Return an agent with its open link."""
        peer = self._runner.choose(service, frozenset(excluded))
        if peer is None or peer.link is None:
            return None
        return peer, peer.link

    async def dispatch(
        self, peer: AgentPeer, link: Link, claim: StoredClaim, request: _Request
    ) -> ServiceAnswered | AnswerRefused:
        """Send a claimed call to the agent that its claim names."""
        record = claim.record
        assert record is not None
        submit = evolve(
            request.submit,
            answer_id=record.answer_id,
            incarnation=record.incarnation,
            deadline_in_s=max(0.0, request.time_left_s()),
        )
        outcome = await self._runner.call_at(peer, link, submit)
        if isinstance(outcome, ServiceAnswered):
            self.start(self._record(request, claim, outcome, peer))
        return outcome

    async def _record(
        self,
        request: _Request,
        claim: StoredClaim,
        answer: ServiceAnswered,
        peer: AgentPeer | None,
    ) -> None:
        record = claim.record
        assert record is not None
        finished = record.with_outcome(answer, self._settings.outcome_body_max_bytes)
        await self._store.record_outcome(request.key, finished, claim.revision)
        if peer is not None:
            self._runner.carrier.acknowledge(peer, record.answer_id)

    def record_answer(
        self, request: _Request, claim: StoredClaim, answer: ServiceAnswered
    ) -> None:
        """Record an outcome that was learnt for a claim of another entry."""
        self.start(self._record(request, claim, answer, None))

    def record_unknown(self, request: _Request, claim: StoredClaim) -> None:
        """Record that nobody can learn the outcome any more."""
        record = claim.record
        assert record is not None
        self.start(
            self._store.record_outcome(
                request.key, record.with_unknown_outcome(), claim.revision
            )
        )

    def release(self, request: _Request, revision: int) -> None:
        """Give up a claim whose request surely did not run."""
        self.start(self._store.release(request.key, revision))

    async def put(
        self, request: _Request, record: ClaimRecord, revision: int
    ) -> StoredClaim:
        """Write a claim."""
        return await self._store.put(request.key, record, revision)

    async def look(self, request: _Request) -> StoredClaim:
        """Read a claim."""
        return await self._store.find(request.key)

    def is_linked(self, record: ClaimRecord) -> bool:
        """Return whether the agent that a claim names has an open link."""
        peer = self._find(record.agent_name)
        return peer is not None and peer.link is not None

    async def ask(self, record: ClaimRecord, request: _Request) -> ClaimReply:
        """Ask the agent that a claim names.

        Raises
        ------
        OutcomeUnknownError
            When that agent cannot be asked at present.
        """
        peer = self._find(record.agent_name)
        if peer is None:
            raise OutcomeUnknownError(f"agent {record.agent_name} is not there")
        wait_s = max(0.0, min(ASK_WAIT_S, request.time_left_s()))
        question = ClaimQuery(
            record.answer_id, request.submit.workspace, record.incarnation, wait_s
        )
        try:
            link = await peer.dialer.wait_link(self._resume_timeout_s)
            return await link.call(question, ClaimReply, wait_s + ASK_MARGIN_S)
        except (LinkClosedError, CallFailedError) as error:
            raise OutcomeUnknownError(
                f"agent {record.agent_name} does not answer: {error}"
            ) from error


class _Settlement:
    """Settle one key: claim it, or learn what became of its claim."""

    def __init__(self, calls: ClaimedCalls, request: _Request) -> None:
        self._calls = calls
        self._request = request
        self._excluded: set[str] = set()
        self._revision = ABSENT_REVISION
        self._refusal = NotRunError(
            "no_server",
            f"no backend server of {request.service} takes work",
            SERVER_RETRY_AFTER_S,
        )

    async def run(self) -> ServiceAnswered:
        """Return the outcome of the key."""
        while len(self._excluded) < ATTEMPTS_MAX and self._request.time_left_s() > 0:
            chosen = self._calls.choose(self._request.service, self._excluded)
            if chosen is None:
                return await self._without_server()
            answer = await self._claim_and_send(*chosen)
            if answer is not None:
                return answer
        raise self._give_up()

    async def _claim_and_send(
        self, peer: AgentPeer, link: Link
    ) -> ServiceAnswered | None:
        """Claim the key for one agent; None means another attempt."""
        record = new_record(
            self._request.digest, peer.name, link.peer.incarnation, new_answer_id()
        )
        claim = await self._calls.put(self._request, record, self._revision)
        if not claim.is_own:
            return await self._join(claim)
        self._revision = claim.revision
        self._excluded.add(peer.name)
        # Only the link that was open before the claim will do: an agent that
        # was asked in the meantime may have promised not to run the call, and
        # keeps that promise for longer than a silent link lives.
        if not self._may_send(peer, link):
            return None
        outcome = await self._calls.dispatch(peer, link, claim, self._request)
        if isinstance(outcome, ServiceAnswered):
            return outcome
        self._refusal = NotRunError(outcome.code, outcome.reason, outcome.retry_after_s)
        return None

    def _may_send(self, peer: AgentPeer, link: Link) -> bool:
        is_open = link.is_up and not peer.is_leaving
        return is_open and self._request.time_left_s() > 0

    async def _join(self, claim: StoredClaim) -> ServiceAnswered | None:
        """Learn the outcome of a claim; None means that it may be taken over."""
        record = claim.record
        self._revision = claim.revision
        if record is None:
            return None
        if record.digest != self._request.digest:
            raise KeyReusedError("the key was used for another request")
        if record.state == ClaimState.FINISHED:
            return record.to_answer()
        if record.state == ClaimState.UNKNOWN:
            raise OutcomeUnknownError("the agent was lost while the request ran")
        return await self._ask_until_settled(claim, record)

    async def _ask_until_settled(
        self, claim: StoredClaim, record: ClaimRecord
    ) -> ServiceAnswered | None:
        if not self._calls.is_linked(record):
            newer = await self._newer(claim)
            if newer is not None:
                return await self._join(newer)
        while self._request.time_left_s() > 0:
            try:
                reply = await self._calls.ask(record, self._request)
            except OutcomeUnknownError:
                newer = await self._newer(claim)
                if newer is None:
                    raise
                return await self._join(newer)
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
                    newer = await self._newer(claim)
                    if newer is not None:
                        return await self._join(newer)
                    self._calls.record_unknown(self._request, claim)
                    raise OutcomeUnknownError(
                        "the agent was lost while the request may have run"
                    )
        raise OutcomeUnknownError("the request still runs at its deadline")

    async def _newer(self, claim: StoredClaim) -> StoredClaim | None:
        """Return the claim if it changed; an agent stops once its outcome is stored."""
        try:
            newer = await self._calls.look(self._request)
        except ClaimStoreError as error:
            # Not to be taken for a request that was not sent.
            logging.info("event=claim_not_read_again reason=%r", str(error))
            return None
        return newer if newer.revision != claim.revision else None

    async def _without_server(self) -> ServiceAnswered:
        """Answer a repeat although no server takes work; refuse others."""
        claim = await self._calls.look(self._request)
        if claim.revision != self._revision:
            answer = await self._join(claim)
            if answer is not None:
                return answer
        raise self._give_up()

    def _give_up(self) -> NotRunError:
        if self._revision != ABSENT_REVISION:
            self._calls.release(self._request, self._revision)
        if self._request.time_left_s() <= 0:
            return NotRunError(
                "deadline_exceeded", "the deadline passed before it was sent", 0.0
            )
        return self._refusal
