"""Load and validate the settings of the programs, written as JSON with comments."""

from boragespring.settings.agent import AgentSettings, QueueSettings, ServerSettings
from boragespring.settings.common import (
    AddressSettings,
    LinkSettings,
    PlacementSettings,
    PlatformSettings,
    ProcessSettings,
    WeightSettings,
)
from boragespring.settings.entry import (
    CallerSettings,
    ClaimSettings,
    EntrySettings,
    RoutingSettings,
)
from boragespring.settings.errors import (
    FieldError,
    FieldErrorGroup,
    SettingsError,
    SettingsFileError,
)
from boragespring.settings.loader import (
    load_document,
    load_settings,
    parse_settings,
    structure,
)
from boragespring.settings.types import Range

__all__ = [
    "AddressSettings",
    "AgentSettings",
    "CallerSettings",
    "ClaimSettings",
    "EntrySettings",
    "FieldError",
    "FieldErrorGroup",
    "LinkSettings",
    "PlacementSettings",
    "PlatformSettings",
    "ProcessSettings",
    "QueueSettings",
    "Range",
    "ServerSettings",
    "RoutingSettings",
    "SettingsError",
    "SettingsFileError",
    "WeightSettings",
    "load_document",
    "load_settings",
    "parse_settings",
    "structure",
]
