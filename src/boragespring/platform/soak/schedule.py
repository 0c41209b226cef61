"""Generate the faults of a soak run from a seed. Faults of a run may overlap."""

import random
from collections.abc import Sequence
from enum import StrEnum

from boragespring.faults import SeededFault
from boragespring.platform.soak.shape import STOP_SEED_MIN

__all__ = [
    "GROUPS",
    "LONG_DURATIONS_S",
    "PLANNED_KINDS",
    "REVIEW_KINDS",
    "SoakFault",
    "SoakFaultKind",
    "generate_faults",
]


class SoakFaultKind(StrEnum):
    """Kind of fault."""

    STOPPED = "gateway_stopped"
    ROLLING_STOP = "gateways_stopped_in_turn"
    KILLED = "gateway_killed"
    ALL_KILLED = "all_killed_after_a_change"
    FROZEN = "gateway_frozen"
    RELOADED = "gateway_reloaded"
    STORE_BUSY = "store_busy"
    STORE_SILENT = "store_silent"
    STORE_RESETS = "store_resets"
    STORE_SLOW = "store_slow"
    HISTORY_COMPACTED = "history_gone"
    STORE_UNREACHABLE = "gateway_turned_away"
    STORE_REPLIES_LOST = "store_hears_and_is_not_heard"
    CATALOG_CHANGED = "catalog_changed"
    KEY_REMOVED = "key_taken"
    ENGINE_RECLAIMED = "engine_reclaimed"
    ENGINE_CRASHED = "engine_crashed"
    SERVICE_FAULTS = "service_faults"
    STREAMS_BROKEN = "unframed_streams_broken_off"
    STORE_RESTORED = "store_returned_from_a_copy"
    SERVER_LEAVING = "server_states_its_leaving"
    SERVER_PAUSED = "server_asks_for_a_pause"
    PROMPT_CRASHES = "prompts_crash_engines"
    SERVER_LIMITED = "server_names_a_rate"
    REQUEST_CRASHES = "request_crashes_servers"
    ENTRY_RETURNS = "entry_of_a_paused_server_returns"
    ROUTES_MOVED = "routes_moved_to_another_service"
    ZONE_DRAINED = "zone_drained"
    SERVER_COLD = "server_turns_cold"
    STOP_SERIES = "stops_in_series"
    ALL_STOPPED = "all_stopped_within_a_second"
    STOP_RELOADED = "gateway_stopped_and_reloaded"
    STOP_FROZEN = "gateway_frozen_in_its_stop"
    STOP_REPEATED = "gateway_stopped_twice"
    CHANGE_SERIES = "changes_in_series"
    CRASH_SERIES = "crashes_in_series"
    REPLIES_UNSOUND = "replies_unsound"
    QUERY_VARIES = "crashing_request_with_varying_query"
    QUERY_CRASHES = "query_crashes_servers"
    DEEP_PROMPT_CRASHES = "part_deep_in_prompts_crashes_engines"


#: Planned operations, which alone must not truncate any response.
PLANNED_KINDS = frozenset(
    (
        SoakFaultKind.STOPPED,
        SoakFaultKind.ROLLING_STOP,
        SoakFaultKind.RELOADED,
        SoakFaultKind.CATALOG_CHANGED,
        SoakFaultKind.ENGINE_RECLAIMED,
        SoakFaultKind.SERVER_LEAVING,
        SoakFaultKind.ROUTES_MOVED,
        SoakFaultKind.ZONE_DRAINED,
        SoakFaultKind.SERVER_COLD,
        SoakFaultKind.STOP_SERIES,
        SoakFaultKind.ALL_STOPPED,
        SoakFaultKind.STOP_RELOADED,
        SoakFaultKind.STOP_REPEATED,
        SoakFaultKind.CHANGE_SERIES,
    )
)
#: Kinds that are drawn apart from the others, so that a seed keeps the faults of the
#: other kinds that it had before these were added.
ADDED_KINDS = (
    SoakFaultKind.STREAMS_BROKEN,
    SoakFaultKind.STORE_RESTORED,
    SoakFaultKind.SERVER_LEAVING,
    SoakFaultKind.SERVER_PAUSED,
)
#: The same for kinds that were added later still.
LATER_KINDS = (SoakFaultKind.PROMPT_CRASHES, SoakFaultKind.SERVER_LIMITED)
LATEST_KINDS = (SoakFaultKind.REQUEST_CRASHES, SoakFaultKind.ENTRY_RETURNS)
ROUTE_KINDS = (SoakFaultKind.ROUTES_MOVED,)
ZONE_KINDS = (SoakFaultKind.ZONE_DRAINED, SoakFaultKind.SERVER_COLD)
STOP_KINDS = (
    SoakFaultKind.STOP_SERIES,
    SoakFaultKind.ALL_STOPPED,
    SoakFaultKind.STOP_RELOADED,
    SoakFaultKind.STOP_FROZEN,
)
#: What happens beside such stops.
BESIDE_KINDS = (SoakFaultKind.CHANGE_SERIES, SoakFaultKind.CRASH_SERIES)
REPEAT_KINDS = (SoakFaultKind.STOP_REPEATED,)
REVIEW_KINDS = (
    SoakFaultKind.REPLIES_UNSOUND,
    SoakFaultKind.QUERY_VARIES,
    SoakFaultKind.QUERY_CRASHES,
    SoakFaultKind.DEEP_PROMPT_CRASHES,
)
REVIEW_SEED_MIN = 800_000
#: Of the seeds from there on, those with this rest play two faults of that group alone:
#: beside others, gateways are seldom in touch long enough for their guarantees.
ALONE_SEED_INTERVAL, ALONE_SEED_REST = 8, 7
ALONE_FAULTS = 2
#: Lowest seed with faults of each group of kinds, so that seeds that failed before the
#: group was added still play what they played then.
GROUPS = (
    ("added", ADDED_KINDS, 5000),
    ("later", LATER_KINDS, 100_000),
    ("latest", LATEST_KINDS, 200_000),
    ("routes", ROUTE_KINDS, 300_000),
    ("zones", ZONE_KINDS, 400_000),
    ("stops", STOP_KINDS, STOP_SEED_MIN),
    ("beside", BESIDE_KINDS, 510_000),
    ("repeats", REPEAT_KINDS, 600_000),
    ("reviews", REVIEW_KINDS, REVIEW_SEED_MIN),
)
#: Groups of which each seed has a fault, if it may have one.
NEEDED_GROUPS = ("stops", "reviews")
GROUP_FAULTS_MAX = 2

FAULTS_MIN, FAULTS_MAX = 2, 4
START_MIN_S, START_MAX_S = 0.2, 3.0
#: Durations in seconds of the faults whose guarantees need time to be checked.
LONG_DURATIONS_S = {
    SoakFaultKind.PROMPT_CRASHES: 6.0,
    SoakFaultKind.SERVER_LIMITED: 8.0,
    SoakFaultKind.REQUEST_CRASHES: 7.0,
    SoakFaultKind.ENTRY_RETURNS: 6.0,
    SoakFaultKind.ROUTES_MOVED: 7.0,
    SoakFaultKind.ZONE_DRAINED: 6.0,
    SoakFaultKind.SERVER_COLD: 5.0,
    SoakFaultKind.STOP_SERIES: 14.0,
    SoakFaultKind.ALL_STOPPED: 10.0,
    SoakFaultKind.STOP_RELOADED: 10.0,
    SoakFaultKind.STOP_FROZEN: 10.0,
    SoakFaultKind.STOP_REPEATED: 10.0,
    SoakFaultKind.CHANGE_SERIES: 10.0,
    SoakFaultKind.CRASH_SERIES: 10.0,
    SoakFaultKind.QUERY_VARIES: 7.0,
    SoakFaultKind.QUERY_CRASHES: 7.0,
    SoakFaultKind.DEEP_PROMPT_CRASHES: 14.0,
}
DURATION_MIN_S, DURATION_MAX_S = 0.2, 2.0
#: Seeds that are a multiple of this number generate planned operations only. Of those
#: with planned stops, all do but one in this many.
PLANNED_SEED_INTERVAL = 4
UNPLANNED_STOP_PLACE = 3


SoakFault = SeededFault[SoakFaultKind]


def generate_faults(seed: int) -> tuple[SoakFault, ...]:
    """Return the faults of a seed; the same seed always gives the same faults."""
    if seed >= REVIEW_SEED_MIN and seed % ALONE_SEED_INTERVAL == ALONE_SEED_REST:
        rng = random.Random(f"alone {seed}")
        return _draw_faults(rng, REVIEW_KINDS, ALONE_FAULTS)
    allowed = _allowed_kinds(seed)
    rng = random.Random(seed)
    grouped = {kind for _, kinds, _ in GROUPS for kind in kinds}
    first_kinds = [kind for kind in allowed if kind not in grouped]
    faults = _draw_faults(rng, first_kinds, rng.randint(FAULTS_MIN, FAULTS_MAX))
    for name, kinds, seed_min in GROUPS:
        if seed < seed_min:
            break
        group_rng = random.Random(f"{name} {seed}")
        group_kinds = [kind for kind in allowed if kind in kinds]
        count_min = int(name in NEEDED_GROUPS)
        count = group_rng.randint(count_min, GROUP_FAULTS_MAX) if group_kinds else 0
        faults = (*faults, *_draw_faults(group_rng, group_kinds, count))
    return faults


def _allowed_kinds(seed: int) -> list[SoakFaultKind]:
    place = seed % PLANNED_SEED_INTERVAL
    if seed < STOP_SEED_MIN:
        return list(SoakFaultKind) if place else sorted(PLANNED_KINDS)
    is_planned = place != UNPLANNED_STOP_PLACE
    return sorted(PLANNED_KINDS) if is_planned else list(SoakFaultKind)


def _draw_faults(
    rng: random.Random, kinds: Sequence[SoakFaultKind], count: int
) -> tuple[SoakFault, ...]:
    return tuple(
        SoakFault(
            rng.choice(kinds),
            rng.uniform(START_MIN_S, START_MAX_S),
            rng.uniform(DURATION_MIN_S, DURATION_MAX_S),
            rng.randrange(1000),
        )
        for _ in range(count)
    )
