"""Sharing: what gateways tell each other of loads and of the store's content.

Message codes 140 to 149 belong to this slice.
"""

from boragespring.sharing.copies import CopySharing, CopySharingSettings
from boragespring.sharing.evacuations import EvacuationSharing
from boragespring.sharing.loads import LoadSharing, LoadSharingSettings
from boragespring.sharing.presence import Presence, PresenceSettings
from boragespring.sharing.watch_turns import (
    GatewayPlace,
    WatchTurns,
    WatchTurnSettings,
)

__all__ = [
    "CopySharing",
    "CopySharingSettings",
    "EvacuationSharing",
    "GatewayPlace",
    "LoadSharing",
    "LoadSharingSettings",
    "Presence",
    "PresenceSettings",
    "WatchTurnSettings",
    "WatchTurns",
]
