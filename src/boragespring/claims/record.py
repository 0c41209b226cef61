"""Record in the key-value store that claims an idempotency key."""

import hashlib
import secrets
from enum import StrEnum

import msgpack
from attrs import asdict, evolve, frozen

from boragespring.answers.messages import ServiceAnswered, SubmitCall
from boragespring.claims.errors import ClaimRecordError

__all__ = ["ClaimRecord", "ClaimState", "claim_key", "new_record", "request_digest"]

CLAIMS_PREFIX = "claims/"
CHANGE_ID_BYTES = 12
DIGEST_BYTES = 16
#: Response headers, in lower case, that are stored with an outcome.
STORED_HEADERS = frozenset(("content-type", "location"))
TRUNCATED_HEADER = "X-Outcome-Body"


class ClaimState(StrEnum):
    """State of a claimed request.

    Attributes
    ----------
    CLAIMED : str
        An agent has been named, but no outcome has been recorded yet.
    FINISHED : str
        The request ran and its outcome is recorded.
    UNKNOWN : str
        The request may have run, but its outcome was lost.
    """

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@frozen
class ClaimRecord:
    """Claim on an idempotency key: who is allowed to run it, and its outcome.

    Parameters
    ----------
    change_id : bytes
        Random id of the write. After a lost reply, reading the key back shows
        by this id whether the write took effect.
    digest : bytes
        Digest of method, path and body, see `request_digest`.
    agent_name : str
        The only agent that is allowed to run the request.
    incarnation : int
        The only incarnation of that agent that is allowed to run it.
    answer_id : bytes
        Id under which the agent runs the request at most once.
    state : str
        One of the values of `ClaimState`.
    status : int
        HTTP status of the outcome; 0 until the request has finished.
    headers : dict
        Headers of the outcome that are in `STORED_HEADERS`.
    body : bytes
        Body of the outcome; empty if it exceeded the size limit.
    """

    change_id: bytes
    digest: bytes
    agent_name: str
    incarnation: int
    answer_id: bytes
    state: str = ClaimState.CLAIMED.value
    status: int = 0
    headers: dict[str, str] = {}  # noqa: RUF012
    body: bytes = b""

    def to_bytes(self) -> bytes:
        """Serialize the record for the store."""
        packed: bytes = msgpack.packb(asdict(self))
        return packed

    @classmethod
    def from_bytes(cls, value: bytes) -> "ClaimRecord":
        """Parse a record read from the store.

        Raises
        ------
        ClaimRecordError
            If the value is not a record of this version.
        """
        try:
            return cls(**msgpack.unpackb(value))
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise ClaimRecordError(f"invalid claim record: {error}") from error

    def with_outcome(
        self, answer: ServiceAnswered, body_max_bytes: int
    ) -> "ClaimRecord":
        """Return a copy in state ``finished`` that holds an outcome.

        Parameters
        ----------
        answer : ServiceAnswered
            The outcome.
        body_max_bytes : int
            Maximum size of a stored body in bytes. A larger body is omitted, and
            the header ``X-Outcome-Body`` states its size.
        """
        headers = {
            name: value
            for name, value in answer.headers.items()
            if name.lower() in STORED_HEADERS
        }
        body = answer.body
        if len(body) > body_max_bytes:
            headers[TRUNCATED_HEADER] = f"not kept; {len(body)} bytes"
            body = b""
        return evolve(
            self,
            change_id=_new_change_id(),
            state=ClaimState.FINISHED.value,
            status=answer.status,
            headers=headers,
            body=body,
        )

    def with_unknown_outcome(self) -> "ClaimRecord":
        """Return a copy in state ``unknown``, as the outcome was lost."""
        return evolve(self, change_id=_new_change_id(), state=ClaimState.UNKNOWN.value)

    def to_answer(self) -> ServiceAnswered:
        """Return the stored outcome as an answer."""
        return ServiceAnswered(self.answer_id, self.status, self.headers, self.body)


def new_record(
    digest: bytes, agent_name: str, incarnation: int, answer_id: bytes
) -> ClaimRecord:
    """Return a claim, with a new change id, for one incarnation of an agent."""
    return ClaimRecord(_new_change_id(), digest, agent_name, incarnation, answer_id)


def claim_key(workspace: str, service: str, key: str) -> str:
    """Return the store key of a claim.

    The idempotency key is hashed, so that it cannot contain a separator.
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{CLAIMS_PREFIX}{workspace}/{service}/{digest}"


def request_digest(submit: SubmitCall) -> bytes:
    """Return a digest of a call's method, path and body.

    Each part is prefixed with its length, so that moving bytes from one part to
    the next changes the digest.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (submit.method.encode(), submit.path.encode(), submit.body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()


def _new_change_id() -> bytes:
    return secrets.token_bytes(CHANGE_ID_BYTES)
