"""Wire a gateway on the users' platform."""

import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence
from functools import partial
from typing import Any

import xxhash
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
    Presence,
    PresenceSettings,
    SnapshotSharing,
    SnapshotSharingSettings,
    WatchRotation,
)
from boragespring.gateway_peers.presence import PRESENCE_PREFIX
from boragespring.http.admin import HttpServer, admin_routes
from boragespring.links import Dispatcher, Identity, Link, LinkContext, LinkServer
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

#: Prefix of every key in the store.
ALL_KEYS = ""
#: Most gateways that one gateway keeps links to.
LINKS_MAX = 40
#: Gateways among which the store's rates are shared.
STORE_SHARES = 64


def build_gateway(settings: GatewaySettings, log: DecisionLog) -> Gateway:
    """Return a gateway that is ready to start."""
    registry = CollectorRegistry()
    metrics = GatewayMetrics(registry)
    holder = CatalogHolder(log)
    fleet = Fleet(FleetSettings(), log)
    calls = HttpServerCalls(ServerCallSettings())
    peers = _build_peers(settings, registry, log)
    loads = LoadSharing(fleet, peers.dispatcher, peers.links, LoadSharingSettings())
    gate = RequestValidator(holder, _validator_settings(settings.bounds))
    gate.has_other_gateway = loads.has_serving_peer
    budget = RetryBudget(_budget_settings(settings.bounds), peers.count)
    context = ForwardingContext(
        fleet=fleet,
        calls=calls,
        budget=budget,
        log=log,
        zone=settings.availability_zone,
        placement=PlacementSettings(),
        metrics=metrics,
        notify_loads=loads.schedule_update,
    )
    evacuations = EvacuationSharing(peers.dispatcher, peers.links)
    forwarder = _build_forwarder(context, gate, evacuations)
    own_place = GatewayLocation(settings.name, settings.availability_zone)
    turns = WatchRotation(own_place, peers.places)
    following = _build_following(settings, registry, holder, fleet, peers, turns, log)
    prober = ServerProber(
        fleet=fleet,
        calls=calls,
        settings=ProbeSettings(),
        local_name=settings.name,
        peer_names=peers.names,
        snapshot_age_limit_s=lambda: turns.snapshot_age_limit_s(
            following.is_store_lost()
        ),
        snapshot_age_s=following.copy_age_s,
        serves_reports=holder.has_engine,
        notify_leaving=evacuations.notify_leaving,
        notify_unreachable=evacuations.notify_unreachable,
        log=log,
    )
    evacuations.leaving_hooks.append(prober.on_server_leaving)
    evacuations.unreachable_hooks.append(prober.on_server_unreachable)

    def limits() -> CallerLimits:
        return holder.catalog.limits if holder.catalog else CallerLimits()

    def take_bounds(bounds: GatewayBounds) -> None:
        gate.apply(_validator_settings(bounds))
        budget.apply(_budget_settings(bounds))

    gateway = Gateway(
        callers=GatewayHttpServer(settings.callers, forwarder, limits, log),
        listeners=[peers.server],
        loops=(*following.loops, prober.run),
        maintenance=(fleet.expire_lapsed, loads.expire_outdated),
        reload_hooks=(take_bounds,),
        leave_hooks=(loads.leave,),
        status=partial(_status, holder, fleet),
        close_hooks=(*following.closers, calls.close),
        gate=gate,
        settings=settings,
        log=log,
    )
    _add_gauges(metrics, holder, fleet, following.copy_age_s, peers)
    gateway.listeners += [
        ReadinessServer(settings.readiness, gateway.why_not_ready),
        HttpServer(settings.metrics, _admin_app(registry, gateway)),
    ]
    return gateway


def _build_forwarder(
    context: ForwardingContext, gate: RequestValidator, evacuations: EvacuationSharing
) -> Forwarder:
    scheduler = MoveScheduler(context, MoveSettings(), evacuations)
    evacuations.announce_hooks.append(scheduler.on_peer_runs)
    evacuations.end_hooks.append(scheduler.on_peer_run_ended)
    return Forwarder(
        validator=gate,
        buffered=BufferedForwarder(context, BufferedSettings()),
        streaming=StreamForwarder(context, scheduler, StreamSettings()),
        context=context,
    )


@frozen
class _Following:
    """What keeps the catalog, the servers and the other gateways known.

    Parameters
    ----------
    loops : tuple of callable
        What runs as long as the process.
    closers : tuple of callable
        What is closed at the end.
    copy_age_s : callable
        Returns the age of what the store told.
    is_store_lost : callable
        Returns whether the last own call to the store failed.
    """

    loops: tuple[Callable[[], Coroutine[None, None, None]], ...]
    closers: tuple[Callable[[], Awaitable[None]], ...]
    copy_age_s: Callable[[], float]
    is_store_lost: Callable[[], bool]


def _build_following(
    settings: GatewaySettings,
    registry: CollectorRegistry,
    holder: CatalogHolder,
    fleet: Fleet,
    peers: "_Peers",
    turns: WatchRotation,
    log: DecisionLog,
) -> _Following:
    platform_store = PlatformStore(PlatformStoreSettings(settings.store.url))
    platform_store.next_poll_timeout_s = turns.next_timeout_s
    store = BudgetedStore(platform_store, _store_budget(settings.store))
    StoreMetrics(registry, store.counters)
    presence = Presence(
        store,
        _own_instance(settings),
        peers.entries.apply_instances,
        PresenceSettings(),
        log,
    )
    readers = PrefixFanOut(
        {
            CATALOG_KEY: CatalogFeed(holder, log),
            REGISTRATION_PREFIX: FleetFeed(fleet, log),
            PRESENCE_PREFIX: presence,
        }
    )
    follower = PrefixFollower(store, ALL_KEYS, readers, StoreContactLog(log))
    follower.is_on_standby = lambda: (
        not turns.is_watcher()
        and time.monotonic() - follower.complete_at_s < turns.snapshot_age_limit_s()
    )
    copies = SnapshotSharing(
        follower, peers.dispatcher, peers.links, SnapshotSharingSettings(), log
    )
    return _Following(
        loops=(follower.run, presence.run, copies.run),
        closers=(presence.withdraw, peers.close, store.close),
        copy_age_s=lambda: time.monotonic() - follower.complete_at_s,
        is_store_lost=lambda: follower.is_store_lost,
    )


def _add_gauges(
    metrics: GatewayMetrics,
    holder: CatalogHolder,
    fleet: Fleet,
    copy_age_s: Callable[[], float],
    peers: "_Peers",
) -> None:
    metrics.add_gauge(
        "catalog_version",
        "Version of the catalog in force.",
        lambda: float(holder.catalog.version if holder.catalog else 0),
    )
    metrics.add_gauge(
        "store_copy_age_seconds",
        "Time since all that the store holds was known here.",
        copy_age_s,
    )
    metrics.add_gauge(
        "servers",
        "Backend servers that take requests.",
        lambda: float(sum(not server.is_leaving for server in fleet.servers)),
    )
    metrics.add_gauge(
        "peers", "Gateways with an open link.", lambda: float(len(peers.links()))
    )


def _admin_app(registry: CollectorRegistry, gateway: Gateway) -> web.Application:
    app = web.Application()
    app.add_routes(admin_routes(registry, gateway.why_not_ready, gateway.status))
    return app


def _status(holder: CatalogHolder, fleet: Fleet) -> dict[str, Any]:
    return {
        "catalog_version": holder.catalog.version if holder.catalog else 0,
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
    """Links to the other gateways."""

    dispatcher: Dispatcher
    server: LinkServer
    entries: EntryPeers

    def links(self) -> list[Link]:
        """Return the open links that this gateway has dialled."""
        found = (self.entries.link_to(one.name) for one in self.entries.entries)
        return [link for link in found if link is not None]

    def names(self) -> list[str]:
        """Return the names of the gateways with an open link."""
        return [link.peer.name for link in self.links()]

    def places(self) -> list[GatewayLocation]:
        """Return names and availability zones of the same."""
        peers = (link.peer for link in self.links())
        return [GatewayLocation(one.name, one.availability_zone) for one in peers]

    async def close(self) -> None:
        """Dial no more, and close the links that were dialled."""
        self.entries.stop()

    def count(self) -> int:
        """Return the number of gateways, this one included."""
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
    own = Identity(
        protocol_version=PROTOCOL_VERSION,
        name=settings.name,
        role="entry",
        incarnation=time.time_ns(),
        availability_zone=settings.availability_zone,
    )
    context = LinkContext(own, dispatcher, settings.links, LinkMetrics(registry))
    entries = EntryPeers(context)
    entries.add_selector(lambda: _nearest(settings, entries.entries))
    entries.apply_instances(tuple(_seed_instances(settings)))
    return _Peers(dispatcher, LinkServer(settings.peers, context), entries)


def _nearest(settings: GatewaySettings, gateways: Sequence[Instance]) -> frozenset[str]:
    """Return the gateways to link to: those of the own zone before others."""
    others = [one for one in gateways if one.name != settings.name]

    def rank(one: Instance) -> tuple[bool, int]:
        is_elsewhere = one.availability_zone != settings.availability_zone
        return is_elsewhere, xxhash.xxh32_intdigest((settings.name + one.name).encode())

    return frozenset(one.name for one in sorted(others, key=rank)[:LINKS_MAX])


def _seed_instances(settings: GatewaySettings) -> Iterable[Instance]:
    """Return gateways that are known before the store has told of any."""
    return (
        evolve(
            _own_instance(settings),
            name=f"seed {seed.host}:{seed.port}",
            host=seed.host,
            link_port=seed.port,
        )
        for seed in settings.seeds
        if seed != settings.peers
    )


def _own_instance(settings: GatewaySettings) -> Instance:
    return Instance(
        name=settings.name,
        role=InstanceRole.ENTRY,
        service="",
        region=settings.region,
        availability_zone=settings.availability_zone,
        host=settings.peers.host,
        link_port=settings.peers.port,
        http_port=0,
    )


def _validator_settings(bounds: GatewayBounds) -> RequestValidatorSettings:
    return RequestValidatorSettings(
        catalog_age_max_s=bounds.revocation_age_max_s,
        uncertain_age_s=bounds.catalog_delay_s,
    )


def _store_budget(settings: GatewayStoreSettings) -> BudgetSettings:
    return BudgetSettings(
        writes_per_s=settings.writes_per_s / STORE_SHARES,
        reads_per_s=settings.reads_per_s / STORE_SHARES,
    )


def _budget_settings(bounds: GatewayBounds) -> RetryBudgetSettings:
    return RetryBudgetSettings(
        ratio=bounds.retry_ratio,
        slack=bounds.retry_slack,
        window_s=bounds.retry_window_s,
    )
