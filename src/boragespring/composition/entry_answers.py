"""Wire the answers and claims of an entry."""

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

#: An answer restarts when its link does not come back for so many deadlines.
RESUME_DEADLINES = 2


@frozen
class EntryAnswers:
    """What carries the answers of an entry.

    Parameters
    ----------
    table : AnswerTable
        Answers on their way.
    runner : RequestRunner
        Runs requests at agents.
    claims : ClaimedCalls
        Runs calls with a key at most once.
    repeats : IdempotencyCache
        Keeps whole answers with a key for their repeats.
    writer : GroupWriter
        Writes the claims.
    """

    table: AnswerTable
    runner: RequestRunner
    claims: ClaimedCalls
    repeats: IdempotencyCache[list[AnswerPart]]
    writer: GroupWriter


def build_answers(
    settings: EntrySettings,
    dispatcher: Dispatcher,
    peers: AgentPeers,
    choose: PeerChooser,
    store: KeyValueStore,
    metrics: AnswerMetrics,
    groups: GroupStore,
) -> EntryAnswers:
    """Return the parts that carry answers and claims."""
    restart_timeout_s = settings.links.heartbeat_deadline_s * RESUME_DEADLINES
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
    retries = RetryBudget(RetrySettings())
    runner = RequestRunner(client, choose, retries, metrics.restarts.inc)
    writer = GroupWriter(groups, GroupSettings(settings.claims.group_interval_s))
    claim_store = ClaimStore(store, writer, settings.claims)
    claims = ClaimedCalls(
        claim_store, runner, peers.get_or_connect, settings.claims, resume_timeout_s
    )
    repeats: IdempotencyCache[list[AnswerPart]] = IdempotencyCache(
        IdempotencyCacheSettings()
    )
    return EntryAnswers(table, runner, claims, repeats, writer)
