"""Faults of one run, drawn from a seed."""

import itertools
import random
from enum import StrEnum
from typing import Generic, TypeVar

from attrs import frozen

__all__ = ["PLANNED_KINDS", "Fault", "FaultKind", "SeededFault", "generate_faults"]


class FaultKind(StrEnum):
    """What goes wrong."""

    AGENT_KILLED = "agent_killed"
    ENTRY_KILLED = "entry_killed"
    AGENT_PAUSED = "agent_paused"
    ENTRY_PAUSED = "entry_paused"
    LINKS_SILENT = "links_silent"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_REPLIES_LOST = "store_answers_lost"
    CALLERS_DISCONNECT = "callers_vanish"
    ENGINE_CRASHED = "engine_dies"
    ENGINE_RECLAIMED = "engine_reclaimed"
    ENGINE_FROZEN = "engine_frozen"
    SERVICE_REPLIES_LOST = "service_loses_answers"
    AGENT_DRAINED = "agent_drained"
    ENTRY_DRAINED = "entry_drained"


#: Planned stops; alone they must not end any request in an error.
PLANNED_KINDS = frozenset((FaultKind.AGENT_DRAINED, FaultKind.ENTRY_DRAINED))

START_MAX_S = 0.35
DURATION_MIN_S, DURATION_MAX_S = 0.1, 0.6


K = TypeVar("K", bound=StrEnum)


@frozen
class SeededFault(Generic[K]):
    """One fault of a run.

    Parameters
    ----------
    kind : StrEnum
        What goes wrong.
    at_s, duration_s : float
        When, counted from the first request, and for how long.
    choice : int
        Which target; taken modulo the number of targets.
    """

    kind: K
    start_s: float
    duration_s: float
    choice: int


Fault = SeededFault[FaultKind]


def generate_faults(seed: int) -> tuple[Fault, ...]:
    """Return the faults of a seed: each kind alone, then each pair, and again."""
    kinds = tuple(FaultKind)
    cases = [
        *((kind,) for kind in kinds),
        *itertools.combinations_with_replacement(kinds, 2),
    ]
    rng = random.Random(seed)
    return tuple(
        Fault(
            kind,
            rng.uniform(0.02, START_MAX_S),
            rng.uniform(DURATION_MIN_S, DURATION_MAX_S),
            rng.randrange(1000),
        )
        for kind in cases[seed % len(cases)]
    )
