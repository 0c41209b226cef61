"""Identity of the current run of a process."""

import time

from boragespring.links import Identity
from boragespring.links.messages import PROTOCOL_VERSION
from boragespring.settings import PlacementSettings

__all__ = ["new_identity"]


def new_identity(
    name: str, role: str, placement: PlacementSettings, service: str = ""
) -> Identity:
    """Return the identity of a process that is starting.

    The incarnation is the current time in nanoseconds, so that it is higher than
    that of every earlier run under the same name.

    Parameters
    ----------
    name : str
        Name of the instance.
    role : str
        Role of the instance, "agent" or "entry".
    placement : PlacementSettings
        Location of the instance.
    service : str, default=""
        Service of an agent's backend server; empty for an entry.
    """
    return Identity(
        PROTOCOL_VERSION,
        name,
        role,
        time.time_ns(),
        placement.availability_zone,
        service,
    )
