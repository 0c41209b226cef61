"""Messages between entries and agents about membership.

Message codes 60 to 69 are reserved for the membership package.
"""

from boragespring.links import message

__all__ = ["AgentState", "LeaveNotice"]


@message(60)
class AgentState:
    """State of an agent, sent before each heartbeat and on leaving.

    Parameters
    ----------
    is_leaving : bool
        Whether the agent is leaving and accepts no new work.
    running, waiting : int
        Number of requests that are running at the backend server and that are
        queued in the agent.
    used_memory_tokens, memory_tokens : int
        Used and total memory of the backend server in tokens.
    """

    is_leaving: bool
    running: int
    waiting: int
    used_memory_tokens: int
    memory_tokens: int


@message(61)
class LeaveNotice:
    """Notice to an agent that the instance list marks it as leaving.

    Entries send it after each read of the list until the agent reports that it
    is leaving.

    Parameters
    ----------
    incarnation : int
        Incarnation of the agent that the notice applies to.
    """

    incarnation: int
