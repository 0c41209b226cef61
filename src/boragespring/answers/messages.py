"""Messages between entries and agents for requests and answers.

Message codes 10 to 29 are reserved for this module.
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
    """Request to run a generation.

    Parameters
    ----------
    answer_id : bytes
        ID of the answer. The agent runs each ID at most once.
    workspace, traffic_class : str
        Workspace of the caller, and traffic class of the request.
    priority : int
        Priority of the traffic class; smaller numbers are served first.
    weight : float
        Weight of the workspace's plan in fair queueing.
    model, prompt : str
        Model name and prompt text.
    prompt_tokens, max_tokens : int
        Estimated prompt length and maximum output length, in tokens.
    parameters : dict
        Sampling parameters, passed to the engine unchanged.
    deadline_in_s : float
        Time in seconds until the deadline.
    limit : int
        Position up to which the agent is allowed to send tokens.
    is_movable : bool
        Whether the generation can restart on another agent after it has
        produced tokens. This holds for buffered answers, of which nothing is
        delivered before the end.
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
    """Request to send one call to the agent's plain service.

    Parameters
    ----------
    answer_id : bytes
        ID of the answer. The agent runs each ID at most once.
    incarnation : int
        Incarnation of the agent that is allowed to run the call.
    workspace, traffic_class : str
        Workspace of the caller, and traffic class of the request.
    priority : int
        Priority of the traffic class; smaller numbers are served first.
    weight : float
        Weight of the workspace's plan in fair queueing.
    method, path, headers, body : str, str, dict and bytes
        The HTTP request.
    deadline_in_s : float
        Time in seconds until the deadline.
    idempotent : bool
        Whether the call can safely be retried, and therefore cancelled.
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
    """The agent has accepted the request and may start to run it."""

    answer_id: bytes
    generation_id: str


@message(13)
class AnswerRefused:
    """The agent refused the request, which is known not to have run there."""

    answer_id: bytes
    code: str
    reason: str
    retry_after_s: float


@message(14)
class AnswerTokens:
    """Consecutive tokens of an answer, starting at a position."""

    answer_id: bytes
    position: int
    texts: list[str]


@message(15)
class AnswerFinished:
    """The answer is complete; `total_tokens` is its length."""

    answer_id: bytes
    total_tokens: int
    finish_reason: str
    prompt_tokens: int


@message(16)
class AnswerFailed:
    """The answer ended before it was complete."""

    answer_id: bytes
    code: str
    reason: str


@message(17)
class ServiceAnswered:
    """Complete HTTP response of a plain service."""

    answer_id: bytes
    status: int
    headers: dict[str, str]
    body: bytes


@message(18)
class AnswerCredit:
    """The entry has delivered tokens and grants credit for more.

    Parameters
    ----------
    answer_id : bytes
        ID of the answer.
    acknowledged : int
        Position up to which the entry has delivered tokens.
    limit : int
        Position up to which the agent is allowed to send tokens.
    """

    answer_id: bytes
    acknowledged: int
    limit: int


@message(19)
class CancelAnswer:
    """Request to cancel an answer that the caller no longer wants."""

    answer_id: bytes
    reason: str


@message(20)
class ResumeAnswer:
    """Request to continue an answer on this link, starting at a position."""

    answer_id: bytes
    workspace: str
    position: int
    limit: int


@message(21)
class AnswerAcknowledged:
    """The caller has received the complete answer, or its outcome is recorded."""

    answer_id: bytes


@message(22)
class ReleaseAnswer:
    """The caller disconnected; the agent keeps the answer for a possible resume."""

    answer_id: bytes


@message(23)
class ConfirmLeaving:
    """Request to confirm that the entry knows that the agent is leaving.

    Everything that the entry sent earlier arrives before its reply, and it sends
    no new work afterwards. The agent can therefore stop once it is idle.
    """


@message(24)
class LeavingConfirmed:
    """Confirmation that the entry sends no new work."""
