"""Model of claims: a non-idempotent request with a key runs at most once.

Three entries handle requests with the same key, since the caller retries its request
at other entries. An entry can pause or crash at any step, which the model represents
by not scheduling it. Store writes and the replies to them can be lost.
Submits can be delayed, duplicated and lost. The agent can crash; it restarts with
empty memory and the next incarnation. The store applies a write only if the key is at
the revision that the write expects.
"""

from collections.abc import Iterator
from enum import StrEnum

from attrs import evolve, frozen

from boragespring.modelcheck.explorer import Model, Step

__all__ = ["ClaimGuards", "ClaimState", "claim_model"]

#: Limits of the model, which keep its state space finite.
ENTRIES = 3
REVISION_MAX = 5
AGENT_CRASHES_MAX = 1


class Phase(StrEnum):
    """Phase of the protocol that an entry is in.

    An entry is `LOST` when it does not know whether its write was applied, `JOINING`
    when it has found a claim of another entry, and `FENCED` when the agent has
    committed to never running that claim.
    """

    IDLE = "idle"
    LOST = "lost"
    CLAIMED = "claimed"
    SENT = "sent"
    FENCED = "fenced"
    JOINING = "joining"
    ANSWERED = "answered"


class Answer(StrEnum):
    """Result that an entry returned to its caller."""

    NONE = "none"
    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@frozen
class Record:
    """Claim in the store.

    It names the entry that owns it and the only incarnation of the agent that is
    allowed to run it.
    """

    revision: int
    owner: int
    incarnation: int


@frozen
class Submit:
    """Submit in transit, with the claim revision and incarnation that it names."""

    revision: int
    incarnation: int


@frozen
class Entry:
    """State of one entry.

    Parameters
    ----------
    phase : Phase
        Phase of the protocol.
    revision : int
        Revision of the claim that the entry wrote or found; 0 for none.
    incarnation : int
        Incarnation of the agent that the claim names.
    answer : Answer
        Result returned to the caller.
    not_run_revision : int
        Revision of the claim that the entry reported as not run; 0 for none.
    """

    phase: Phase = Phase.IDLE
    revision: int = 0
    incarnation: int = 0
    answer: Answer = Answer.NONE
    not_run_revision: int = 0


@frozen
class Agent:
    """State of the agent.

    Parameters
    ----------
    incarnation : int
        Current incarnation.
    ran : frozenset of int
        Revisions of the claims that this incarnation has run.
    barred : frozenset of int
        Revisions of the claims that this incarnation must never run.
    """

    incarnation: int = 1
    ran: frozenset[int] = frozenset()
    barred: frozenset[int] = frozenset()


@frozen
class ClaimState:
    """State of the model.

    Parameters
    ----------
    revision : int
        Revision of the store.
    record : Record or None
        Claim in the store; None if there is none.
    entries : tuple of Entry
        States of the entries.
    agent : Agent
        State of the agent.
    network : frozenset of Submit
        Submits that can still arrive.
    runs : tuple of int
        Revisions of the claims that were run, in order.
    """

    revision: int = 0
    record: Record | None = None
    entries: tuple[Entry, ...] = (Entry(),) * ENTRIES
    agent: Agent = Agent()
    network: frozenset[Submit] = frozenset()
    runs: tuple[int, ...] = ()


@frozen
class ClaimGuards:
    """Checks of the protocol.

    Each check can be disabled to show that the protocol needs it.

    Parameters
    ----------
    checks_incarnation : bool
        Whether the agent rejects a submit for another incarnation.
    remembers_runs : bool
        Whether the agent runs each claim revision only once.
    bars_on_query : bool
        Whether an agent that reports a claim as not run never runs it later.
    compares_revision : bool
        Whether taking over a claim requires that its revision is unchanged.
    """

    checks_incarnation: bool = True
    remembers_runs: bool = True
    bars_on_query: bool = True
    compares_revision: bool = True


def claim_model(guards: ClaimGuards | None = None) -> Model[ClaimState]:
    """Return the model with the given guards; None enables all of them."""
    active_guards = guards or ClaimGuards()
    return Model(ClaimState(), lambda state: _steps(state, active_guards), _violation)


def _violation(state: ClaimState) -> str:
    if len(state.runs) > 1:
        return f"the request ran {len(state.runs)} times"
    for index, entry in enumerate(state.entries):
        if entry.not_run_revision in state.runs:
            return f"entry {index} reported the request as not run, but it ran"
    return ""


def _steps(state: ClaimState, guards: ClaimGuards) -> Iterator[Step[ClaimState]]:
    for index in range(ENTRIES):
        yield from _entry_steps(state, index, guards)
    yield from _agent_steps(state, guards)


def _with_entry(state: ClaimState, index: int, entry: Entry) -> ClaimState:
    entries = list(state.entries)
    entries[index] = entry
    return evolve(state, entries=tuple(entries))


def _write_claim(state: ClaimState, index: int) -> ClaimState:
    """Write a claim of an entry to the store at the next revision."""
    revision = state.revision + 1
    record = Record(revision, index, state.agent.incarnation)
    return evolve(state, revision=revision, record=record)


def _adopt_claim(state: ClaimState, index: int) -> ClaimState:
    """Make an entry the holder of the claim in the store."""
    record = state.record
    assert record is not None
    entry = evolve(
        state.entries[index],
        phase=Phase.CLAIMED,
        revision=record.revision,
        incarnation=record.incarnation,
    )
    return _with_entry(state, index, entry)


def _answer_caller(state: ClaimState, index: int, answer: Answer) -> ClaimState:
    entry = state.entries[index]
    not_run_revision = entry.revision if answer is Answer.NOT_RUN else 0
    return _with_entry(
        state,
        index,
        evolve(
            entry,
            phase=Phase.ANSWERED,
            answer=answer,
            not_run_revision=not_run_revision,
        ),
    )


def _entry_steps(
    state: ClaimState, index: int, guards: ClaimGuards
) -> Iterator[Step[ClaimState]]:
    entry = state.entries[index]
    name = f"entry {index}"
    if entry.phase is Phase.IDLE:
        yield from _claim_steps(state, index, name)
    elif entry.phase is Phase.LOST:
        yield from _read_back_steps(state, index, name)
    elif entry.phase is Phase.CLAIMED:
        yield from _dispatch_steps(state, index, name)
    elif entry.phase is Phase.SENT:
        yield from _resolve_steps(state, index, name, guards)
    elif entry.phase is Phase.JOINING:
        yield from _join_steps(state, index, name, guards)
    elif entry.phase is Phase.FENCED:
        yield from _takeover_steps(state, index, name, guards)


def _claim_steps(
    state: ClaimState, index: int, name: str
) -> Iterator[Step[ClaimState]]:
    if state.record is not None:
        joining = evolve(state.entries[index], phase=Phase.JOINING)
        yield Step(f"{name} finds a claim", _with_entry(state, index, joining))
        return
    lost = evolve(state.entries[index], phase=Phase.LOST)
    yield Step(f"{name} loses a write request", _with_entry(state, index, lost))
    if state.revision >= REVISION_MAX:
        return
    written = _write_claim(state, index)
    yield Step(f"{name} writes a claim", _adopt_claim(written, index))
    yield Step(f"{name} loses the reply to a write", _with_entry(written, index, lost))


def _read_back_steps(
    state: ClaimState, index: int, name: str
) -> Iterator[Step[ClaimState]]:
    record = state.record
    if record is None:
        idle = evolve(state.entries[index], phase=Phase.IDLE)
        yield Step(f"{name} reads back no claim", _with_entry(state, index, idle))
    elif record.owner == index:
        yield Step(f"{name} reads back its claim", _adopt_claim(state, index))
    else:
        joining = evolve(state.entries[index], phase=Phase.JOINING)
        yield Step(
            f"{name} reads back another entry's claim",
            _with_entry(state, index, joining),
        )


def _dispatch_steps(
    state: ClaimState, index: int, name: str
) -> Iterator[Step[ClaimState]]:
    entry = state.entries[index]
    submit = Submit(entry.revision, entry.incarnation)
    sent = evolve(state, network=state.network | {submit})
    phase = evolve(entry, phase=Phase.SENT)
    yield Step(f"{name} dispatches", _with_entry(sent, index, phase))


def _resolve_steps(
    state: ClaimState, index: int, name: str, guards: ClaimGuards
) -> Iterator[Step[ClaimState]]:
    """Query the agent for the outcome of the submit that the entry sent."""
    entry = state.entries[index]
    if state.agent.incarnation != entry.incarnation:
        yield Step(
            f"{name} finds its agent restarted",
            _answer_caller(state, index, Answer.UNKNOWN),
        )
    elif entry.revision in state.agent.ran:
        yield Step(
            f"{name} receives the outcome", _answer_caller(state, index, Answer.DONE)
        )
    else:
        barred = _bar_revision(state, entry.revision, guards)
        yield Step(
            f"{name} receives a not-run reply",
            _answer_caller(barred, index, Answer.NOT_RUN),
        )


def _bar_revision(state: ClaimState, revision: int, guards: ClaimGuards) -> ClaimState:
    if not guards.bars_on_query:
        return state
    agent = state.agent
    return evolve(state, agent=evolve(agent, barred=agent.barred | {revision}))


def _join_steps(
    state: ClaimState, index: int, name: str, guards: ClaimGuards
) -> Iterator[Step[ClaimState]]:
    record = state.record
    assert record is not None
    entry = state.entries[index]
    if record.incarnation != state.agent.incarnation:
        yield Step(
            f"{name} finds a new incarnation of the agent",
            _answer_caller(state, index, Answer.UNKNOWN),
        )
    elif record.revision in state.agent.ran:
        yield Step(f"{name} joins the run", _answer_caller(state, index, Answer.DONE))
    else:
        barred = _bar_revision(state, record.revision, guards)
        fenced = evolve(entry, phase=Phase.FENCED, revision=record.revision)
        yield Step(f"{name} fences the claim", _with_entry(barred, index, fenced))


def _takeover_steps(
    state: ClaimState, index: int, name: str, guards: ClaimGuards
) -> Iterator[Step[ClaimState]]:
    record = state.record
    assert record is not None
    entry = state.entries[index]
    matches = record.revision == entry.revision
    if guards.compares_revision and not matches:
        joining = evolve(entry, phase=Phase.JOINING)
        yield Step(
            f"{name} loses the race for the claim", _with_entry(state, index, joining)
        )
        return
    if state.revision >= REVISION_MAX:
        return
    written = _write_claim(state, index)
    lost = evolve(entry, phase=Phase.LOST)
    yield Step(f"{name} takes over", _adopt_claim(written, index))
    yield Step(
        f"{name} loses the reply to a takeover", _with_entry(written, index, lost)
    )


def _agent_steps(state: ClaimState, guards: ClaimGuards) -> Iterator[Step[ClaimState]]:
    agent = state.agent
    for submit in state.network:
        # The submit stays in the network, so that it can arrive again.
        if guards.checks_incarnation and submit.incarnation != agent.incarnation:
            continue
        if submit.revision in agent.barred:
            continue
        if guards.remembers_runs and submit.revision in agent.ran:
            continue
        ran = evolve(agent, ran=agent.ran | {submit.revision})
        runs = (*state.runs, submit.revision)
        yield Step(
            f"agent runs revision {submit.revision}",
            evolve(state, agent=ran, runs=runs),
        )
    if agent.incarnation <= AGENT_CRASHES_MAX:
        restarted = Agent(incarnation=agent.incarnation + 1)
        yield Step("agent crashes", evolve(state, agent=restarted))
