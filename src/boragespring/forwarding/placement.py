"""Choose the backend server of a request among those that take requests."""

import random
from collections.abc import Collection, Sequence
from functools import singledispatch

from attrs import frozen

from boragespring.catalog import EngineProfile
from boragespring.fleet import BackendServer
from boragespring.forwarding.messages import PromptShape

__all__ = [
    "GenerationCall",
    "PlacementSettings",
    "PlacementView",
    "ServiceCall",
    "choose_server",
]


@frozen
class PlacementSettings:
    """Weights of placing.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Rate at which engines read prompts.
    zone_penalty_s : float
        Time that a server of another availability zone has to save.
    memory_share_max : float
        Share of an engine's memory that expected runs may fill.
    overflow_penalty_s : float
        Cost of each further memory's worth beyond that share.
    run_penalty_s : float
        Cost of each run that shares the engine's steps.
    suspicion_penalty_s : float
        Cost of a server that failed of late.
    compare_all_max : int
        Servers up to which all are compared.
    sample_size : int
        Servers that are compared where there are more, drawn at random so that
        gateways do not all send to the one that looks best.
    """

    prefill_tokens_per_s: float = 14_000.0
    zone_penalty_s: float = 0.03
    memory_share_max: float = 0.9
    overflow_penalty_s: float = 10.0
    run_penalty_s: float = 0.02
    suspicion_penalty_s: float = 30.0
    compare_all_max: int = 24
    sample_size: int = 6


@frozen
class ServiceCall:
    """Call to a plain service."""


@frozen
class GenerationCall:
    """Generation for a model engine."""

    prompt: PromptShape
    engine: EngineProfile


@frozen
class PlacementView:
    """What placing knows at one time.

    Parameters
    ----------
    servers : sequence of BackendServer
        Servers that take requests.
    zone : str
        Availability zone that is nearest.
    now_s : float
        Monotonic time.
    excluded : collection of str
        Servers that already failed or refused the request.
    """

    servers: Sequence[BackendServer]
    zone: str
    now_s: float
    excluded: Collection[str] = ()


def choose_server(
    call: ServiceCall | GenerationCall, view: PlacementView, settings: PlacementSettings
) -> BackendServer | None:
    """Return the server with the lowest cost, or None when there is none."""
    eligible = view.servers
    if view.excluded:
        eligible = [one for one in eligible if one.server_id not in view.excluded]
    if not eligible:
        return None
    if len(eligible) > settings.compare_all_max:
        eligible = random.sample(eligible, settings.sample_size)
    return min(eligible, key=lambda server: server_cost_s(call, server, view, settings))


@singledispatch
def server_cost_s(
    call: object,
    server: BackendServer,
    view: PlacementView,
    settings: PlacementSettings,
) -> float:
    """Return what sending a request to a server is expected to cost."""
    raise NotImplementedError(type(call).__name__)


@server_cost_s.register
def _(
    call: ServiceCall,
    server: BackendServer,
    view: PlacementView,
    settings: PlacementSettings,
) -> float:
    slots = max(1, server.registration.slots)
    return server.open_runs / slots + _common_cost_s(server, view, settings)


@server_cost_s.register
def _(
    call: GenerationCall,
    server: BackendServer,
    view: PlacementView,
    settings: PlacementSettings,
) -> float:
    prompt = call.prompt
    runs, memory_tokens, prefill_tokens = server.load
    prefill_tokens += prompt.prompt_tokens
    memory_tokens += prompt.prompt_tokens + prompt.output_tokens
    share = memory_tokens / max(1, call.engine.memory_tokens)
    overflow = max(0.0, share - settings.memory_share_max)
    return (
        prefill_tokens / settings.prefill_tokens_per_s
        + settings.run_penalty_s * runs
        + settings.overflow_penalty_s * overflow
        + _common_cost_s(server, view, settings)
    )


def _common_cost_s(
    server: BackendServer, view: PlacementView, settings: PlacementSettings
) -> float:
    cost_s = server.warm_up_left_s(view.now_s)
    if server.availability_zone != view.zone:
        cost_s += settings.zone_penalty_s
    if server.is_suspected(view.now_s):
        cost_s += settings.suspicion_penalty_s
    return cost_s
