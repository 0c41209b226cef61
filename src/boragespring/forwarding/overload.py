"""Refuse at once what the engines have no memory for in time.

Answers the load at which engines' memory is full: each further generation then
waits in an engine's queue, or sets another one back, and soon all come late.
"""

import random

from attrs import frozen

from boragespring.catalog import EngineProfile, Route
from boragespring.fleet import BackendServer

__all__ = ["OverloadSettings", "expected_wait_s", "refusal_retry_after_s"]


@frozen
class OverloadSettings:
    """When a generation is refused.

    Parameters
    ----------
    memory_share : float
        Share of an engine's memory that expected runs may fill before further
        ones wait.
    urgent_memory_share : float
        The same for the most urgent requests, which engines admit first.
    assumed_request_share : float
        Share of the memory that a request counts with. It is the same for all,
        as large requests would be refused more often otherwise.
    release_s : float
        Time in which an engine's full memory comes free as its runs end.
    prefill_tokens_per_s : float
        Rate at which engines read prompts.
    wait_share_max : float
        Share of the route's objective that may pass until the prompt is read.
    retry_min_s, retry_max_s : float
        Earliest and latest time to come back; drawn at random, so that those
        refused together do not return together.
    """

    memory_share: float = 1.0
    urgent_memory_share: float = 1.3
    assumed_request_share: float = 0.15
    release_s: float = 7.0
    prefill_tokens_per_s: float = 14_000.0
    wait_share_max: float = 0.7
    retry_min_s: float = 0.6
    retry_max_s: float = 1.1


def expected_wait_s(
    server: BackendServer,
    engine: EngineProfile,
    urgency: int,
    settings: OverloadSettings,
) -> float:
    """Return the time until an engine has room for a prompt and begins with it.

    It does not depend on the prompt: all sizes shall be refused alike.
    """
    load = server.load
    share = settings.memory_share if urgency else settings.urgent_memory_share
    held_share = load.memory_tokens / max(1, engine.memory_tokens)
    excess = max(0.0, held_share + settings.assumed_request_share - share)
    prefill_s = load.prefill_tokens / settings.prefill_tokens_per_s
    return excess * settings.release_s + prefill_s


def refusal_retry_after_s(
    wait_s: float, route: Route, settings: OverloadSettings, rng: random.Random
) -> float | None:
    """Return when a refused request shall come back; None to send it."""
    if route.objective_s <= 0 or wait_s <= settings.wait_share_max * route.objective_s:
        return None
    return rng.uniform(settings.retry_min_s, settings.retry_max_s)
