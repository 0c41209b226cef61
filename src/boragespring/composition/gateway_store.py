"""Build the components of a gateway that follow the platform's store."""

import time
from collections.abc import Awaitable, Callable, Coroutine

from attrs import frozen
from prometheus_client import CollectorRegistry

from boragespring.catalog import CatalogHolder
from boragespring.composition.gateway_peers import GatewayPeers, local_instance
from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet
from boragespring.gateway_peers import (
    Presence,
    PresenceSettings,
    SnapshotSharing,
    SnapshotSharingSettings,
    WatchRotation,
)
from boragespring.gateway_peers.presence import PRESENCE_PREFIX
from boragespring.metrics.store import StoreMetrics
from boragespring.platform.names import (
    CATALOG_KEY,
    DRAINED_ZONE_PREFIX,
    REGISTRATION_PREFIX,
)
from boragespring.platform.store_client import PlatformStore, PlatformStoreSettings
from boragespring.platform.store_feeds import (
    CatalogFeed,
    DrainFeed,
    FleetFeed,
    StoreContactLog,
)
from boragespring.quarantine import (
    CRASHES_KEY,
    CrashArchive,
    CrashArchiveSettings,
    RequestQuarantine,
)
from boragespring.settings.gateway import GatewaySettings, GatewayStoreSettings
from boragespring.store import BudgetedStore, BudgetSettings
from boragespring.store.fan_out import PrefixFanOut
from boragespring.store.follower import PrefixFollower

__all__ = ["StoreSync", "build_store_sync"]

#: Prefix that every key in the store has.
ALL_KEYS_PREFIX = ""
#: Number of gateways among which the call rates of the store are divided.
STORE_RATE_SHARES = 64


@frozen
class StoreSync:
    """Components that keep the data from the store up to date.

    The data are the catalog, the backend servers, the other gateways and crashes.

    Parameters
    ----------
    loops : tuple of callable
        Coroutine functions that run until the gateway stops.
    close_hooks : tuple of callable
        Coroutine functions that release resources at the end of a shutdown.
    snapshot_age_s : callable
        Returns the time in seconds since the local snapshot was last confirmed to
        be complete.
    is_store_lost : callable
        Returns whether the last call of this gateway to the store failed.
    unusable_registrations : callable
        Returns the number of registrations that cannot be used.
    """

    loops: tuple[Callable[[], Coroutine[None, None, None]], ...]
    close_hooks: tuple[Callable[[], Awaitable[None]], ...]
    snapshot_age_s: Callable[[], float]
    is_store_lost: Callable[[], bool]
    unusable_registrations: Callable[[], int]


def build_store_sync(
    settings: GatewaySettings,
    registry: CollectorRegistry,
    catalog_holder: CatalogHolder,
    fleet: Fleet,
    peers: GatewayPeers,
    watch_rotation: WatchRotation,
    quarantine: RequestQuarantine,
    log: DecisionLog,
) -> StoreSync:
    """Return the components that follow what the store holds."""
    platform_store = PlatformStore(PlatformStoreSettings(settings.store.url))
    platform_store.next_poll_timeout_s = watch_rotation.next_timeout_s
    store = BudgetedStore(platform_store, _store_budget_settings(settings.store))
    StoreMetrics(registry, store.counters)
    presence = Presence(
        store,
        local_instance(settings),
        peers.network.apply_gateways,
        PresenceSettings(),
        log,
    )
    archive = CrashArchive(
        store, quarantine, peers.is_responsible, CrashArchiveSettings(), log
    )
    registrations = FleetFeed(fleet, log)
    fan_out = PrefixFanOut(
        {
            CATALOG_KEY: CatalogFeed(catalog_holder, log),
            # Before the servers, so that none of a drained zone is ever chosen.
            DRAINED_ZONE_PREFIX: DrainFeed(
                fleet, lambda: time.monotonic() - follower.complete_at_s
            ),
            REGISTRATION_PREFIX: registrations,
            PRESENCE_PREFIX: presence,
            CRASHES_KEY: archive,
        }
    )
    follower = PrefixFollower(store, ALL_KEYS_PREFIX, fan_out, StoreContactLog(log))
    follower.is_on_standby = lambda: (
        not watch_rotation.is_watcher()
        and time.monotonic() - follower.complete_at_s
        < watch_rotation.snapshot_age_limit_s()
    )
    snapshots = SnapshotSharing(
        follower, peers.dispatcher, peers.network, SnapshotSharingSettings(), log
    )
    return StoreSync(
        loops=(follower.run, presence.run, snapshots.run, archive.run),
        close_hooks=(presence.withdraw, peers.close, store.close),
        snapshot_age_s=lambda: time.monotonic() - follower.complete_at_s,
        is_store_lost=lambda: follower.is_store_lost,
        unusable_registrations=lambda: registrations.unusable_count,
    )


def _store_budget_settings(settings: GatewayStoreSettings) -> BudgetSettings:
    return BudgetSettings(
        writes_per_s=settings.writes_per_s / STORE_RATE_SHARES,
        reads_per_s=settings.reads_per_s / STORE_RATE_SHARES,
    )
