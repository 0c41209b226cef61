"""Interface of the platform's list of live and leaving instances."""

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
    """Role of the system's process on an instance."""

    ENTRY = "entry"
    AGENT = "agent"


class InstanceState(StrEnum):
    """State of an instance as the platform last saw it."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Instance:
    """One instance of the platform's list.

    Parameters
    ----------
    name : str
        Name that is unique in the deployment.
    role : InstanceRole
        Role of the process there.
    service : str
        Service of the backend server; empty for an entry.
    region, availability_zone : str
        Where the instance runs.
    host : str
        IP address of the process.
    link_port : int
        TCP port of the process's links.
    http_port : int
        TCP port of its HTTP interface.
    state : InstanceState
        Live or leaving.
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


class InstanceList(Protocol):
    """Read access to the platform's instance list, which lags reality."""

    async def fetch(self) -> tuple[Instance, ...]:
        """Read the whole list; raise `InstanceListError` when it cannot."""
        ...

    async def close(self) -> None:
        """Close the connections to the platform."""
        ...
