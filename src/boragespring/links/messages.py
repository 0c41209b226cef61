"""Messages of the link protocol itself."""

from boragespring.links.codec import message

__all__ = ["PROTOCOL_VERSION", "CallRefused", "Heartbeat", "Identity"]

#: Version of the protocol; processes with different versions reject each other.
PROTOCOL_VERSION = 1


@message(1)
class Identity:
    """First message on a link, with which each peer identifies itself.

    Parameters
    ----------
    protocol_version : int
        Protocol version of the process.
    name : str
        Name of the instance.
    role : str
        ``entry`` or ``agent``.
    incarnation : int
        Number that grows with each restart of the process.
    availability_zone : str
        Availability zone in which the process runs.
    service : str
        Service that an agent's backend server belongs to; empty for an entry.
    """

    protocol_version: int
    name: str
    role: str
    incarnation: int
    availability_zone: str
    service: str = ""


@message(2)
class Heartbeat:
    """Heartbeat that each peer sends at every heartbeat interval."""

    sequence: int


@message(3)
class CallRefused:
    """Reply to a call that was refused or whose handler failed."""

    reason: str
