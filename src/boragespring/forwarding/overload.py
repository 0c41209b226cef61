"""Shed generations that the engines could not start in time.

Once the memory of the engines is full, each further generation waits in an engine's
queue or preempts another one, and soon all of them miss their latency objective.
"""

import random

from attrs import frozen

from boragespring.catalog import EngineProfile, Route
from boragespring.fleet import BackendServer

__all__ = ["OverloadSettings", "expected_wait_s", "refusal_retry_after_s"]


@frozen
class OverloadSettings:
    """Thresholds for refusing generations and the resulting retry delays.

    Parameters
    ----------
    memory_share : float
        Fraction of an engine's memory that runs, with their expected output, can
        fill before further ones are expected to wait.
    urgent_memory_share : float
        The same for the most urgent requests, which engines schedule first.
    assumed_request_share : float
        Fraction of the memory that any request is assumed to need. It is the same
        for all sizes; otherwise large requests would be refused more often.
    release_s : float
        Time in seconds in which runs release an engine's full memory as they end.
    prefill_tokens_per_s : float
        Rate at which engines process prompts, in tokens per second.
    wait_share_max : float
        Maximum expected wait as a fraction of the route's latency objective.
    retry_min_s, retry_max_s : float
        Bounds of the retry delay in seconds. The delay is random, so that requests
        that were refused together are not retried together.
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
    """Return the expected time in seconds until an engine can start a new prompt.

    It does not depend on the size of the prompt, so that requests of all sizes are
    refused at the same load.
    """
    load = server.load
    limit = settings.memory_share if urgency else settings.urgent_memory_share
    used_fraction = load.memory_tokens / max(1, engine.memory_tokens)
    excess = max(0.0, used_fraction + settings.assumed_request_share - limit)
    prefill_s = load.prefill_tokens / settings.prefill_tokens_per_s
    return excess * settings.release_s + prefill_s


def refusal_retry_after_s(
    wait_s: float, route: Route, settings: OverloadSettings, rng: random.Random
) -> float | None:
    """Return the retry delay in seconds if a request is refused, else None."""
    if route.objective_s <= 0 or wait_s <= settings.wait_share_max * route.objective_s:
        return None
    return rng.uniform(settings.retry_min_s, settings.retry_max_s)
