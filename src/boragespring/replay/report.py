"""Report of a replay by traffic class and workspace."""

from collections.abc import Sequence

from attrs import evolve

from boragespring.replay.measures import AnswerRecord, GroupMeasures, measure

__all__ = ["measure_groups", "format_report"]


def measure_groups(
    records: Sequence[AnswerRecord], interval_max_s: float, preemptions: int
) -> dict[str, GroupMeasures]:
    """Measure all requests together, each traffic class and each workspace.

    Parameters
    ----------
    records : sequence of AnswerRecord
        Requests as observed by their callers.
    interval_max_s : float
        Interval between tokens in seconds beyond which an answer stalls.
    preemptions : int
        Number of preemptions that the engines report. Callers cannot observe which
        answers were preempted, so the number is attributed to the group ``all``.
    """
    groups = measure(records, lambda _: "all", interval_max_s)
    if "all" in groups:
        groups["all"] = evolve(groups["all"], preemptions=preemptions)
    groups |= measure(records, lambda r: f"class:{r.traffic_class}", interval_max_s)
    groups |= measure(records, lambda r: f"workspace:{r.workspace}", interval_max_s)
    return groups


def format_report(groups: dict[str, GroupMeasures], duration_s: float) -> list[str]:
    """Format the measures as the lines of a table.

    Parameters
    ----------
    groups : dict of str to GroupMeasures
        Measures by group name.
    duration_s : float
        Duration of the replay in seconds, for the token rates.
    """
    header = (
        f"{'group':<26}{'requests':>9}{'ok':>7}{'tokens':>9}{'share':>7}"
        f"{'tokens/s':>10}{'preempt':>9}{'stall s':>9}{'queue p95':>11}"
        f"{'interval p99':>14}"
    )
    return [
        header,
        *(_format_row(name, group, duration_s) for name, group in groups.items()),
    ]


def _format_row(name: str, group: GroupMeasures, duration_s: float) -> str:
    preemptions = str(group.preemptions) if name == "all" else "-"
    return (
        f"{name:<26}{group.requests:>9}{group.ok:>7}{group.tokens:>9}"
        f"{group.token_share:>7.1%}{group.tokens / duration_s:>10.1f}"
        f"{preemptions:>9}{group.stall_s:>9.1f}{group.queue_time_s.p95:>10.3f}s"
        f"{group.token_interval_s.p99 * 1e3:>12.1f}ms"
    )
