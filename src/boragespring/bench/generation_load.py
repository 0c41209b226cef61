"""Random load of generations: long answers mixed with long prompts."""

import random
from collections.abc import Iterator

from attrs import frozen

from boragespring.forwarding.messages import PromptShape

__all__ = ["Request", "RequestProfile", "generate_requests"]


@frozen
class RequestProfile:
    """Rate and properties of one kind of request.

    Parameters
    ----------
    name : str
        Name of the profile.
    rate_per_s : float
        Requests per second and engine at demand 1.
    prompt_tokens, output_tokens : int
        Mean lengths. Both are distributed uniformly around the mean. The length
        hint is the length multiplied by a log-normal factor with median 1.
    objective_s : float
        Objective, in seconds, for the time to the first token.
    urgency : int
        Rank of the requests; 0 is the most urgent, larger numbers are less urgent.
    """

    name: str
    rate_per_s: float
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    urgency: int


#: Long answers mixed with long prompts that have short answers. At demand 1, the
#: memory of the engines is just full.
PROFILES = (
    RequestProfile("long answer", 0.75, 3_000, 930, 1.8, 1),
    RequestProfile("short answer", 1.05, 2_200, 12, 1.5, 0),
)


@frozen
class Request:
    """One generation request and its arrival time in seconds."""

    profile: RequestProfile
    arrival_s: float
    prompt: PromptShape
    output_tokens: int


def generate_requests(
    demand: float, seed: int, engines: int, duration_s: float
) -> list[Request]:
    """Return random requests in the order of arrival.

    Parameters
    ----------
    demand : float
        Load relative to the memory of the engines.
    seed : int
        Seed of the load.
    engines : int
        Number of engines.
    duration_s : float
        Time in seconds in which requests arrive.
    """
    rng = random.Random(f"load {seed}")
    return sorted(
        (
            request
            for profile in PROFILES
            for request in _generate_profile_requests(
                profile, demand * engines, duration_s, rng
            )
        ),
        key=lambda request: request.arrival_s,
    )


def _generate_profile_requests(
    profile: RequestProfile, scale: float, duration_s: float, rng: random.Random
) -> Iterator[Request]:
    arrival_s = 0.0
    while True:
        arrival_s += rng.expovariate(profile.rate_per_s * scale)
        if arrival_s > duration_s:
            return
        prompt_tokens = round(profile.prompt_tokens * rng.uniform(0.6, 1.4))
        output_tokens = 1 + round(profile.output_tokens * rng.uniform(0.2, 1.8))
        hint_tokens = 1 + round(output_tokens * rng.lognormvariate(0.0, 0.5))
        prompt = PromptShape(
            prompt_tokens, 3 * profile.output_tokens, output_hint_tokens=hint_tokens
        )
        yield Request(profile, arrival_s, prompt, output_tokens)
