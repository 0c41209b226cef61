"""Report of a replay by workspace and class."""

from collections.abc import Sequence

from attrs import evolve

from boragespring.replay.measures import AnswerRecord, GroupMeasures, measure

__all__ = ["measure_groups", "format_report"]


def measure_groups(
    records: Sequence[AnswerRecord], interval_max_s: float, preemptions: int
) -> dict[str, GroupMeasures]:
    """Return the measures of all, of each class and of each workspace.

    Callers do not see which answer was preempted; the engines' count stands
    with the group of all.
    """
    groups = measure(records, lambda _: "all", interval_max_s)
    if "all" in groups:
        groups["all"] = evolve(groups["all"], preemptions=preemptions)
    groups |= measure(records, lambda r: f"class:{r.traffic_class}", interval_max_s)
    groups |= measure(records, lambda r: f"workspace:{r.workspace}", interval_max_s)
    return groups


def format_report(groups: dict[str, GroupMeasures], duration_s: float) -> list[str]:
    """Return the report as lines of text."""
    head = (
        f"{'group':<26}{'requests':>9}{'ok':>7}{'tokens':>9}{'share':>7}"
        f"{'tokens/s':>10}{'preempt':>9}{'stall s':>9}{'queue p95':>11}"
        f"{'interval p99':>14}"
    )
    return [head, *(_line(name, group, duration_s) for name, group in groups.items())]


def _line(name: str, group: GroupMeasures, duration_s: float) -> str:
    preemptions = str(group.preemptions) if name == "all" else "-"
    return (
        f"{name:<26}{group.requests:>9}{group.ok:>7}{group.tokens:>9}"
        f"{group.token_share:>7.1%}{group.tokens / duration_s:>10.1f}"
        f"{preemptions:>9}{group.stall_s:>9.1f}{group.queue_time_s.p95:>10.3f}s"
        f"{group.token_interval_s.p99 * 1e3:>12.1f}ms"
    )
