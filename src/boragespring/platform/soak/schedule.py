"""Faults of one run, drawn from a seed; they come in series and overlap."""

import random
from enum import StrEnum

from boragespring.faults import SeededFault

__all__ = ["PLANNED_KINDS", "SoakFault", "SoakKind", "draw_faults"]


class SoakKind(StrEnum):
    """What goes wrong."""

    STOPPED = "gateway_stopped"
    STOPPED_IN_TURN = "gateways_stopped_in_turn"
    KILLED = "gateway_killed"
    ALL_KILLED = "all_killed_after_a_change"
    FROZEN = "gateway_frozen"
    RELOADED = "gateway_reloaded"
    STORE_BUSY = "store_busy"
    STORE_SILENT = "store_silent"
    STORE_RESETS = "store_resets"
    STORE_SLOW = "store_slow"
    HISTORY_GONE = "history_gone"
    TURNED_AWAY = "gateway_turned_away"
    STORE_DEAF = "store_hears_and_is_not_heard"
    CHANGED = "catalog_changed"
    KEY_TAKEN = "key_taken"
    ENGINE_RECLAIMED = "engine_reclaimed"
    ENGINE_CRASHED = "engine_crashed"
    SERVICE_FAULTS = "service_faults"


#: Planned work; alone it must not cut any request.
PLANNED_KINDS = frozenset(
    (
        SoakKind.STOPPED,
        SoakKind.STOPPED_IN_TURN,
        SoakKind.RELOADED,
        SoakKind.CHANGED,
        SoakKind.ENGINE_RECLAIMED,
    )
)

FAULTS_MIN, FAULTS_MAX = 2, 4
START_MIN_S, START_MAX_S = 0.2, 3.0
DURATION_MIN_S, DURATION_MAX_S = 0.2, 2.0
#: Every so many seeds draws planned work only.
PLANNED_EVERY = 4


SoakFault = SeededFault[SoakKind]


def draw_faults(seed: int) -> tuple[SoakFault, ...]:
    """Return the faults of a seed."""
    chance = random.Random(seed)
    kinds = sorted(PLANNED_KINDS) if seed % PLANNED_EVERY == 0 else list(SoakKind)
    return tuple(
        SoakFault(
            chance.choice(kinds),
            chance.uniform(START_MIN_S, START_MAX_S),
            chance.uniform(DURATION_MIN_S, DURATION_MAX_S),
            chance.randrange(1000),
        )
        for _ in range(chance.randint(FAULTS_MIN, FAULTS_MAX))
    )
