"""Sharing: what gateways tell each other of loads and of the store's content.

Message codes 140 to 149 belong to this slice.
"""

from boragespring.gateway_peers.evacuations import EvacuationSharing
from boragespring.gateway_peers.loads import LoadSharing, LoadSharingSettings
from boragespring.gateway_peers.presence import Presence, PresenceSettings
from boragespring.gateway_peers.store_snapshots import (
    SnapshotSharing,
    SnapshotSharingSettings,
)
from boragespring.gateway_peers.watch_rotation import (
    GatewayLocation,
    WatchRotation,
    WatchRotationSettings,
)

__all__ = [
    "SnapshotSharing",
    "SnapshotSharingSettings",
    "EvacuationSharing",
    "GatewayLocation",
    "LoadSharing",
    "LoadSharingSettings",
    "Presence",
    "PresenceSettings",
    "WatchRotationSettings",
    "WatchRotation",
]
