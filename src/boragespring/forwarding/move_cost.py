"""Estimate the cost and the value of moving a run."""

from attrs import frozen

from boragespring.catalog import EngineProfile
from boragespring.forwarding.running_stream import RunningStream

__all__ = ["MoveSettings", "copy_time_s", "run_value"]


@frozen
class MoveSettings:
    """Timing, limits and weights of moving runs.

    Parameters
    ----------
    notice_s : float
        Default time in seconds from the announcement that a server leaves to its
        termination.
    small_copy_s : float
        Duration in seconds below which a copy is followed by the final copy, which
        stops the run.
    copies_max : int
        Maximum number of copies before the final one.
    notice_reserve_s : float
        Time in seconds before the termination of the server from which only the
        final copy is started.
    announce_delay_s : float
        Time in seconds to wait for the announcements of other gateways.
    poll_interval_s : float
        Time in seconds between two checks of the head of the order.
    retry_delay_s : float
        Delay in seconds before the move of a run is retried.
    refusal_ttl_s : float
        Time in seconds for which the first refusal by a target is remembered.
    refusal_ttl_max_s : float
        Maximum of that time in seconds after consecutive refusals.
    targets_max : int
        Maximum number of targets to try in one attempt.
    head_slack_s : float
        Time in seconds, in addition to its copy, that the run at the head is given
        before it is skipped.
    token_interval_s : float
        Typical time in seconds between two generated tokens.
    query_interval_s : float
        Time in seconds between two queries for the termination time of a server.
    report_age_s : float
        Assumed age of a report in seconds when it is received.
    zone_factor : float
        Duration of a copy to another availability zone relative to a copy within
        the zone.
    zone_penalty_s : float
        Cost in seconds of a copy to another availability zone, which occupies the
        link for longer.
    zone_penalty_congested_s : float
        The same if the link is too slow to copy all runs in time.
    output_token_value : float
        Value of a generated token relative to a prompt token.
    """

    notice_s: float = 1.6
    small_copy_s: float = 0.6
    copies_max: int = 3
    notice_reserve_s: float = 0.3
    announce_delay_s: float = 0.012
    poll_interval_s: float = 0.005
    retry_delay_s: float = 0.1
    refusal_ttl_s: float = 0.3
    refusal_ttl_max_s: float = 5.0
    targets_max: int = 3
    head_slack_s: float = 0.3
    token_interval_s: float = 0.009
    query_interval_s: float = 0.25
    report_age_s: float = 0.55
    zone_factor: float = 2.0
    zone_penalty_s: float = 0.6
    zone_penalty_congested_s: float = 3.0
    output_token_value: float = 10.0


def copy_time_s(memory_tokens: float, engine: EngineProfile) -> float:
    """Return the time in seconds to copy tokens within an availability zone."""
    if engine.link_mbps <= 0:
        return 0.0
    return memory_tokens * engine.token_bytes * 8 / (engine.link_mbps * 1e6)


def run_value(stream: RunningStream, settings: MoveSettings) -> float:
    """Return the value of a run in prompt tokens; longer answers are worth more."""
    output_tokens = max(stream.load.output_tokens, stream.load.produced_tokens)
    return stream.load.prompt_tokens + settings.output_token_value * output_tokens
