"""Generate the requests of a fault run from a seed."""

import random

from boragespring.faults.callers import CallerPlan, RequestKind
from boragespring.faults.schedule import Fault, FaultKind

__all__ = ["generate_plans"]

REQUESTS = 20
START_MAX_S = 0.45
TOKENS_MAX = 120
DUPLICATE_PROBABILITY = 0.4
DISCONNECT_PROBABILITY = 0.5
ABANDON_PROBABILITY = 0.3
#: Number of tokens of a generation that would run long if it were not cancelled.
ABANDONED_TOKENS = 8000
DISCONNECT_MIN_S, DISCONNECT_MAX_S = 0.01, 0.2


def generate_plans(seed: int, faults: tuple[Fault, ...]) -> list[CallerPlan]:
    """Return the caller plans of a seed; the kinds of requests alternate."""
    rng = random.Random(f"callers {seed}")
    kinds = tuple(RequestKind)
    has_disconnects = any(
        fault.kind is FaultKind.CALLERS_DISCONNECT for fault in faults
    )
    return [
        _generate_plan(
            rng, f"m{seed}x{number}", kinds[number % len(kinds)], has_disconnects
        )
        for number in range(REQUESTS)
    ]


def _generate_plan(
    rng: random.Random, marker: str, kind: RequestKind, has_disconnects: bool
) -> CallerPlan:
    disconnect_after_s = rng.uniform(DISCONNECT_MIN_S, DISCONNECT_MAX_S)
    disconnects = has_disconnects and rng.random() < DISCONNECT_PROBABILITY
    retries_after_disconnect = not disconnects or rng.random() >= ABANDON_PROBABILITY
    return CallerPlan(
        marker=marker,
        kind=kind,
        tokens=rng.randint(1, TOKENS_MAX)
        if retries_after_disconnect
        else ABANDONED_TOKENS,
        first_entry=rng.randrange(2),
        start_s=rng.uniform(0.0, START_MAX_S),
        disconnect_after_s=disconnect_after_s if disconnects else None,
        retries_after_disconnect=retries_after_disconnect,
        has_duplicate=kind is RequestKind.KEYED_CALL
        and rng.random() < DUPLICATE_PROBABILITY,
    )
