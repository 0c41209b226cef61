"""Registry of the backend servers to which a gateway can send requests."""

from boragespring.fleet.model import BackendServer, Registration, ServerAddress
from boragespring.fleet.state import Fleet, FleetSettings

__all__ = [
    "BackendServer",
    "Fleet",
    "FleetSettings",
    "Registration",
    "ServerAddress",
]
