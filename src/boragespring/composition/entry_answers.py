"""Wire the answers and claims of an entry."""

from attrs import frozen

from boragespring.answers import (
    AnswerPart,
    AnswerTable,
    Carrier,
    CarrierSettings,
    KeptRepeats,
    RepeatSettings,
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
    repeats : KeptRepeats
        Keeps whole answers with a key for their repeats.
    writer : GroupWriter
        Writes the claims.
    """

    table: AnswerTable
    runner: RequestRunner
    claims: ClaimedCalls
    repeats: KeptRepeats[list[AnswerPart]]
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
    restart_after_s = settings.links.heartbeat_deadline_s * RESUME_DEADLINES
    resume_timeout_s = settings.callers.resume_timeout_s
    table = AnswerTable(dispatcher)
    carrier = Carrier(
        table,
        peers.reach,
        CarrierSettings(
            settings.callers.window_tokens, restart_after_s, resume_timeout_s
        ),
        metrics.resumes.inc,
    )
    retries = RetryBudget(RetrySettings())
    runner = RequestRunner(carrier, choose, retries, metrics.restarts.inc)
    writer = GroupWriter(groups, GroupSettings(settings.claims.group_interval_s))
    claim_store = ClaimStore(store, writer, settings.claims)
    claims = ClaimedCalls(
        claim_store, runner, peers.reach, settings.claims, resume_timeout_s
    )
    repeats: KeptRepeats[list[AnswerPart]] = KeptRepeats(RepeatSettings())
    return EntryAnswers(table, runner, claims, repeats, writer)
