"""Build an entry from its settings."""

from aiohttp import web
from attrs import asdict
from prometheus_client import CollectorRegistry

from boragespring.composition.entry_answers import build_answers
from boragespring.composition.entry_callers import (
    build_caller_server,
    build_problem_record,
)
from boragespring.composition.entry_claims import EntryClaimWrites
from boragespring.composition.entry_duties import EntryDuties
from boragespring.composition.entry_limits import EntryLimits
from boragespring.composition.entry_lists import EntryLists
from boragespring.composition.entry_membership import build_peers
from boragespring.composition.identity import new_identity
from boragespring.composition.routing import router_settings
from boragespring.composition.store import build_store
from boragespring.entry import EntryDaemon
from boragespring.entry.accounts import Accounts
from boragespring.entry.agent_chooser import AgentChooser
from boragespring.entry.completions import CompletionHandlers
from boragespring.entry.gate import RequestGate
from boragespring.entry.lists_accounts import ListsAccounts
from boragespring.entry.problems import build_problem_middleware
from boragespring.entry.services import ServiceHandlers
from boragespring.http import admin_routes
from boragespring.limits import RequestLimiter, Unlimited
from boragespring.links import Dispatcher, LinkContext, LinkServer
from boragespring.metrics import AnswerMetrics, LinkMetrics
from boragespring.metrics.lists import ListsMetrics
from boragespring.settings import EntrySettings
from boragespring.store import HttpInstanceList

__all__ = ["build_entry"]


def build_entry(
    settings: EntrySettings, fixed_accounts: Accounts | None = None
) -> EntryDaemon:
    """Return an entry that has all its components but is not started.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    fixed_accounts : Accounts or None
        Accounts to use in place of the lists in the store. If given, requests are
        not limited, because the limits come from the lists.
    """
    registry = CollectorRegistry()
    dispatcher = Dispatcher()
    identity = new_identity(settings.name, "entry", settings.placement)
    link_metrics = LinkMetrics(registry)
    context = LinkContext(identity, dispatcher, settings.links, link_metrics)
    answer_metrics = AnswerMetrics(registry)
    instances = HttpInstanceList(
        settings.platform.instances_url, settings.platform.call_timeout_s
    )
    peers = build_peers(settings, instances, context)
    store = build_store(settings.platform, registry)
    lists = EntryLists(
        settings,
        store,
        lambda: peers.view.instances.values(),
        context,
    )
    ListsMetrics(registry, lists.replica)
    accounts = fixed_accounts or ListsAccounts(lists.replica)

    choose_agent = AgentChooser(
        peers,
        dispatcher,
        settings.placement.availability_zone,
        router_settings(settings.routing),
    )
    claim_writes = EntryClaimWrites(settings.name, store, lists.peers, dispatcher)
    answers = build_answers(
        settings,
        dispatcher,
        peers,
        choose_agent,
        store,
        answer_metrics,
        claim_writes.group_store,
    )
    gate = RequestGate()
    duties = EntryDuties(settings, store, lists.replica, peers, lambda: gate.is_leaving)
    entry_limits = EntryLimits(
        identity, lists, duties.duty_manager, dispatcher, lambda: gate.is_leaving
    )
    limiter: RequestLimiter = Unlimited() if fixed_accounts else entry_limits.limiter

    def why_not_ready() -> str:
        if gate.is_leaving:
            return "leaving"
        if not accounts.version:
            return "no lists are in force"
        if not fixed_accounts and not entry_limits.limiter.is_ready:
            return "no share of the limits yet"
        return "" if peers.is_ready else "agents are not linked yet"

    def status() -> dict[str, object]:
        return {
            "name": settings.name,
            "role": "entry",
            "availability_zone": settings.placement.availability_zone,
            "incarnation": identity.incarnation,
            "lists_version": accounts.version,
            "lists": lists.status(),
            "limits": entry_limits.status(),
            "links": link_metrics.counts(),
            "store_calls": asdict(store.counters),
            "running": gate.in_progress,
            "leaving": gate.is_leaving,
            "stray_messages": answers.table.unexpected_messages,
            "claim_writes": answers.claim_writer.writes,
            "claim_write_calls": answers.claim_writer.calls,
            "instance_list": asdict(peers.view.counters),
            "peer_counts": asdict(peers.counters),
            **duties.status(),
            "ejected": choose_agent.ejected(),
            "agents": [asdict(peer) for peer in peers.status()],
        }

    app = web.Application(
        client_max_size=settings.callers.body_max_bytes,
        middlewares=[
            build_problem_middleware(build_problem_record(registry)),
            gate.middleware,
        ],
    )
    gate.install(app)
    app.add_routes(admin_routes(registry, why_not_ready, status))
    CompletionHandlers(
        settings.callers,
        accounts,
        answers.runner,
        answers.idempotency_cache,
        answer_metrics,
        limiter,
    ).add_routes(app)
    ServiceHandlers(
        accounts, answers.runner, answers.claims, answer_metrics, limiter
    ).add_routes(app)
    links = LinkServer(settings.link, context)
    return EntryDaemon(
        settings,
        build_caller_server(settings, app, registry),
        links,
        peers,
        answers.table,
        answers.claims,
        gate,
        (
            instances,
            duties,
            answers.claims,
            answers.idempotency_cache,
            answers.claim_writer,
            claim_writes.combiner,
            store,
        ),
        (lists.run, duties.run, entry_limits.run),
    )
