"""Service quality of groups of requests, measured from recorded answers."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from attrs import Factory, define, frozen

__all__ = ["AnswerRecord", "GroupMeasures", "Percentiles", "measure", "percentile"]


@define
class AnswerRecord:
    """One request as observed by its caller.

    Parameters
    ----------
    workspace, traffic_class : str
        Workspace and traffic class of the request.
    sent_at_s : float
        Time in seconds at which the request was sent.
    token_times_s : list of float
        Times at which tokens arrived; tokens of one read have the same time.
    ended_at_s : float
        Time at which the request ended, in seconds.
    outcome : str
        ``ok`` or an error code.
    prompt_tokens : int
        Length of the prompt.
    preemptions : int
        Number of preemptions, if the engine reports it.
    """

    workspace: str
    traffic_class: str
    sent_at_s: float
    token_times_s: list[float] = Factory(list)
    ended_at_s: float = 0.0
    outcome: str = ""
    prompt_tokens: int = 0
    preemptions: int = 0

    @property
    def queue_time_s(self) -> float:
        """Time from the request to its first token; without tokens, to its end."""
        wait_ended_at_s = (
            self.token_times_s[0] if self.token_times_s else self.ended_at_s
        )
        return wait_ended_at_s - self.sent_at_s

    def intervals_s(self) -> list[float]:
        """Return the times between consecutive tokens."""
        times = self.token_times_s
        return [later - time for time, later in zip(times, times[1:], strict=False)]

    def stall_s(self, interval_max_s: float) -> float:
        """Return by how much the intervals between tokens exceed the allowed one.

        Parameters
        ----------
        interval_max_s : float
            Allowed interval between tokens in seconds.

        Returns
        -------
        float
            Sum of the excess over all intervals, in seconds.
        """
        excesses_s = (interval - interval_max_s for interval in self.intervals_s())
        return sum(time_s for time_s in excesses_s if time_s > 0)


@frozen
class Percentiles:
    """50th, 95th and 99th percentile of one quantity, in the unit of its values."""

    p50: float
    p95: float
    p99: float


@frozen
class GroupMeasures:
    """Measures of the requests of one group.

    Parameters
    ----------
    requests, ok : int
        Number of requests, and of those with a complete answer.
    tokens : int
        Number of tokens that arrived.
    token_share : float
        Fraction of the tokens of all groups.
    preemptions : int
        Number of preemptions.
    stall_s : float
        Sum of the stall times in seconds.
    queue_time_s, token_interval_s : Percentiles
        Time to the first token and time between tokens, in seconds.
    """

    requests: int
    ok: int
    tokens: int
    token_share: float
    preemptions: int
    stall_s: float
    queue_time_s: Percentiles
    token_interval_s: Percentiles


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return a percentile of sorted values.

    Parameters
    ----------
    values : sequence of float
        Values in ascending order.
    fraction : float
        Fraction of the values below the percentile, from 0 to 1.

    Returns
    -------
    float
        Value at the percentile; 0 if there are no values.
    """
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(fraction * len(values)))]


def measure(
    records: Iterable[AnswerRecord],
    group_of: Callable[[AnswerRecord], str],
    interval_max_s: float,
) -> dict[str, GroupMeasures]:
    """Return the measures of each group, sorted by group name.

    Parameters
    ----------
    records : iterable of AnswerRecord
        Requests as observed by their callers.
    group_of : callable
        Returns the group of a record.
    interval_max_s : float
        Interval between tokens in seconds beyond which an answer stalls.
    """
    groups: dict[str, list[AnswerRecord]] = defaultdict(list)
    for record in records:
        groups[group_of(record)].append(record)
    tokens = sum(len(r.token_times_s) for group in groups.values() for r in group)
    return {
        name: _measure_group(groups[name], tokens, interval_max_s)
        for name in sorted(groups)
    }


def _measure_group(
    records: list[AnswerRecord], total_tokens: int, interval_max_s: float
) -> GroupMeasures:
    tokens = sum(len(record.token_times_s) for record in records)
    ok = [record for record in records if record.outcome == "ok"]
    return GroupMeasures(
        requests=len(records),
        ok=len(ok),
        tokens=tokens,
        token_share=tokens / max(1, total_tokens),
        preemptions=sum(record.preemptions for record in records),
        stall_s=sum(record.stall_s(interval_max_s) for record in records),
        queue_time_s=_percentiles(record.queue_time_s for record in ok),
        token_interval_s=_percentiles(
            interval for record in records for interval in record.intervals_s()
        ),
    )


def _percentiles(values: Iterable[float]) -> Percentiles:
    ordered = sorted(values)
    return Percentiles(
        *(percentile(ordered, fraction) for fraction in (0.5, 0.95, 0.99))
    )
