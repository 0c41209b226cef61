"""The record by which a request is claimed in the key-value service."""

import hashlib
import secrets
from enum import StrEnum

import msgpack
from attrs import asdict, evolve, frozen

from boragespring.answers.messages import ServiceAnswered, SubmitCall
from boragespring.claims.errors import ClaimRecordError

__all__ = ["ClaimRecord", "ClaimState", "claim_key", "digest_of", "new_record"]

CLAIMS_PREFIX = "claims/"
CHANGE_ID_BYTES = 12
DIGEST_BYTES = 16
#: Headers of an outcome that are kept with it.
KEPT_HEADERS = frozenset(("content-type", "location"))
TRUNCATED_HEADER = "X-Outcome-Body"


class ClaimState(StrEnum):
    """How far a claimed request has come."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@frozen
class ClaimRecord:
    """Who may run a request, and what came of it.

    Parameters
    ----------
    change_id : bytes
        Identity of the write, by which a lost answer is settled.
    digest : bytes
        Digest of method, path and body.
    agent_name : str
        The one agent that may run the request.
    incarnation : int
        The one start of that agent that may run it.
    answer_id : bytes
        Identity under which that agent runs it once.
    state : str
        Value of `ClaimState`.
    status : int
        Status of the outcome; 0 before.
    headers : dict
        Kept headers of the outcome.
    body : bytes
        Body of the outcome, empty where it exceeded the bound.
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
        """Return the stored value."""
        packed: bytes = msgpack.packb(asdict(self))
        return packed

    @classmethod
    def from_bytes(cls, value: bytes) -> "ClaimRecord":
        """Return the record that a stored value holds."""
        try:
            return cls(**msgpack.unpackb(value))
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise ClaimRecordError(f"no claim record: {error}") from error

    def with_outcome(
        self, answer: ServiceAnswered, body_max_bytes: int
    ) -> "ClaimRecord":
        """Return the record with an outcome."""
        headers = {
            name: value
            for name, value in answer.headers.items()
            if name.lower() in KEPT_HEADERS
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
        """Return the record with an outcome that nobody can learn any more."""
        return evolve(self, change_id=_new_change_id(), state=ClaimState.UNKNOWN.value)

    def to_answer(self) -> ServiceAnswered:
        """Return the recorded outcome."""
        return ServiceAnswered(self.answer_id, self.status, self.headers, self.body)


def new_record(
    digest: bytes, agent_name: str, incarnation: int, answer_id: bytes
) -> ClaimRecord:
    """Return a claim for one start of one agent."""
    return ClaimRecord(_new_change_id(), digest, agent_name, incarnation, answer_id)


def claim_key(workspace: str, service: str, key: str) -> str:
    """Return the store's key of a claim; no two requests share one."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{CLAIMS_PREFIX}{workspace}/{service}/{digest}"


def digest_of(submit: SubmitCall) -> bytes:
    """Return a digest of what a call asks for."""
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (submit.method.encode(), submit.path.encode(), submit.body):
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.digest()


def _new_change_id() -> bytes:
    return secrets.token_bytes(CHANGE_ID_BYTES)
