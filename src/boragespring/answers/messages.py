"""Messages between entry and agent that carry answers.

Codes 10 to 29 belong to this slice.
"""

from boragespring.links import message

__all__ = [
    "AnswerAccepted",
    "AnswerAcknowledged",
    "AnswerCredit",
    "AnswerFailed",
    "AnswerFinished",
    "AnswerRefused",
    "AnswerTokens",
    "CancelAnswer",
    "ConfirmLeaving",
    "LeavingConfirmed",
    "ReleaseAnswer",
    "ResumeAnswer",
    "ServiceAnswered",
    "SubmitCall",
    "SubmitGeneration",
]


@message(10)
class SubmitGeneration:
    """Ask an agent to run a generation.

    Parameters
    ----------
    answer_id : bytes
        Identity of the answer; a repeated submit runs nothing twice.
    workspace, traffic_class : str
        Whose request it is and which class it belongs to.
    priority : int
        Priority of the class; a smaller number is served earlier.
    weight : float
        Share of the workspace's plan.
    model, prompt : str
        What to generate from.
    prompt_tokens, max_tokens : int
        Estimated length of the prompt and bound of the output.
    parameters : dict
        Sampling parameters that pass through.
    deadline_in_s : float
        Time left until the deadline.
    limit : int
        Position up to which the agent may send.
    is_movable : bool
        Whether the answer may start again elsewhere after its first tokens,
        as nothing of it is delivered before its end.
    """

    answer_id: bytes
    workspace: str
    traffic_class: str
    priority: int
    weight: float
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    parameters: dict[str, object]
    deadline_in_s: float
    limit: int
    is_movable: bool = False


@message(11)
class SubmitCall:
    """Ask an agent to send one call to its plain service.

    Parameters
    ----------
    answer_id : bytes
        Identity of the answer; the agent runs it at most once.
    incarnation : int
        Start of the agent that may run it.
    workspace, traffic_class : str
        Whose request it is and which class it belongs to.
    priority : int
        Priority of the class; a smaller number is served earlier.
    weight : float
        Share of the workspace's plan.
    method, path, headers, body : str, str, dict and bytes
        The call.
    deadline_in_s : float
        Time left until the deadline.
    idempotent : bool
        Whether the call may be repeated, and so cancelled.
    """

    answer_id: bytes
    incarnation: int
    workspace: str
    traffic_class: str
    priority: int
    weight: float
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline_in_s: float
    idempotent: bool


@message(12)
class AnswerAccepted:
    """The agent has taken the request; from now on it may run."""

    answer_id: bytes
    generation_id: str


@message(13)
class AnswerRefused:
    """The request surely did not run at this agent."""

    answer_id: bytes
    code: str
    reason: str
    retry_after_s: float


@message(14)
class AnswerTokens:
    """Tokens of an answer from a position on."""

    answer_id: bytes
    position: int
    texts: list[str]


@message(15)
class AnswerFinished:
    """The answer is complete with this number of tokens."""

    answer_id: bytes
    total_tokens: int
    finish_reason: str
    prompt_tokens: int


@message(16)
class AnswerFailed:
    """The answer ended without being complete."""

    answer_id: bytes
    code: str
    reason: str


@message(17)
class ServiceAnswered:
    """Complete answer of a plain service."""

    answer_id: bytes
    status: int
    headers: dict[str, str]
    body: bytes


@message(18)
class AnswerCredit:
    """The entry has passed on tokens and allows more.

    Parameters
    ----------
    answer_id : bytes
        Identity of the answer.
    acknowledged : int
        Position up to which the entry has passed on tokens.
    limit : int
        Position up to which the agent may send.
    """

    answer_id: bytes
    acknowledged: int
    limit: int


@message(19)
class CancelAnswer:
    """The caller no longer wants the answer."""

    answer_id: bytes
    reason: str


@message(20)
class ResumeAnswer:
    """Send an answer on over this link, from a position on."""

    answer_id: bytes
    workspace: str
    position: int
    limit: int


@message(21)
class AnswerAcknowledged:
    """The caller has got all of the answer, or its outcome is recorded."""

    answer_id: bytes


@message(22)
class ReleaseAnswer:
    """The caller is gone; keep the answer for a while in case it resumes."""

    answer_id: bytes


@message(23)
class ConfirmLeaving:
    """Ask an entry whether it has taken in that the agent leaves.

    What the entry sent before its reply has arrived before the reply, and
    afterwards it sends no new work, so that the agent can stop once idle.
    """


@message(24)
class LeavingConfirmed:
    """The entry sends no new work."""
