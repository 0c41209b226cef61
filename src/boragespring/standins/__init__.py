"""Stand-ins for the external systems around Boragespring, for tests and demos."""

from boragespring.standins.engine import EngineStandIn
from boragespring.standins.engine_core import EngineCoreSettings
from boragespring.standins.engine_dialects import EngineDialect
from boragespring.standins.engine_settings import EngineFaults, EngineStandInSettings
from boragespring.standins.service import (
    ServiceFaults,
    ServiceStandIn,
    ServiceStandInSettings,
)

__all__ = [
    "EngineCoreSettings",
    "EngineDialect",
    "EngineFaults",
    "EngineStandIn",
    "EngineStandInSettings",
    "ServiceFaults",
    "ServiceStandIn",
    "ServiceStandInSettings",
]
