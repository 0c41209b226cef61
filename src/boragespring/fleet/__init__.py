"""Registry of the backend servers to which a gateway can send requests."""

from boragespring.fleet.model import (
    BackendServer,
    Permit,
    Registration,
    ServerAddress,
    ServerProcess,
)
from boragespring.fleet.paces import ServerPaces
from boragespring.fleet.settings import FleetSettings
from boragespring.fleet.state import Fleet

__all__ = [
    "BackendServer",
    "Fleet",
    "FleetSettings",
    "Permit",
    "Registration",
    "ServerAddress",
    "ServerPaces",
    "ServerProcess",
]
