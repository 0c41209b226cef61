"""Resolve one idempotency key: claim it, or obtain the outcome of its claim."""

from absl import logging

from boragespring.answers import NotRunError, OutcomeUnknownError
from boragespring.answers.identity import new_answer_id
from boragespring.answers.messages import ServiceAnswered
from boragespring.claims.errors import ClaimStoreError, KeyReusedError
from boragespring.claims.messages import RunState
from boragespring.claims.operations import ClaimedRequest, ClaimOperations
from boragespring.claims.record import ClaimRecord, ClaimState, new_record
from boragespring.claims.store import StoredClaim
from boragespring.links import Link
from boragespring.membership import AgentPeer
from boragespring.store.store import ABSENT_REVISION

__all__ = ["KeyResolution"]

ATTEMPTS_MAX = 4
SERVER_RETRY_AFTER_S = 1.0


class KeyResolution:
    """Resolution of one key.

    Parameters
    ----------
    operations : ClaimOperations
        Writes claims, sends calls and queries agents.
    request : ClaimedRequest
        The call to resolve.
    """

    def __init__(self, operations: ClaimOperations, request: ClaimedRequest) -> None:
        self._operations = operations
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
            chosen = self._operations.choose_agent(
                self._request.service, self._excluded
            )
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
        claim = await self._operations.put(self._request, record, self._revision)
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
        outcome = await self._operations.dispatch(peer, link, claim, self._request)
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
        if not self._operations.is_linked(record):
            changed = await self._read_if_changed(claim)
            if changed is not None:
                return await self._join(changed)
        while self._request.remaining_s() > 0:
            try:
                reply = await self._operations.query_agent(record, self._request)
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
                    self._operations.record_answer(self._request, claim, answer)
                    return answer
                case RunState.NEVER:
                    return None
                case RunState.UNKNOWN | RunState.GONE:
                    changed = await self._read_if_changed(claim)
                    if changed is not None:
                        return await self._join(changed)
                    self._operations.record_unknown(self._request, claim)
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
            changed = await self._operations.read_claim(self._request)
        except ClaimStoreError as error:
            # Do not raise: `ClaimStoreError` would be reported as a request that
            # did not run, but this one may have run.
            logging.info("event=claim_not_read_again reason=%r", str(error))
            return None
        return changed if changed.revision != claim.revision else None

    async def _resolve_without_server(self) -> ServiceAnswered:
        """Return the outcome of an existing claim; raise if there is none."""
        claim = await self._operations.read_claim(self._request)
        if claim.revision != self._revision:
            answer = await self._join(claim)
            if answer is not None:
                return answer
        raise self._give_up()

    def _give_up(self) -> NotRunError:
        """Release the claim, if one was acquired, and return the error to raise."""
        if self._revision != ABSENT_REVISION:
            self._operations.release(self._request, self._revision)
        if self._request.remaining_s() <= 0:
            return NotRunError(
                "deadline_exceeded",
                "the deadline passed before the request was sent",
                0.0,
            )
        return self._refusal
