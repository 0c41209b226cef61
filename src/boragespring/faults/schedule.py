"""Generate the faults of a run from a seed."""

import itertools
import random
from enum import StrEnum
from typing import Generic, TypeVar

from attrs import frozen

__all__ = ["PLANNED_KINDS", "Fault", "FaultKind", "SeededFault", "generate_faults"]


class FaultKind(StrEnum):
    """Kind of fault."""

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


#: Planned stops, which alone must not make any request fail.
PLANNED_KINDS = frozenset((FaultKind.AGENT_DRAINED, FaultKind.ENTRY_DRAINED))

START_MAX_S = 0.35
DURATION_MIN_S, DURATION_MAX_S = 0.1, 0.6


K = TypeVar("K", bound=StrEnum)


@frozen
class SeededFault(Generic[K]):
    """Fault of a run.

    Parameters
    ----------
    kind : StrEnum
        Kind of fault.
    start_s : float
        Start in seconds after the first request of the run.
    duration_s : float
        Duration in seconds.
    choice : int
        Index of the target, taken modulo the number of targets.
    """

    kind: K
    start_s: float
    duration_s: float
    choice: int


Fault = SeededFault[FaultKind]


def generate_faults(seed: int) -> tuple[Fault, ...]:
    """Return the faults of a seed.

    Consecutive seeds go through each kind alone, then each pair of kinds, and then
    start over. The same seed always gives the same faults.
    """
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
