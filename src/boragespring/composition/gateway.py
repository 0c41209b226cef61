"""Build a gateway from its settings.

The gateway reads its catalog and the registrations of backend servers from the store
of the platform on which it runs.
"""

import time
from collections.abc import Callable
from functools import partial
from typing import Any

from aiohttp import web
from prometheus_client import CollectorRegistry

from boragespring.catalog import CallerLimits, CatalogHolder
from boragespring.composition.gateway_callers import build_caller_budget
from boragespring.composition.gateway_peers import GatewayPeers, build_gateway_peers
from boragespring.composition.gateway_store import build_store_sync
from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet, FleetSettings, ServerPaces
from boragespring.forwarding import (
    BufferedForwarder,
    BufferedSettings,
    CrashDetector,
    CrashDetectorSettings,
    Forwarder,
    ForwardingContext,
    MoveScheduler,
    MoveSettings,
    PlacementSettings,
    RequestTracker,
    RequestValidator,
    RequestValidatorSettings,
    RetryBudget,
    RetryBudgetSettings,
    ServerStatements,
    StreamForwarder,
    StreamSettings,
    traits_of,
)
from boragespring.forwarding.probing import ProbeSettings, ServerProber
from boragespring.gateway import Gateway
from boragespring.gateway_peers import (
    CrashSharing,
    EvacuationSharing,
    GatewayLocation,
    LoadSharing,
    LoadSharingSettings,
    ObservationSharing,
    RateSharing,
    StopSharing,
    WatchRotation,
)
from boragespring.http.admin import HttpServer, admin_routes
from boragespring.metrics.gateway import GatewayMetrics
from boragespring.outliers import OutlierDetector, OutlierSettings
from boragespring.platform.http_server import GatewayHttpServer
from boragespring.platform.readiness import ReadinessServer
from boragespring.platform.server_calls import HttpServerCalls, ServerCallSettings
from boragespring.quarantine import (
    CrashEvidence,
    QuarantineSettings,
    RequestQuarantine,
)
from boragespring.server_rates import RateLimiterSettings, ServerRateLimiter
from boragespring.settings.gateway import (
    GatewayBounds,
    GatewaySettings,
)

__all__ = ["build_gateway"]


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
    fleet.cold_rate_per_s = catalog_holder.cold_rate_per_s
    calls = HttpServerCalls(ServerCallSettings())
    peers = build_gateway_peers(settings, registry, log)
    load_sharing = LoadSharing(
        fleet, peers.dispatcher, peers.network, LoadSharingSettings()
    )
    stop_sharing = StopSharing(peers.dispatcher, peers.network)
    stop_sharing.stopping_hooks.append(
        lambda name: log.lifecycle("peer_stopping", peer=name)
    )
    validator = RequestValidator(catalog_holder, _validator_settings(settings.bounds))
    validator.has_other_gateway = stop_sharing.has_serving_peer
    retry_budget = RetryBudget(_retry_budget_settings(settings.bounds), peers.count)
    crash_detector = CrashDetector(calls, CrashDetectorSettings(), log)
    quarantine = _build_quarantine(crash_detector, peers, log)
    quarantine.crash_hooks.append(lambda crash: fleet.record_crash(crash.process))
    rate_sharing = RateSharing(fleet, peers.dispatcher, peers.network)
    rates = ServerRateLimiter(rate_sharing, peers.count, RateLimiterSettings(), log)
    rate_sharing.limiter = rates
    calls.take_permit = rates.take
    outliers = OutlierDetector(
        fleet, peers.count, OutlierSettings(), log, settings.ejects_outliers
    )
    paces = ServerPaces(fleet)
    observations = _build_observation_sharing(outliers, paces, peers)
    context = ForwardingContext(
        fleet=fleet,
        calls=calls,
        budget=retry_budget,
        crash_detector=crash_detector,
        rates=rates,
        paces=paces,
        outliers=outliers,
        quarantine=quarantine,
        log=log,
        zone=settings.availability_zone,
        placement=PlacementSettings(),
        metrics=metrics,
        notify_loads=load_sharing.schedule_update,
    )
    context.unanswered.retry_after_s = validator.leaving_retry_after_s
    evacuations = EvacuationSharing(peers.network, load_sharing.has_load)
    tracker = RequestTracker(log, metrics)
    forwarder = _build_forwarder(context, validator, evacuations, tracker)
    location = GatewayLocation(settings.name, settings.availability_zone)
    watch_rotation = WatchRotation(location, peers.network.reachable_relays)
    store_sync = build_store_sync(
        settings,
        registry,
        catalog_holder,
        fleet,
        peers,
        watch_rotation,
        quarantine,
        log,
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
    statements = ServerStatements(
        fleet, paces, evacuations.notify_leaving, rate_sharing.notify_rate, log
    )
    calls.statement_hooks.append(statements.apply)
    evacuations.leaving_hooks.append(statements.on_notice)
    evacuations.unreachable_hooks.append(prober.on_server_unreachable)

    def caller_limits() -> CallerLimits:
        return (
            catalog_holder.catalog.limits if catalog_holder.catalog else CallerLimits()
        )

    def apply_bounds(bounds: GatewayBounds) -> None:
        validator.apply(_validator_settings(bounds))
        retry_budget.apply(_retry_budget_settings(bounds))

    budget = build_caller_budget(settings.process, metrics, log)
    gateway = Gateway(
        # HTTP server for the requests of the callers.
        callers=GatewayHttpServer(
            settings.callers,
            forwarder,
            caller_limits,
            tracker,
            log,
            context.unanswered,
            budget,
        ),
        listeners=[peers.server],
        loops=(
            *store_sync.loops,
            prober.run,
            load_sharing.run,
            observations.run,
        ),
        maintenance=(
            fleet.expire_lapsed,
            outliers.evaluate,
            paces.refresh,
            quarantine.evidence.expire,
            lambda: rates.retain(fleet.servers),
            load_sharing.expire_outdated,
            stop_sharing.expire_outdated,
            peers.network.refresh,
        ),
        reload_hooks=(apply_bounds,),
        leave_hooks=(stop_sharing.leave,),
        end_hooks=(context.unanswered.end,),
        status=partial(_status, catalog_holder, fleet),
        close_hooks=(*store_sync.close_hooks, crash_detector.close, calls.close),
        # Decides readiness by its catalog, and on shutdown refuses requests whose
        # reply could be interrupted.
        validator=validator,
        tracker=tracker,
        settings=settings,
        log=log,
    )
    _add_gauges(metrics, catalog_holder, fleet, store_sync.snapshot_age_s, peers)
    metrics.add_gauge(
        "unusable_registrations",
        "Entries among the registrations that name no usable server.",
        lambda: float(store_sync.unusable_registrations()),
    )
    metrics.add_gauge(
        "rate_limited_servers",
        "Backend servers that take a limited rate of requests.",
        lambda: float(
            sum(server.rate_limit_per_s is not None for server in fleet.servers)
        ),
    )
    metrics.add_gauge(
        "drained_zones",
        "Availability zones to whose servers nothing new is sent.",
        lambda: float(len(fleet.drained_zones)),
    )
    metrics.add_gauge(
        "cold_servers",
        "Backend servers that are cold.",
        lambda: float(
            sum(server.cold_left_s(time.monotonic()) > 0 for server in fleet.servers)
        ),
    )
    metrics.add_gauge(
        "ejected_servers",
        "Backend servers that get only trials, as they fail more than others.",
        lambda: float(sum(server.is_ejected for server in fleet.servers)),
    )
    metrics.add_gauge(
        "quarantine_culprits",
        "Requests and parts of prompts that are held to crash servers.",
        lambda: float(len(quarantine.culprits)),
    )
    gateway.listeners += [
        ReadinessServer(settings.readiness, gateway.why_not_ready, budget),
        HttpServer(settings.metrics, _admin_app(registry, gateway), budget=budget),
    ]
    return gateway


def _build_quarantine(
    crash_detector: CrashDetector, peers: GatewayPeers, log: DecisionLog
) -> RequestQuarantine:
    quarantine = RequestQuarantine(
        CrashEvidence(),
        QuarantineSettings(),
        peers.is_responsible,
        log,
    )
    crash_detector.crash_hooks.append(quarantine.record_crash)
    crash_detector.sound_hooks.append(
        lambda job, began_at_s: quarantine.record_sound_run(
            job.service.name, job.shared_prompt, began_at_s
        )
    )
    crash_detector.answer_hooks.append(
        lambda job: quarantine.record_answer(job.service.name, job.identity)
    )
    quarantine.culprit_hooks.append(
        lambda culprit: crash_detector.cancel_waiting(
            lambda job: culprit.matches(
                job.service.name, traits_of(job, quarantine.evidence)
            )
        )
    )
    CrashSharing(quarantine, peers.dispatcher, peers.network)
    return quarantine


def _build_observation_sharing(
    outliers: OutlierDetector, paces: ServerPaces, peers: GatewayPeers
) -> ObservationSharing:
    sharing = ObservationSharing(peers.dispatcher, peers.network)
    outliers.outcome_hooks.append(sharing.record_outcome)
    sharing.outcome_hooks.append(outliers.add_outcomes)
    paces.work_hooks.append(sharing.record_work)
    sharing.work_hooks.append(paces.add_peer_work)
    paces.slowdown_hooks.append(sharing.record_slowdown)
    sharing.slowdown_hooks.append(paces.add_peer_slowdown)
    return sharing


def _build_forwarder(
    context: ForwardingContext,
    validator: RequestValidator,
    evacuations: EvacuationSharing,
    tracker: RequestTracker,
) -> Forwarder:
    scheduler = MoveScheduler(context, MoveSettings(), evacuations)
    evacuations.announce_hooks.append(scheduler.on_peer_runs)
    evacuations.end_hooks.append(scheduler.on_peer_run_ended)
    return Forwarder(
        validator=validator,
        buffered=BufferedForwarder(context, BufferedSettings()),
        streaming=StreamForwarder(context, scheduler, StreamSettings()),
        context=context,
        tracker=tracker,
    )


def _add_gauges(
    metrics: GatewayMetrics,
    catalog_holder: CatalogHolder,
    fleet: Fleet,
    snapshot_age_s: Callable[[], float],
    peers: GatewayPeers,
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


def _validator_settings(bounds: GatewayBounds) -> RequestValidatorSettings:
    return RequestValidatorSettings(
        catalog_age_max_s=bounds.revocation_age_max_s,
        # Catalog age beyond which a newer catalog may have the missing route or key.
        uncertain_age_s=bounds.catalog_delay_s,
    )


def _retry_budget_settings(bounds: GatewayBounds) -> RetryBudgetSettings:
    return RetryBudgetSettings(
        ratio=bounds.retry_ratio,
        slack=bounds.retry_slack,
        window_s=bounds.retry_window_s,
    )
