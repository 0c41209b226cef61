"""What the move of a run costs, and what it is worth."""

from attrs import frozen

from boragespring.catalog import EngineProfile
from boragespring.forwarding.running_stream import RunningStream

__all__ = ["MoveSettings", "copy_time_s", "run_value"]


@frozen
class MoveSettings:
    """How runs are moved.

    Parameters
    ----------
    notice_s : float
        Time between the word that a server leaves and its end.
    small_copy_s : float
        A copy that took less is followed by the last one, which stops the run.
    copies_max : int
        Most copies before the last one.
    notice_reserve_s : float
        Rest of a notice in which no further copy is begun before the last one.
    announce_delay_s : float
        Time for the announcements of other gateways to arrive.
    poll_interval_s : float
        Pause between two looks at whose turn it is.
    retry_delay_s : float
        Pause after a turn that came to nothing before the run takes another.
    refusal_ttl_s : float
        Time for which a server that had no room is not asked again.
    refusal_ttl_max_s : float
        Longest such time, after several refusals in a row.
    targets_max : int
        Most servers that a run asks in one turn.
    head_slack_s : float
        Time beyond its copy that a run may take before others no longer wait.
    token_interval_s : float
        Usual time between two tokens.
    query_interval_s : float
        Pause before a server is asked again when it ends.
    report_age_s : float
        Age that a report may have when it arrives.
    zone_factor : float
        How much longer a copy to another availability zone takes.
    zone_penalty_s : float
        Cost of a copy to another availability zone, which takes the link's time
        from other runs.
    zone_penalty_congested_s : float
        The same where the link has no time for all runs.
    output_token_value : float
        Value of a generated token against one of the prompt.
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
    """Return how long a copy within the availability zone takes."""
    if engine.link_mbps <= 0:
        return 0.0
    return memory_tokens * engine.token_bytes * 8 / (engine.link_mbps * 1e6)


def run_value(stream: RunningStream, settings: MoveSettings) -> float:
    """Return what a caller loses with a stream: longer answers are worth more."""
    output_tokens = max(stream.load.output_tokens, stream.load.produced_tokens)
    return stream.load.prompt_tokens + settings.output_token_value * output_tokens
