"""Generation of reproducible traces that resemble the traffic of a deployment."""

import random
from collections.abc import Iterator
from enum import StrEnum
from itertools import accumulate

from attrs import evolve, frozen

from boragespring.replay.trace import TraceRequest

__all__ = ["Deployment", "TraceSettings", "generate_trace", "plan_weights"]

#: Upper limit on the length of a generated answer.
OUTPUT_MAX_TOKENS = 4_096
#: Number of requests of a workspace relative to that of the next larger one.
WORKSPACE_DECAY = 0.75


class Deployment(StrEnum):
    """Deployment whose traffic a trace resembles."""

    SIERRA_NORTE = "sierra-norte"
    VYSOCINA = "vysocina"


@frozen
class TraceSettings:
    """Settings of a generated trace.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose traffic the trace resembles.
    duration_s : float
        Time in seconds over which requests arrive.
    demand : float
        Average memory that the generations need, as a fraction of the capacity.
    memory_tokens : int
        Capacity: the total memory of all engines.
    token_interval_s : float
        Time between tokens in seconds, which determines how long a generation
        occupies memory.
    workspaces : int
        Number of workspaces; each sends fewer requests on average than
        the one before.
    flood_factor : float
        Factor on the number of generations of the last workspace.
    seed : int
        Seed of the random number generator.
    """

    deployment: Deployment = Deployment.SIERRA_NORTE
    duration_s: float = 300.0
    demand: float = 1.1
    memory_tokens: int = 96_000
    token_interval_s: float = 0.03
    workspaces: int = 10
    flood_factor: float = 1.0
    seed: int = 0


@frozen
class _RequestKind:
    """One kind of request.

    ``fraction`` is its fraction of all requests. Prompt lengths are distributed
    uniformly between the two limits. Output lengths follow a lognormal
    distribution with median ``output_median_tokens`` and shape ``output_sigma``; a
    sigma near 1 gives the heavy tail of drafted documents. Requests of a kind with
    ``is_early`` arrive mostly early in the trace.
    """

    name: str
    traffic_class: str
    fraction: float
    prompt_min_tokens: int = 0
    prompt_max_tokens: int = 0
    prefix_tokens: int = 0
    output_median_tokens: float = 0.0
    output_sigma: float = 0.0
    service: str = ""
    is_streamed: bool = True
    is_idempotent: bool = True
    deadline_s: float = 0.0
    is_early: bool = False


_REQUEST_KINDS: dict[Deployment, tuple[_RequestKind, ...]] = {
    Deployment.SIERRA_NORTE: (
        _RequestKind(
            "route-plan",
            "batch",
            0.20,
            prompt_min_tokens=500,
            prompt_max_tokens=1_200,
            prefix_tokens=384,
            output_median_tokens=500.0,
            output_sigma=0.8,
            is_streamed=False,
            is_early=True,
        ),
        _RequestKind(
            "summary",
            "standard",
            0.25,
            prompt_min_tokens=300,
            prompt_max_tokens=800,
            prefix_tokens=256,
            output_median_tokens=90.0,
            output_sigma=0.6,
            is_early=True,
        ),
        _RequestKind(
            "stop-question",
            "interactive",
            0.30,
            prompt_min_tokens=140,
            prompt_max_tokens=260,
            prefix_tokens=128,
            output_median_tokens=35.0,
            output_sigma=0.6,
        ),
        _RequestKind(
            "confirmation",
            "interactive",
            0.25,
            service="app-transporte",
            is_idempotent=False,
            is_streamed=False,
            deadline_s=30.0,
        ),
    ),
    Deployment.VYSOCINA: (
        _RequestKind(
            "opinion",
            "standard",
            0.30,
            prompt_min_tokens=700,
            prompt_max_tokens=1_600,
            prefix_tokens=512,
            output_median_tokens=450.0,
            output_sigma=0.9,
        ),
        _RequestKind(
            "clerk-question",
            "interactive",
            0.55,
            prompt_min_tokens=200,
            prompt_max_tokens=420,
            prefix_tokens=192,
            output_median_tokens=60.0,
            output_sigma=0.7,
        ),
        _RequestKind(
            "fee-booking",
            "interactive",
            0.15,
            service="case-desk",
            is_idempotent=False,
            is_streamed=False,
            deadline_s=30.0,
        ),
    ),
}


def plan_weights(workspaces: int) -> dict[str, float]:
    """Return plan weights in proportion to the workspaces' demand, with mean 1."""
    relative_demands = [WORKSPACE_DECAY**i for i in range(workspaces)]
    factor = workspaces / sum(relative_demands)
    return {
        _workspace_name(i): demand * factor for i, demand in enumerate(relative_demands)
    }


def _workspace_name(number: int) -> str:
    return f"workspace-{number:02d}"


def generate_trace(settings: TraceSettings) -> list[TraceRequest]:
    """Generate a trace whose generations need ``demand`` times the capacity.

    With a ``flood_factor`` above 1, requests are only added: the other requests
    are the same as without a flood. The effect of the flood on the other
    workspaces can thus be measured by replaying both traces.
    """
    rng = random.Random(settings.seed)
    workspace_weights = [WORKSPACE_DECAY**i for i in range(settings.workspaces)]
    budget_token_s = settings.demand * settings.memory_tokens * settings.duration_s
    requests = list(
        _generate_requests(settings, rng, workspace_weights, budget_token_s)
    )
    requests += _generate_flood(settings, requests)
    return sorted(requests, key=lambda request: request.time_s)


def _generate_requests(
    settings: TraceSettings,
    rng: random.Random,
    workspace_weights: list[float],
    budget_token_s: float,
) -> Iterator[TraceRequest]:
    kinds = _REQUEST_KINDS[settings.deployment]
    cumulative_fractions = list(accumulate(kind.fraction for kind in kinds))
    workspace_names = [_workspace_name(i) for i in range(settings.workspaces)]
    while budget_token_s > 0:
        kind = rng.choices(kinds, cum_weights=cumulative_fractions)[0]
        workspace = rng.choices(workspace_names, weights=workspace_weights)[0]
        request = _generate_request(kind, workspace, settings, rng)
        budget_token_s -= _occupancy_token_s(request, settings.token_interval_s)
        yield request


def _generate_request(
    kind: _RequestKind, workspace: str, settings: TraceSettings, rng: random.Random
) -> TraceRequest:
    arrival_fraction = rng.random()
    if kind.is_early:
        # The minimum of two uniform samples favors the start of the trace,
        # like work that arrives in the morning.
        arrival_fraction = min(arrival_fraction, rng.random())
    output_tokens = 0
    if kind.output_median_tokens:
        length_factor = rng.lognormvariate(0.0, kind.output_sigma)
        sampled_tokens = round(kind.output_median_tokens * length_factor)
        output_tokens = max(1, min(sampled_tokens, OUTPUT_MAX_TOKENS))
    prompt_tokens = rng.randint(kind.prompt_min_tokens, kind.prompt_max_tokens)
    return TraceRequest(
        time_s=round(arrival_fraction * settings.duration_s, 4),
        workspace=workspace,
        traffic_class=kind.traffic_class,
        service=kind.service,
        prompt_tokens=prompt_tokens,
        prefix=f"{workspace}-{kind.name}" if kind.prefix_tokens else "",
        prefix_tokens=kind.prefix_tokens,
        output_tokens=output_tokens,
        max_tokens=OUTPUT_MAX_TOKENS if output_tokens else 0,
        is_streamed=kind.is_streamed,
        is_idempotent=kind.is_idempotent,
        deadline_s=kind.deadline_s,
    )


def _occupancy_token_s(request: TraceRequest, token_interval_s: float) -> float:
    """Return the memory that a generation occupies, integrated over its duration."""
    output_tokens = request.output_tokens
    return (
        output_tokens * token_interval_s * (request.prompt_tokens + output_tokens / 2)
    )


def _generate_flood(
    settings: TraceSettings, requests: list[TraceRequest]
) -> Iterator[TraceRequest]:
    if settings.flood_factor <= 1:
        return
    rng = random.Random(f"flood:{settings.seed}")
    flooding_workspace = _workspace_name(settings.workspaces - 1)
    originals = [
        r for r in requests if r.workspace == flooding_workspace and not r.service
    ]
    count = round(len(originals) * (settings.flood_factor - 1))
    for request in rng.choices(originals, k=count) if originals else ():
        time_s = round(rng.uniform(0.0, settings.duration_s), 4)
        yield evolve(request, time_s=time_s)
