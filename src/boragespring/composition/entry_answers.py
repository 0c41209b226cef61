"""Build the components that deliver the answers of an entry and make its claims."""

from attrs import frozen

from boragespring.answers import (
    AnswerClient,
    AnswerClientSettings,
    AnswerPart,
    AnswerTable,
    IdempotencyCache,
    IdempotencyCacheSettings,
    RequestRunner,
    RetryBudget,
    RetrySettings,
)
from boragespring.answers.requests import PeerChooser
from boragespring.claims import (
    ClaimedCalls,
    ClaimStore,
    GroupSettings,
    GroupStore,
    GroupWriter,
)
from boragespring.links import Dispatcher
from boragespring.membership import AgentPeers
from boragespring.metrics import AnswerMetrics
from boragespring.settings import EntrySettings
from boragespring.store.store import KeyValueStore

__all__ = ["EntryAnswers", "build_answers"]

#: Time without a link after which an answer is restarted, in heartbeat deadlines.
RESTART_AFTER_DEADLINES = 2


@frozen
class EntryAnswers:
    """Components that deliver the answers of an entry.

    Parameters
    ----------
    table : AnswerTable
        Answers that are in progress.
    runner : RequestRunner
        Runs requests on agents.
    claims : ClaimedCalls
        Runs calls that have an idempotency key at most once.
    idempotency_cache : IdempotencyCache
        Keeps the complete answers of requests that have an idempotency key, for
        duplicate requests.
    claim_writer : GroupWriter
        Writes the claims to the store.
    """

    table: AnswerTable
    runner: RequestRunner
    claims: ClaimedCalls
    idempotency_cache: IdempotencyCache[list[AnswerPart]]
    claim_writer: GroupWriter


def build_answers(
    settings: EntrySettings,
    dispatcher: Dispatcher,
    peers: AgentPeers,
    choose_agent: PeerChooser,
    store: KeyValueStore,
    metrics: AnswerMetrics,
    group_store: GroupStore,
) -> EntryAnswers:
    """Build the components that deliver answers and make claims.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    dispatcher : Dispatcher
        Registry for the message handlers of the answer table.
    peers : AgentPeers
        Links to the agents.
    choose_agent : PeerChooser
        Chooses the agent for a request.
    store : KeyValueStore
        Store that holds the claims.
    metrics : AnswerMetrics
        Counters of resumed and restarted answers.
    group_store : GroupStore
        Carries out the grouped writes of claims.
    """
    restart_timeout_s = settings.links.heartbeat_deadline_s * RESTART_AFTER_DEADLINES
    resume_timeout_s = settings.callers.resume_timeout_s
    table = AnswerTable(dispatcher)
    client = AnswerClient(
        table,
        peers.get_or_connect,
        AnswerClientSettings(
            settings.callers.window_tokens, restart_timeout_s, resume_timeout_s
        ),
        metrics.resumes.inc,
    )
    retry_budget = RetryBudget(RetrySettings())
    runner = RequestRunner(client, choose_agent, retry_budget, metrics.restarts.inc)
    claim_writer = GroupWriter(
        group_store, GroupSettings(settings.claims.group_interval_s)
    )
    claim_store = ClaimStore(store, claim_writer, settings.claims)
    claims = ClaimedCalls(
        claim_store, runner, peers.get_or_connect, settings.claims, resume_timeout_s
    )
    idempotency_cache: IdempotencyCache[list[AnswerPart]] = IdempotencyCache(
        IdempotencyCacheSettings()
    )
    return EntryAnswers(table, runner, claims, idempotency_cache, claim_writer)
