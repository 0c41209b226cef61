"""Emulated platform on loopback: store, model engines and plain services.

It speaks the platform's wire, with the faults that gateways have to bear, and
serves tests and the demo. The adapter itself does not use it.
"""

from boragespring.platform.emulator.deployment import (
    EmulatedPlatform,
    GatewayProcess,
    RouteSpec,
)
from boragespring.platform.emulator.engine import EmulatedEngine, EngineSpec
from boragespring.platform.emulator.service import EmulatedService, ServiceFault
from boragespring.platform.emulator.store import EmulatedStore, StoreMode

__all__ = [
    "EmulatedEngine",
    "EmulatedPlatform",
    "EmulatedService",
    "EmulatedStore",
    "EngineSpec",
    "GatewayProcess",
    "RouteSpec",
    "ServiceFault",
    "StoreMode",
]
