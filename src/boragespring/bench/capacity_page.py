"""Compute the tables of docs/CAPACITY.md from the measured slopes.

``python -m boragespring.bench.capacity_page`` writes the tables into the page.
With ``--check``, it leaves the page unchanged and exits with 1 if a table differs.
"""

import re
import sys
from pathlib import Path

from boragespring.bench.capacity_model import (
    DEFAULT_SETTINGS,
    TARGET_SETTINGS,
    CapacityModel,
    ControlCost,
    TargetSize,
)
from boragespring.bench.detection import measure_detection
from boragespring.bench.membership import Slopes, load_slopes

__all__ = ["main", "render_page"]

PAGE_PATH = Path("docs/CAPACITY.md")
SLOPES_PATH = Path("docs/capacity_slopes.json")
TABLE_PATTERN = re.compile(
    r"(<!-- table: (\w+) -->\n).*?(<!-- end of table -->)", re.DOTALL
)

CPU_MAX_SHARE = 0.014
MEMORY_MAX_MB = 64.0
CONTROL_MAX_KB_PER_S = 17.0
#: CPU time of an entry per relayed token, measured by `boragespring bench relay`.
RELAY_TOKEN_S = 54.7e-6
PAUSES_PER_HOUR = (0.0, 6.0, 60.0, 600.0)


def render_page(page: str, slopes: Slopes, duty_calls: dict[str, float]) -> str:
    """Return the page with its tables recomputed.

    Parameters
    ----------
    page : str
        Text of the page, with a marker before and after each table.
    slopes : Slopes
        Measured slopes.
    duty_calls : dict of str to float
        Measured store calls per second.
    """
    size = TargetSize()
    tables = {
        "slopes": _slopes_table(slopes),
        "roles": _roles_table(slopes, size),
        "parts": _parts_table(CapacityModel(slopes, size, TARGET_SETTINGS)),
        "store": _store_table(CapacityModel(slopes, size, TARGET_SETTINGS), duty_calls),
        "data": _data_table(size),
        "detection": _detection_table(),
    }

    def replace(match: re.Match[str]) -> str:
        return match.group(1) + tables[match.group(2)] + "\n" + match.group(3)

    return TABLE_PATTERN.sub(replace, page)


def _slopes_table(slopes: Slopes) -> str:
    rows = ["| figure | at 10 | at 50 | at 200 | slope | slope / reference |"]
    rows.append("| --- | ---: | ---: | ---: | ---: | ---: |")
    for name, line in slopes.lines.items():
        points = " | ".join(f"{value:.4g}" for value in line.points.values())
        is_time = "_s" in name and "bytes" not in name or "cpu" in name
        ratio = f"{line.slope / slopes.reference_s:.3g}" if is_time else ""
        rows.append(f"| {name} | {points} | {line.slope:.4g} | {ratio} |")
    return "\n".join(rows)


def _roles_table(slopes: Slopes, size: TargetSize) -> str:
    rows = ["| role | settings | links | core % | MB | KB/s | over its bound |"]
    rows.append("| --- | --- | ---: | ---: | ---: | ---: | --- |")
    for label, settings in (
        ("defaults", DEFAULT_SETTINGS),
        ("for this size", TARGET_SETTINGS),
    ):
        model = CapacityModel(slopes, size, settings)
        for role in ("entry", "agent"):
            links = model.entry_links if role == "entry" else model.agent_links
            rows.append(_format_role_row(role, label, links, model.role_cost(role)))
        reconciler = model.role_cost("entry").plus(model.order_reconciler_cost())
        name = "entry with one duty of orders"
        rows.append(_format_role_row(name, label, model.entry_links, reconciler))
    return "\n".join(rows)


def _format_role_row(role: str, label: str, links: float, cost: ControlCost) -> str:
    exceeded = [
        name
        for name, is_over in (
            ("processor", cost.cpu_share > CPU_MAX_SHARE),
            ("memory", cost.memory_mb > MEMORY_MAX_MB),
            ("traffic", cost.kb_per_s > CONTROL_MAX_KB_PER_S),
        )
        if is_over
    ]
    return (
        f"| {role} | {label} | {links:.0f} | {100 * cost.cpu_share:.2f} "
        f"| {cost.memory_mb:.1f} | {cost.kb_per_s:.1f} "
        f"| {', '.join(exceeded) or 'no'} |"
    )


def _parts_table(model: CapacityModel) -> str:
    costs_by_part = {
        "entry: links": model.link_cost("entry"),
        "entry: instance list": model.instance_list_cost(),
        "entry: lists": model.lists_cost("entry"),
        "entry: one duty of orders": model.order_reconciler_cost(),
        "agent: links": model.link_cost("agent"),
        "agent: lists": model.lists_cost("agent"),
    }
    rows = ["| part | core % | MB | KB/s |", "| --- | ---: | ---: | ---: |"]
    rows += [
        f"| {name} | {100 * cost.cpu_share:.3f} | {cost.memory_mb:.2f} "
        f"| {cost.kb_per_s:.2f} |"
        for name, cost in costs_by_part.items()
    ]
    return "\n".join(rows)


def _store_table(model: CapacityModel, duty_calls: dict[str, float]) -> str:
    rows = ["| figure | calls a second |", "| --- | ---: |"]
    rows += [
        f"| measured: one process with {name.removeprefix('duties_')} duties "
        f"| {value:.2f} |"
        for name, value in duty_calls.items()
        if name.startswith("duties_")
    ]
    three = duty_calls["three_candidates"]
    rows.append(f"| measured: holder and two candidates together | {three:.2f} |")
    rows.append(f"| all duties of the fleet | {model.duty_calls_per_s():.0f} |")
    return "\n".join(rows)


def _detection_table() -> str:
    rows = [
        "| pauses of a peer an hour | suspect after s | replaced after s "
        "| false suspicions a link and hour | false replacements |",
        "| ---: | ---: | ---: | ---: | ---: |",
    ]
    rows += [
        f"| {result.pauses_per_hour:.0f} | {result.suspected_after_s:.2f} "
        f"| {result.replaced_after_s:.2f} | {result.false_suspicions_per_hour:.2f} "
        f"| {result.false_replacements_per_hour:.2f} |"
        for result in map(measure_detection, PAUSES_PER_HOUR)
    ]
    return "\n".join(rows)


def _data_table(size: TargetSize) -> str:
    tokens = size.tokens_per_s / size.nodes
    rows = ["| figure | value |", "| --- | ---: |"]
    rows.append(f"| tokens a second through an entry | {tokens:.0f} |")
    rows.append(f"| core of an entry for them | {tokens * RELAY_TOKEN_S:.2f} |")
    agent_tokens = size.tokens_per_s / size.workers
    rows.append(f"| tokens a second through an agent | {agent_tokens:.0f} |")
    requests = size.requests_per_s / size.nodes
    rows.append(f"| requests a second through an entry | {requests:.1f} |")
    return "\n".join(rows)


def main(arguments: list[str]) -> int:
    """Update or check the tables of the page.

    Parameters
    ----------
    arguments : list of str
        Command-line arguments; ``--check`` only compares the tables.

    Returns
    -------
    int
        Exit code, 1 if the check finds a difference.
    """
    slopes, duty_calls = load_slopes(SLOPES_PATH)
    page = PAGE_PATH.read_text(encoding="utf-8")
    expected_page = render_page(page, slopes, duty_calls)
    if "--check" in arguments:
        return int(page != expected_page)
    PAGE_PATH.write_text(expected_page, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
