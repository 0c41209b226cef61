"""Choose the backend server with the lowest expected cost for a request."""

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
    """Weights and limits used to choose a server.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Rate at which engines process prompts, in tokens per second.
    zone_penalty_s : float
        Cost in seconds of a server in another availability zone.
    call_zone_penalty_s : float
        The same for calls of plain services whose time is known: the time on the way.
    crowding : float
        How much longer a call takes at a plain server that is full than at an idle one.
    memory_share_max : float
        Fraction of an engine's memory that runs can fill without extra cost.
    overflow_penalty_s : float
        Cost in seconds of exceeding that fraction by the engine's full memory,
        applied proportionally.
    run_penalty_s : float
        Cost in seconds of each run that is batched on the same engine.
    failure_penalty_s : float
        Cost in seconds of a request that fails.
    suspicion_penalty_s : float
        Cost in seconds of a server that failed recently.
    compare_all_max : int
        Maximum number of servers for which all of them are compared.
    sample_size : int
        Number of randomly selected servers to compare if there are more. Sampling
        prevents all gateways from choosing the same least-loaded server.
    """

    prefill_tokens_per_s: float = 14_000.0
    zone_penalty_s: float = 0.03
    call_zone_penalty_s: float = 0.003
    crowding: float = 0.5
    memory_share_max: float = 0.9
    overflow_penalty_s: float = 10.0
    run_penalty_s: float = 0.02
    failure_penalty_s: float = 0.1
    suspicion_penalty_s: float = 30.0
    compare_all_max: int = 24
    sample_size: int = 4


@frozen
class ServiceCall:
    """Call to a service without a model engine."""


@frozen
class GenerationCall:
    """Generation by a model engine."""

    prompt: PromptShape
    engine: EngineProfile


@frozen
class PlacementView:
    """Candidate servers and conditions at one point in time.

    Parameters
    ----------
    servers : sequence of BackendServer
        Servers that accept requests.
    zone : str
        Preferred availability zone.
    now_s : float
        Monotonic time in seconds.
    excluded : collection of str
        Identifiers of servers that have already failed or refused the request.
    """

    servers: Sequence[BackendServer]
    zone: str
    now_s: float
    excluded: Collection[str] = ()


def choose_server(
    call: ServiceCall | GenerationCall, view: PlacementView, settings: PlacementSettings
) -> BackendServer | None:
    """Return the server with the lowest cost, or None if there is no candidate."""
    compared = view.servers
    if len(compared) > settings.compare_all_max:
        compared = random.sample(compared, settings.sample_size)
    eligible = _sound(_eligible(compared, view))
    if not eligible:
        available = _eligible(view.servers, view)
        eligible = _sound(available) or available
    if not eligible:
        return None
    ordered = _break_ties(call, eligible)
    return min(ordered, key=lambda server: server_cost_s(call, server, view, settings))


def _eligible(
    servers: Sequence[BackendServer], view: PlacementView
) -> list[BackendServer]:
    return [
        server
        for server in servers
        if server.paused_until_s <= view.now_s
        and not server.is_rate_limited(view.now_s)
        and server.server_id not in view.excluded
    ]


@singledispatch
def _break_ties(
    call: object, servers: Sequence[BackendServer]
) -> Sequence[BackendServer]:
    """Return servers in the order in which those of equal cost are chosen.

    Generations are kept together, where they find the parts of their prompts that they
    share.
    """
    return servers


@_break_ties.register
def _(call: ServiceCall, servers: Sequence[BackendServer]) -> Sequence[BackendServer]:
    # Each of several idle servers gets its share of the calls.
    return random.sample(servers, len(servers))


def _sound(servers: Sequence[BackendServer]) -> list[BackendServer]:
    return [server for server in servers if not server.is_ejected]


@singledispatch
def server_cost_s(
    call: object,
    server: BackendServer,
    view: PlacementView,
    settings: PlacementSettings,
) -> float:
    """Return the expected cost in seconds of sending a call to a server."""
    raise NotImplementedError(type(call).__name__)


@server_cost_s.register
def _(
    call: ServiceCall,
    server: BackendServer,
    view: PlacementView,
    settings: PlacementSettings,
) -> float:
    slots = max(1, server.registration.slots)
    runs = server.open_runs
    if not server.unit_s:
        return runs / slots + _common_cost_s(server, view, settings)
    # Other calls slow a server down somewhat while it has free slots; without any, a
    # call waits for them.
    crowding = settings.crowding * runs / slots + max(0, runs + 1 - slots) / slots
    work_s = server.unit_s * _pace(server, view)
    cost_s = work_s * (1.0 + crowding) + _common_cost_s(server, view, settings)
    if server.availability_zone != view.zone:
        # The calls are too short for the general penalty.
        cost_s += settings.call_zone_penalty_s - settings.zone_penalty_s
    return cost_s


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
    used_fraction = memory_tokens / max(1, call.engine.memory_tokens)
    overflow = max(0.0, used_fraction - settings.memory_share_max)
    engine_s = prefill_tokens / settings.prefill_tokens_per_s
    engine_s += settings.run_penalty_s * runs
    return (
        engine_s * _pace(server, view)
        + settings.overflow_penalty_s * overflow
        + _common_cost_s(server, view, settings)
    )


def _pace(server: BackendServer, view: PlacementView) -> float:
    """Return how long work takes at a server, as a multiple of the usual time."""
    return server.relative_pace * server.pace.slowdown(view.now_s)


def _common_cost_s(
    server: BackendServer, view: PlacementView, settings: PlacementSettings
) -> float:
    cost_s = server.cold_left_s(view.now_s)
    cost_s += settings.failure_penalty_s * server.failure_excess
    if server.availability_zone != view.zone:
        cost_s += settings.zone_penalty_s
    if server.is_suspected(view.now_s):
        cost_s += settings.suspicion_penalty_s
    return cost_s
