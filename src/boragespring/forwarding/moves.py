"""What the move of a run costs, and what it is worth."""

from attrs import frozen

from boragespring.catalog import EngineProfile
from boragespring.forwarding.running import RunningStream

__all__ = ["RelocationSettings", "copy_time_s", "value_of"]


@frozen
class RelocationSettings:
    """How runs are moved.

    Parameters
    ----------
    notice_s : float
        Time between the word that a server leaves and its end.
    small_copy_s : float
        A copy that took less is followed by the last one, which stops the run.
    copies_max : int
        Most copies before the last one.
    notice_end_s : float
        Rest of a notice in which no further copy is begun before the last one.
    announce_wait_s : float
        Time for the announcements of other gateways to arrive.
    turn_pause_s : float
        Pause between two looks at whose turn it is.
    retry_pause_s : float
        Pause after a turn that came to nothing before the run takes another.
    refusal_memory_s : float
        Time for which a server that had no room is not asked again.
    refusal_memory_max_s : float
        Longest such time, after several refusals in a row.
    targets_max : int
        Most servers that a run asks in one turn.
    turn_slack_s : float
        Time beyond its copy that a run may take before others no longer wait.
    token_interval_s : float
        Usual time between two tokens.
    ask_pause_s : float
        Pause before a server is asked again when it ends.
    report_age_s : float
        Age that a report may have when it arrives.
    zone_factor : float
        How much longer a copy to another availability zone takes.
    zone_penalty_s : float
        Cost of a copy to another availability zone, which takes the link's time
        from other runs.
    zone_penalty_short_s : float
        The same where the link has no time for all runs.
    output_value : float
        Value of a generated token against one of the prompt.
    """

    notice_s: float = 1.6
    small_copy_s: float = 0.6
    copies_max: int = 3
    notice_end_s: float = 0.3
    announce_wait_s: float = 0.012
    turn_pause_s: float = 0.005
    retry_pause_s: float = 0.1
    refusal_memory_s: float = 0.3
    refusal_memory_max_s: float = 5.0
    targets_max: int = 3
    turn_slack_s: float = 0.3
    token_interval_s: float = 0.009
    ask_pause_s: float = 0.25
    report_age_s: float = 0.55
    zone_factor: float = 2.0
    zone_penalty_s: float = 0.6
    zone_penalty_short_s: float = 3.0
    output_value: float = 10.0


def copy_time_s(memory_tokens: float, engine: EngineProfile) -> float:
    """Return how long a copy within the availability zone takes."""
    if engine.link_mbps <= 0:
        return 0.0
    return memory_tokens * engine.token_bytes * 8 / (engine.link_mbps * 1e6)


def value_of(stream: RunningStream, settings: RelocationSettings) -> float:
    """Return what a caller loses with a stream: longer answers are worth more."""
    output_tokens = max(stream.load.output_tokens, stream.load.produced_tokens)
    return stream.load.prompt_tokens + settings.output_value * output_tokens
