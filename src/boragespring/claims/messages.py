"""Link messages about claims.

Message codes 30 to 39 are reserved for this package.
"""

from boragespring.links import message

__all__ = ["ClaimQuery", "ClaimReply", "CombineWrites", "RunState", "WritesCombined"]


class RunState:
    """Values of ``ClaimReply.state``.

    Attributes
    ----------
    NEVER : str
        The request did not run and this agent will never run it.
    RUNNING : str
        The request was still running when the query timed out.
    FINISHED : str
        The request ran; the reply holds its outcome.
    UNKNOWN : str
        The request may have run, but its outcome is not available.
    GONE : str
        The incarnation of the agent that the claim names no longer exists.
    """

    NEVER = "never"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    GONE = "gone"


@message(30)
class ClaimQuery:
    """Query an agent for the state of a claimed request.

    An agent that has not seen the answer id bars it and never runs it.

    Parameters
    ----------
    answer_id : bytes
        Answer id in the claim.
    workspace : str
        Workspace of the claim.
    incarnation : int
        Incarnation of the agent that the claim names.
    timeout_s : float
        Longest time, in seconds, that the agent waits for a running request to
        finish before it replies.
    """

    answer_id: bytes
    workspace: str
    incarnation: int
    timeout_s: float


@message(31)
class ClaimReply:
    """Reply to a `ClaimQuery`.

    Parameters
    ----------
    state : str
        One of the values of `RunState`.
    status : int
        HTTP status of a finished request; 0 in any other state.
    headers : dict
        Headers of a finished request.
    body : bytes
        Body of a finished request.
    """

    state: str
    status: int
    headers: dict[str, str]
    body: bytes


@message(32)
class CombineWrites:
    """Request a combiner to include a group of writes in its next store call.

    Parameters
    ----------
    writes : list
        Conditional writes, as packed by `pack_write`.
    """

    writes: list[list[object]]


@message(33)
class WritesCombined:
    """Reply to `CombineWrites`: the results of the group, or the failure.

    Parameters
    ----------
    failure : str
        Empty on success, otherwise ``unavailable``, ``lease_expired`` or
        ``unknown``.
    reason : str
        Message of the store's error; empty on success.
    results : list
        Results in the order of the writes, as packed by `pack_result`.
    """

    failure: str
    reason: str
    results: list[list[object]]
