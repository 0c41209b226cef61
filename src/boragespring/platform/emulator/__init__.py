"""Emulator of the platform on loopback: store, model engines and plain services.

It implements the platform's HTTP interfaces and can inject the faults that a
gateway has to tolerate. Only the tests, the demo and the soak test use it; the
gateway itself does not.
"""

from boragespring.platform.emulator.catalog import RouteSpec
from boragespring.platform.emulator.crash_point import CrashingRequests, CrashPoint
from boragespring.platform.emulator.deployment import (
    EmulatedPlatform,
    GatewayProcess,
)
from boragespring.platform.emulator.engine import EmulatedEngine
from boragespring.platform.emulator.engine_spec import EngineSpec
from boragespring.platform.emulator.service import EmulatedService, ServiceFault
from boragespring.platform.emulator.store import EmulatedStore, StoreMode

__all__ = [
    "CrashPoint",
    "CrashingRequests",
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
