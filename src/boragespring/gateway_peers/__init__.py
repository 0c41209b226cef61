"""Exchange of loads, store content, evacuations and crashes between gateways.

The messages of this package use the codes 140 to 159.
"""

from boragespring.gateway_peers.crash_sharing import CrashSharing
from boragespring.gateway_peers.evacuations import EvacuationSharing
from boragespring.gateway_peers.loads import LoadSharing, LoadSharingSettings
from boragespring.gateway_peers.network import PeerNetwork, PeerNetworkSettings
from boragespring.gateway_peers.observation_sharing import ObservationSharing
from boragespring.gateway_peers.presence import Presence, PresenceSettings
from boragespring.gateway_peers.rate_sharing import RateSharing
from boragespring.gateway_peers.stop_sharing import StopSharing
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
    "CrashSharing",
    "EvacuationSharing",
    "GatewayLocation",
    "LoadSharing",
    "LoadSharingSettings",
    "ObservationSharing",
    "PeerNetwork",
    "PeerNetworkSettings",
    "Presence",
    "PresenceSettings",
    "RateSharing",
    "SnapshotSharing",
    "SnapshotSharingSettings",
    "StopSharing",
    "WatchRotation",
    "WatchRotationSettings",
]
