"""Interface of the platform's list of instances."""

from enum import StrEnum
from typing import Protocol

from attrs import frozen

from boragespring.errors import BoragespringError

__all__ = [
    "Instance",
    "InstanceList",
    "InstanceListError",
    "InstanceRole",
    "InstanceState",
]


class InstanceListError(BoragespringError):
    """The instance list could not be read."""


class InstanceRole(StrEnum):
    """Role of the process that runs on an instance."""

    ENTRY = "entry"
    AGENT = "agent"


class InstanceState(StrEnum):
    """State of an instance as last reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Instance:
    """Instance in the platform's list.

    Parameters
    ----------
    name : str
        Unique name within the deployment.
    role : InstanceRole
        Role of the process on the instance.
    service : str
        Service that the backend server belongs to; empty for an entry.
    region, availability_zone : str
        Region and availability zone in which the instance runs.
    host : str
        IP address that the process listens on.
    link_port : int
        TCP port for links from other processes.
    http_port : int
        TCP port of the HTTP interface.
    state : InstanceState
        Whether the instance is live or about to leave.
    cpu_cores : float
        Processing capacity in cores of the reference machine.
    """

    name: str
    role: InstanceRole
    service: str
    region: str
    availability_zone: str
    host: str
    link_port: int
    http_port: int
    state: InstanceState = InstanceState.LIVE
    cpu_cores: float = 1.0


class InstanceList(Protocol):
    """Client of the platform's instance list, which lags behind the actual state."""

    async def fetch(self) -> tuple[Instance, ...]:
        """Read the full list; raise `InstanceListError` on failure."""
        ...

    async def close(self) -> None:
        """Close the connections to the platform."""
        ...
