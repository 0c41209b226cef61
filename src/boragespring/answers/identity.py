"""Answer IDs, and the handles with which callers resume answers."""

import re
import secrets

from attrs import frozen

__all__ = ["ANSWER_ID_BYTES", "AnswerHandle", "new_answer_id"]

#: Length of an answer ID. IDs are random, so that no caller can guess the ID of
#: another caller's answer.
ANSWER_ID_BYTES = 16

_HANDLE = re.compile(r"([0-9a-f]{32})\.([A-Za-z0-9_-]{1,100})\.(\d{1,9})")


def new_answer_id() -> bytes:
    """Return a new random answer ID."""
    return secrets.token_bytes(ANSWER_ID_BYTES)


@frozen
class AnswerHandle:
    """Position in an answer, sent as the ID of a server-sent event.

    Parameters
    ----------
    answer_id : bytes
        Identity of the answer.
    agent_name : str
        Name of the agent that keeps the answer.
    position : int
        Number of tokens that the caller has received.
    """

    answer_id: bytes
    agent_name: str
    position: int

    @property
    def prefix(self) -> str:
        """Text form of the handle up to its position."""
        return f"{self.answer_id.hex()}.{self.agent_name}."

    @classmethod
    def parse(cls, text: str) -> "AnswerHandle | None":
        """Parse the text form of a handle; return None if it is malformed."""
        match = _HANDLE.fullmatch(text)
        if match is None:
            return None
        answer_id, agent_name, position = match.groups()
        return cls(bytes.fromhex(answer_id), agent_name, int(position))
