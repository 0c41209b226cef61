"""Build an agent from its settings."""

from aiohttp import web
from attrs import asdict
from prometheus_client import CollectorRegistry

from boragespring.agent import AgentDaemon, GenerationRunner, ServiceCallRunner
from boragespring.agent.admin import leave_routes
from boragespring.agent.cache_follower import CacheAnnouncer
from boragespring.agent.leaving import Leaving
from boragespring.agent.workload import Workload
from boragespring.answers import AnswerRegistry
from boragespring.claims import ClaimQueryHandler, RunOnceMemory
from boragespring.composition.agent_load import (
    PLAIN_VENDOR,
    build_followers,
    build_queue,
)
from boragespring.composition.agent_orders import build_order_receiver
from boragespring.composition.identity import new_identity
from boragespring.composition.store import build_store
from boragespring.engines import (
    VendorName,
    create_engine_client,
    create_service_client,
    create_vendor,
)
from boragespring.http import HttpServer, admin_routes
from boragespring.links import Dispatcher, LinkContext, LinkServer
from boragespring.lists import ListsReplica
from boragespring.lists.distribution import ListsDistribution
from boragespring.metrics import LinkMetrics
from boragespring.metrics.lists import ListsMetrics
from boragespring.orders import OrderReceiver
from boragespring.resources import Closable
from boragespring.settings import AgentSettings

__all__ = ["build_agent"]


def build_agent(settings: AgentSettings) -> AgentDaemon:
    """Return an agent that has all its components but is not started."""
    registry = CollectorRegistry()
    dispatcher = Dispatcher()
    identity = new_identity(
        settings.name, "agent", settings.placement, settings.server.service
    )
    workload = Workload(build_queue(settings, registry))
    answer_registry = AnswerRegistry(settings.answers, dispatcher)
    store = build_store(settings.platform, registry)
    resources: list[Closable] = [store]
    orders: OrderReceiver | None = None
    if settings.server.vendor == PLAIN_VENDOR:
        service = create_service_client(settings.server.url)
        resources.append(service)
        followers = build_followers(settings, service, workload, registry)
        memory = RunOnceMemory(
            settings.answers.run_once_retention_s, settings.answers.run_once_ids_max
        )
        incarnation = identity.incarnation
        ServiceCallRunner(
            service, answer_registry, workload, dispatcher, memory, incarnation
        )
        ClaimQueryHandler(incarnation, answer_registry, memory, dispatcher)
        # A running call may already have taken effect. Moving it to another
        # agent could repeat that effect, so no call is moved.
        move = _move_nothing
    else:
        vendor = VendorName(settings.server.vendor)
        engine = create_engine_client(
            create_vendor(vendor, settings.server.memory_tokens), settings.server.url
        )
        resources.append(engine)
        orders = build_order_receiver(settings, engine, store, dispatcher)
        resources.append(orders)
        move = GenerationRunner(engine, answer_registry, workload, dispatcher).move
        followers = build_followers(settings, engine, workload, registry)
        CacheAnnouncer(workload.cache, dispatcher)
    replica = ListsReplica()
    ListsDistribution(replica, dispatcher, is_entry=False)
    ListsMetrics(registry, replica)
    link_metrics = LinkMetrics(registry)
    context = LinkContext(identity, dispatcher, settings.links, link_metrics)
    links = LinkServer(settings.link, context)

    def broadcast_state() -> None:
        for link in links.links:
            if link.is_up:
                link.send(workload.state())

    leaving = Leaving(
        identity, workload, dispatcher, broadcast_state, workload.return_waiting, move
    )

    def why_not_ready() -> str:
        return "leaving" if workload.is_leaving else ""

    def status() -> dict[str, object]:
        return {
            "name": settings.name,
            "role": "agent",
            "availability_zone": settings.placement.availability_zone,
            "service": settings.server.service,
            "incarnation": identity.incarnation,
            "lists_version": replica.version,
            "leaving": workload.is_leaving,
            "leave": asdict(leaving.status()),
            "running": workload.running,
            "waiting": workload.queue.waiting,
            "kept_answers": len(answer_registry),
            "kept_bytes": answer_registry.memory_budget.used_bytes,
            "stray_messages": answer_registry.unexpected_messages,
            "links": link_metrics.counts(),
            "store_calls": asdict(store.counters),
            "orders": asdict(orders.report()) if orders else None,  # type: ignore[arg-type]
        }

    app = web.Application()
    app.add_routes(admin_routes(registry, why_not_ready, status))
    app.add_routes(leave_routes(leaving))
    admin = HttpServer(settings.http, app)
    return AgentDaemon(
        settings,
        dispatcher,
        links,
        admin,
        answer_registry,
        workload,
        leaving,
        followers,
        tuple(resources),
    )


def _move_nothing() -> int:
    return 0
