"""Fleet: the backend servers that an entry may send requests to."""

from boragespring.fleet.model import BackendServer, Registration, ServerAddress
from boragespring.fleet.state import Fleet, FleetSettings

__all__ = [
    "BackendServer",
    "Fleet",
    "FleetSettings",
    "Registration",
    "ServerAddress",
]
