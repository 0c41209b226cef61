"""Messages of claims. Codes 30 to 39 belong to this slice."""

from boragespring.links import message

__all__ = ["ClaimQuery", "ClaimReply", "CombineWrites", "RunState", "WritesCombined"]


class RunState:
    """Values of the state in a `ClaimReply`."""

    NEVER = "never"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    GONE = "gone"


@message(30)
class ClaimQuery:
    """Ask an agent what became of a claimed request.

    An agent that has not seen the answer id promises never to run it.

    Parameters
    ----------
    answer_id : bytes
        Identity in the claim.
    workspace : str
        Workspace of the claim.
    incarnation : int
        Start of the agent that the claim names.
    wait_s : float
        How long the agent may wait for the outcome of a running request.
    """

    answer_id: bytes
    workspace: str
    incarnation: int
    wait_s: float


@message(31)
class ClaimReply:
    """What became of a claimed request.

    Parameters
    ----------
    state : str
        One of the values of `RunState`.
    status, headers, body : int, dict and bytes
        Outcome of a finished request.
    """

    state: str
    status: int
    headers: dict[str, str]
    body: bytes


@message(32)
class CombineWrites:
    """Ask an entry to write a group together with those of others.

    Parameters
    ----------
    writes : list
        Conditional writes as plain values.
    """

    writes: list[list[object]]


@message(33)
class WritesCombined:
    """Results of a group, or why there are none.

    Parameters
    ----------
    failure : str
        Empty, ``unavailable``, ``lease_expired`` or ``unknown``.
    reason : str
        What the store said.
    results : list
        Results as plain values, in the order of the writes.
    """

    failure: str
    reason: str
    results: list[list[object]]
