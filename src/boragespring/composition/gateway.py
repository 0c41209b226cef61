"""Build a gateway from its settings.

The gateway reads its catalog and the registrations of backend servers from the store
of the platform on which it runs.
"""

import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from functools import partial
from typing import Any

from aiohttp import web
from attrs import evolve, frozen
from prometheus_client import CollectorRegistry

from boragespring.catalog import CallerLimits, CatalogHolder
from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet, FleetSettings
from boragespring.forwarding import (
    BufferedForwarder,
    BufferedSettings,
    Forwarder,
    ForwardingContext,
    MoveScheduler,
    MoveSettings,
    PlacementSettings,
    RequestValidator,
    RequestValidatorSettings,
    RetryBudget,
    RetryBudgetSettings,
    StreamForwarder,
    StreamSettings,
)
from boragespring.forwarding.probing import ProbeSettings, ServerProber
from boragespring.gateway import Gateway
from boragespring.gateway_peers import (
    EvacuationSharing,
    GatewayLocation,
    LoadSharing,
    LoadSharingSettings,
    PeerNetwork,
    PeerNetworkSettings,
    Presence,
    PresenceSettings,
    SnapshotSharing,
    SnapshotSharingSettings,
    WatchRotation,
)
from boragespring.gateway_peers.presence import PRESENCE_PREFIX
from boragespring.gateway_peers.topology import SEED_NAME_PREFIX
from boragespring.http.admin import HttpServer, admin_routes
from boragespring.links import Dispatcher, Identity, LinkContext, LinkServer
from boragespring.links.messages import PROTOCOL_VERSION
from boragespring.membership.entry_peers import EntryPeers
from boragespring.metrics import LinkMetrics
from boragespring.metrics.gateway import GatewayMetrics
from boragespring.metrics.store import StoreMetrics
from boragespring.platform.http_server import GatewayHttpServer
from boragespring.platform.names import CATALOG_KEY, REGISTRATION_PREFIX
from boragespring.platform.readiness import ReadinessServer
from boragespring.platform.server_calls import HttpServerCalls, ServerCallSettings
from boragespring.platform.store_client import PlatformStore, PlatformStoreSettings
from boragespring.platform.store_feeds import CatalogFeed, FleetFeed, StoreContactLog
from boragespring.settings.gateway import (
    GatewayBounds,
    GatewaySettings,
    GatewayStoreSettings,
)
from boragespring.store import BudgetedStore, BudgetSettings
from boragespring.store.fan_out import PrefixFanOut
from boragespring.store.follower import PrefixFollower
from boragespring.store.instances import Instance, InstanceRole

__all__ = ["build_gateway"]

#: Prefix that every key in the store has.
ALL_KEYS_PREFIX = ""
#: Number of gateways among which the call rates of the store are divided.
STORE_RATE_SHARES = 64


def build_gateway(settings: GatewaySettings, log: DecisionLog) -> Gateway:
    """Return a gateway that has all its components but is not started.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the gateway.
    log : DecisionLog
        Log for all decisions of the gateway.
    """
    registry = CollectorRegistry()
    metrics = GatewayMetrics(registry)
    catalog_holder = CatalogHolder(log)
    fleet = Fleet(FleetSettings(), log)
    calls = HttpServerCalls(ServerCallSettings())
    peers = _build_peers(settings, registry, log)
    load_sharing = LoadSharing(
        fleet, peers.dispatcher, peers.network, LoadSharingSettings()
    )
    validator = RequestValidator(catalog_holder, _validator_settings(settings.bounds))
    validator.has_other_gateway = load_sharing.has_serving_peer
    retry_budget = RetryBudget(_retry_budget_settings(settings.bounds), peers.count)
    context = ForwardingContext(
        fleet=fleet,
        calls=calls,
        budget=retry_budget,
        log=log,
        zone=settings.availability_zone,
        placement=PlacementSettings(),
        metrics=metrics,
        notify_loads=load_sharing.schedule_update,
    )
    evacuations = EvacuationSharing(peers.network, load_sharing.has_load)
    forwarder = _build_forwarder(context, validator, evacuations)
    location = GatewayLocation(settings.name, settings.availability_zone)
    watch_rotation = WatchRotation(location, peers.network.reachable_relays)
    store_sync = _build_store_sync(
        settings, registry, catalog_holder, fleet, peers, watch_rotation, log
    )
    prober = ServerProber(
        fleet=fleet,
        calls=calls,
        settings=ProbeSettings(),
        local_name=settings.name,
        prober_names=lambda: [relay.name for relay in peers.network.reachable_relays()],
        snapshot_age_limit_s=lambda: watch_rotation.snapshot_age_limit_s(
            store_sync.is_store_lost()
        ),
        snapshot_age_s=store_sync.snapshot_age_s,
        # Only the servers of services with a model engine provide reports.
        serves_reports=catalog_holder.has_engine,
        notify_leaving=evacuations.notify_leaving,
        notify_unreachable=evacuations.notify_unreachable,
        log=log,
    )
    evacuations.leaving_hooks.append(prober.on_server_leaving)
    evacuations.unreachable_hooks.append(prober.on_server_unreachable)

    def caller_limits() -> CallerLimits:
        return (
            catalog_holder.catalog.limits if catalog_holder.catalog else CallerLimits()
        )

    def apply_bounds(bounds: GatewayBounds) -> None:
        validator.apply(_validator_settings(bounds))
        retry_budget.apply(_retry_budget_settings(bounds))

    gateway = Gateway(
        # HTTP server for the requests of the callers.
        callers=GatewayHttpServer(settings.callers, forwarder, caller_limits, log),
        listeners=[peers.server],
        loops=(*store_sync.loops, prober.run, load_sharing.run),
        maintenance=(
            fleet.expire_lapsed,
            load_sharing.expire_outdated,
            peers.network.refresh,
        ),
        reload_hooks=(apply_bounds,),
        leave_hooks=(load_sharing.leave,),
        status=partial(_status, catalog_holder, fleet),
        close_hooks=(*store_sync.close_hooks, calls.close),
        # Decides readiness by its catalog, and on shutdown refuses requests whose
        # reply could be interrupted.
        validator=validator,
        settings=settings,
        log=log,
    )
    _add_gauges(metrics, catalog_holder, fleet, store_sync.snapshot_age_s, peers)
    gateway.listeners += [
        ReadinessServer(settings.readiness, gateway.why_not_ready),
        HttpServer(settings.metrics, _admin_app(registry, gateway)),
    ]
    return gateway


def _build_forwarder(
    context: ForwardingContext,
    validator: RequestValidator,
    evacuations: EvacuationSharing,
) -> Forwarder:
    scheduler = MoveScheduler(context, MoveSettings(), evacuations)
    evacuations.announce_hooks.append(scheduler.on_peer_runs)
    evacuations.end_hooks.append(scheduler.on_peer_run_ended)
    return Forwarder(
        validator=validator,
        buffered=BufferedForwarder(context, BufferedSettings()),
        streaming=StreamForwarder(context, scheduler, StreamSettings()),
        context=context,
    )


@frozen
class _StoreSync:
    """Components that keep the data from the store up to date.

    The data are the catalog, the backend servers and the other gateways.

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
    """

    loops: tuple[Callable[[], Coroutine[None, None, None]], ...]
    close_hooks: tuple[Callable[[], Awaitable[None]], ...]
    snapshot_age_s: Callable[[], float]
    is_store_lost: Callable[[], bool]


def _build_store_sync(
    settings: GatewaySettings,
    registry: CollectorRegistry,
    catalog_holder: CatalogHolder,
    fleet: Fleet,
    peers: "_Peers",
    watch_rotation: WatchRotation,
    log: DecisionLog,
) -> _StoreSync:
    platform_store = PlatformStore(PlatformStoreSettings(settings.store.url))
    platform_store.next_poll_timeout_s = watch_rotation.next_timeout_s
    store = BudgetedStore(platform_store, _store_budget_settings(settings.store))
    StoreMetrics(registry, store.counters)
    presence = Presence(
        store,
        _local_instance(settings),
        peers.network.apply_gateways,
        PresenceSettings(),
        log,
    )
    fan_out = PrefixFanOut(
        {
            CATALOG_KEY: CatalogFeed(catalog_holder, log),
            REGISTRATION_PREFIX: FleetFeed(fleet, log),
            PRESENCE_PREFIX: presence,
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
    return _StoreSync(
        loops=(follower.run, presence.run, snapshots.run),
        close_hooks=(presence.withdraw, peers.close, store.close),
        snapshot_age_s=lambda: time.monotonic() - follower.complete_at_s,
        is_store_lost=lambda: follower.is_store_lost,
    )


def _add_gauges(
    metrics: GatewayMetrics,
    catalog_holder: CatalogHolder,
    fleet: Fleet,
    snapshot_age_s: Callable[[], float],
    peers: "_Peers",
) -> None:
    metrics.add_gauge(
        "catalog_version",
        "Version of the catalog in force.",
        lambda: float(catalog_holder.catalog.version if catalog_holder.catalog else 0),
    )
    # The age counts from when the local snapshot was last known to be complete.
    metrics.add_gauge(
        "store_copy_age_seconds",
        "Time since all that the store holds was known here.",
        snapshot_age_s,
    )
    metrics.add_gauge(
        "servers",
        "Backend servers that take requests.",
        lambda: float(sum(not server.is_leaving for server in fleet.servers)),
    )
    metrics.add_gauge(
        "peers",
        "Gateways with an open link.",
        lambda: float(len(peers.network.linked_names())),
    )
    metrics.add_gauge(
        "joined_gateways",
        "Gateways for which this one relays messages to the others.",
        lambda: float(len(peers.network.joined_links())),
    )


def _admin_app(registry: CollectorRegistry, gateway: Gateway) -> web.Application:
    app = web.Application()
    app.add_routes(admin_routes(registry, gateway.why_not_ready, gateway.status))
    return app


def _status(catalog_holder: CatalogHolder, fleet: Fleet) -> dict[str, Any]:
    return {
        "catalog_version": catalog_holder.catalog.version
        if catalog_holder.catalog
        else 0,
        "servers": [
            {
                "server": server.server_id,
                "service": server.registration.service,
                "is_leaving": server.is_leaving,
                "runs": len(server.runs),
                "runs_of_peers": server.open_runs - len(server.runs),
            }
            for server in fleet.servers
        ],
    }


@frozen
class _Peers:
    """Links to the other gateways.

    Parameters
    ----------
    dispatcher : Dispatcher
        Registry for the message handlers of all links.
    server : LinkServer
        Accepts links from other gateways.
    entries : EntryPeers
        Maintains the links that this gateway dials; gateways have the role of
        entries on links and in the instance list.
    network : PeerNetwork
        Chooses the gateways to dial and sends to all others.
    """

    dispatcher: Dispatcher
    server: LinkServer
    entries: EntryPeers
    network: PeerNetwork

    async def close(self) -> None:
        """Stop dialing and close the links that this gateway has dialed."""
        self.entries.stop()

    def count(self) -> int:
        """Return the number of known gateways, including this one; at least 1."""
        return max(1, len(self.entries.entries))


def _build_peers(
    settings: GatewaySettings, registry: CollectorRegistry, log: DecisionLog
) -> _Peers:
    dispatcher = Dispatcher()
    dispatcher.on_up(lambda link: log.lifecycle("peer_up", peer=link.peer.name))
    dispatcher.on_down(
        lambda link: log.lifecycle(
            "peer_down", peer=link.peer.name, reason=link.close_reason
        )
    )
    identity = Identity(
        protocol_version=PROTOCOL_VERSION,
        name=settings.name,
        role="entry",
        incarnation=time.time_ns(),
        availability_zone=settings.availability_zone,
    )
    context = LinkContext(identity, dispatcher, settings.links, LinkMetrics(registry))
    entries = EntryPeers(context)
    network = PeerNetwork(
        _local_instance(settings), dispatcher, entries, PeerNetworkSettings()
    )
    network.apply_gateways(tuple(_seed_instances(settings)))
    return _Peers(dispatcher, LinkServer(settings.peers, context), entries, network)


def _seed_instances(settings: GatewaySettings) -> Iterable[Instance]:
    """Return placeholder instances for the seeds in the settings.

    The seeds are dialed until the store has returned the list of gateways.
    """
    return (
        evolve(
            _local_instance(settings),
            name=f"{SEED_NAME_PREFIX}{seed.host}:{seed.port}",
            host=seed.host,
            link_port=seed.port,
        )
        for seed in settings.seeds
        if seed != settings.peers
    )


def _local_instance(settings: GatewaySettings) -> Instance:
    """Return this gateway; ``settings.peers`` is its own address for links."""
    return Instance(
        name=settings.name,
        role=InstanceRole.ENTRY,
        service="",
        region=settings.region,
        availability_zone=settings.availability_zone,
        host=settings.peers.host,
        link_port=settings.peers.port,
        http_port=0,
        cpu_cores=settings.cpu_cores,
    )


def _validator_settings(bounds: GatewayBounds) -> RequestValidatorSettings:
    return RequestValidatorSettings(
        catalog_age_max_s=bounds.revocation_age_max_s,
        # Catalog age beyond which a newer catalog may have the missing route or key.
        uncertain_age_s=bounds.catalog_delay_s,
    )


def _store_budget_settings(settings: GatewayStoreSettings) -> BudgetSettings:
    return BudgetSettings(
        writes_per_s=settings.writes_per_s / STORE_RATE_SHARES,
        reads_per_s=settings.reads_per_s / STORE_RATE_SHARES,
    )


def _retry_budget_settings(bounds: GatewayBounds) -> RetryBudgetSettings:
    return RetryBudgetSettings(
        ratio=bounds.retry_ratio,
        slack=bounds.retry_slack,
        window_s=bounds.retry_window_s,
    )
