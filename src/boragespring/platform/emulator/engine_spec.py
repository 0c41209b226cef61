"""Speed and size of an emulated engine."""

from attrs import frozen

__all__ = ["EngineSpec"]


@frozen
class EngineSpec:
    """Speed and size of an engine.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    memory_tokens : int
        Capacity of the KV cache in tokens.
    prefill_tokens_per_s : float
        Prefill throughput in tokens per second.
    event_interval_s : float
        Time between two events of a stream, in seconds.
    tokens_per_event : int
        Number of output tokens in one event.
    copy_s_per_token : float
        Time to copy the KV cache of one token to another engine, in seconds.
    final_copy_overhead_s : float
        Additional duration of the final copy of a move, in seconds.
    report_age_s : float
        Age of a load report when it is read, in seconds. The reported time until
        the server leaves is too long by this value.
    waiting_max : int
        Maximum number of requests that wait for a slot; others are rejected.
    """

    slots: int = 24
    memory_tokens: int = 30_000
    prefill_tokens_per_s: float = 200_000.0
    event_interval_s: float = 0.02
    tokens_per_event: int = 4
    copy_s_per_token: float = 0.00002
    final_copy_overhead_s: float = 0.0
    report_age_s: float = 0.0
    waiting_max: int = 0
