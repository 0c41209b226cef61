"""Compute the tables of docs/CAPACITY.md from the measured slopes.

``python -m boragespring.bench.capacity_page`` writes the tables into the page.
With ``--check``, it leaves the page unchanged and exits with 1 if a table differs.
"""

import re
import sys
from pathlib import Path

from attrs import frozen

from boragespring.bench.detection import measure_detection
from boragespring.bench.membership import Slopes, load_slopes

__all__ = ["ControlSettings", "TargetSize", "main", "render_page"]

PAGE_PATH = Path("docs/CAPACITY.md")
SLOPES_PATH = Path("docs/capacity_slopes.json")
TABLE_PATTERN = re.compile(
    r"(<!-- table: (\w+) -->\n).*?(<!-- end of table -->)", re.DOTALL
)

DAY_S = 86_400.0
MEASURED_HEARTBEAT_S = 0.5
CPU_MAX_SHARE = 0.014
MEMORY_MAX_MB = 64.0
CONTROL_MAX_KB_PER_S = 17.0
MB, KB = 1e6, 1e3
#: CPU time of an entry per relayed token, measured by `boragespring bench relay`.
RELAY_TOKEN_S = 54.7e-6
ORDER_REPORT_BYTES = 120.0
ORDER_ROUND_S = 5.0
LIST_POLL_MEAN_S = 1.75
UNCHANGED_REPLY_BYTES = 200.0
#: Versions of the instance list per replaced instance: leaving, removed, added.
LIST_VERSIONS_PER_REPLACEMENT = 3.0
CANDIDATES = 3
PAUSES_PER_HOUR = (0.0, 6.0, 60.0, 600.0)
READ_INTERVAL_S = 1.75
IDLE_READ_INTERVAL_S = 17.5
RENEWAL_INTERVAL_S = 1.75


@frozen
class TargetSize:
    """Size and load of the deployment that the capacity is planned for.

    Parameters
    ----------
    nodes, workers : int
        Number of entries and of agents.
    services, workspaces : int
        Number of services and of workspaces.
    regions, zones : int
        Number of regions, and of availability zones in all regions.
    changes_per_day : float
        Number of changes of the lists per day.
    replacements_per_day : float
        Number of instances that are replaced per day.
    tokens_per_s, requests_per_s : float
        Load of all entries together, per second.
    """

    nodes: int = 410
    workers: int = 2700
    services: int = 8
    workspaces: int = 420
    regions: int = 5
    zones: int = 13
    changes_per_day: float = 13_000.0
    replacements_per_day: float = 1_029.0
    tokens_per_s: float = 3.8e6
    requests_per_s: float = 12_000.0


@frozen
class ControlSettings:
    """Settings that determine the cost of control traffic.

    Parameters
    ----------
    heartbeat_s : float
        Interval, in seconds, of heartbeats.
    zone_links, spill_links : int
        Maximum number of links of an entry per service, in its own zone and in
        the other zones of its region.
    compresses_list : bool
        Whether the platform sends the instance list compressed.
    """

    heartbeat_s: float
    zone_links: int
    spill_links: int
    compresses_list: bool


DEFAULT_SETTINGS = ControlSettings(0.5, 24, 12, False)
TARGET_SETTINGS = ControlSettings(1.0, 8, 4, True)


@frozen
class ControlCost:
    """Cost of control traffic for one process.

    Parameters
    ----------
    cpu_share : float
        Fraction of one CPU core.
    memory_mb : float
        Memory in MB.
    kb_per_s : float
        Network traffic, sent and received, in KB per second.
    """

    cpu_share: float
    memory_mb: float
    kb_per_s: float

    def plus(self, other: "ControlCost") -> "ControlCost":
        """Return the sum of both costs."""
        return ControlCost(
            self.cpu_share + other.cpu_share,
            self.memory_mb + other.memory_mb,
            self.kb_per_s + other.kb_per_s,
        )


class CapacityModel:
    """Model of the costs of control for a size and settings.

    Parameters
    ----------
    slopes : Slopes
        Measured cost per unit of size.
    size : TargetSize
        Size of the deployment.
    settings : ControlSettings
        Settings of the deployment.
    """

    def __init__(
        self, slopes: Slopes, size: TargetSize, settings: ControlSettings
    ) -> None:
        self._lines = slopes.lines
        self._slopes = slopes
        self._size = size
        self._settings = settings

    @property
    def entry_links(self) -> float:
        """Number of links of an entry to agents."""
        zone_agents = self._size.workers / self._size.services / self._size.zones
        region_agents = self._size.workers / self._size.services / self._size.regions
        settings = self._settings
        return self._size.services * (
            min(settings.zone_links, zone_agents)
            + min(settings.spill_links, region_agents - zone_agents)
        )

    @property
    def agent_links(self) -> float:
        """Mean number of links of an agent to entries."""
        return self.entry_links * self._size.nodes / self._size.workers

    def link_cost(self, role: str) -> ControlCost:
        """Return the cost of heartbeats, load and state on the links of a role.

        Parameters
        ----------
        role : str
            Either ``entry`` or ``agent``.
        """
        link_count = self.entry_links if role == "entry" else self.agent_links
        heartbeat_ratio = MEASURED_HEARTBEAT_S / self._settings.heartbeat_s
        sent_bytes_per_s = self._lines[f"{role}_sent_bytes_per_s"].slope
        received_bytes_per_s = self._lines[f"{role}_received_bytes_per_s"].slope
        return ControlCost(
            self._lines[f"{role}_cpu_share"].slope * link_count * heartbeat_ratio,
            self._lines[f"{role}_memory_bytes"].slope * link_count / MB,
            (sent_bytes_per_s + received_bytes_per_s)
            * link_count
            * heartbeat_ratio
            / KB,
        )

    def instance_list_cost(self) -> ControlCost:
        """Return the cost of reading the instance list for an entry."""
        size = self._size
        instance_count = size.nodes + size.workers
        versions_per_day = size.replacements_per_day * LIST_VERSIONS_PER_REPLACEMENT
        reads_per_s = min(versions_per_day / DAY_S, 1 / LIST_POLL_MEAN_S)
        name = (
            "list_compressed_bytes" if self._settings.compresses_list else "list_bytes"
        )
        unchanged_bytes_per_s = UNCHANGED_REPLY_BYTES / LIST_POLL_MEAN_S
        transferred_bytes_per_s = (
            self._lines[name].value_at(instance_count) * reads_per_s
            + unchanged_bytes_per_s
        )
        entry_agent_pairs = (
            size.nodes / size.regions * size.workers / size.services / size.regions
        )
        # An entry selects its agents again for one service when an agent is added
        # or removed, and for all services when an entry is.
        entry_fraction = size.nodes / instance_count
        services = 1 + entry_fraction * size.services
        cpu_s = self._lines["list_read_s"].value_at(instance_count)
        cpu_s += services * self._lines["subset_s_by_pair"].slope * entry_agent_pairs
        return ControlCost(
            cpu_s * reads_per_s,
            self._lines["list_bytes"].value_at(instance_count) / MB,
            transferred_bytes_per_s / KB,
        )

    def lists_cost(self, role: str) -> ControlCost:
        """Return the cost of distributing changes of the lists over the links.

        Parameters
        ----------
        role : str
            Either ``entry`` or ``agent``.
        """
        link_count = self.entry_links if role == "entry" else self.agent_links
        changes_per_s = self._size.changes_per_day / DAY_S
        announce_bytes = self._slopes.announce_bytes * link_count
        pulls = 1.0 + (
            self._size.workers / self._size.nodes if role == "entry" else 0.0
        )
        change_bytes = self._lines["lists_change_bytes"].value_at(self._size.workspaces)
        # Handling an announcement costs as much as a heartbeat that carries a load.
        heartbeat_cpu_s = self._lines[f"{role}_cpu_share"].slope * MEASURED_HEARTBEAT_S
        return ControlCost(
            changes_per_s * link_count * heartbeat_cpu_s,
            1.0,
            changes_per_s * (announce_bytes + pulls * change_bytes) / KB,
        )

    def role_cost(self, role: str) -> ControlCost:
        """Return the total cost of control for a role.

        Parameters
        ----------
        role : str
            Either ``entry`` or ``agent``.
        """
        total = self.link_cost(role).plus(self.lists_cost(role))
        return total.plus(self.instance_list_cost()) if role == "entry" else total

    def order_reconciler_cost(self) -> ControlCost:
        """Return the cost of sending the orders of one service in one region.

        The entry that holds the duty has this cost in addition to `role_cost`.
        """
        servers = self._size.workers / self._size.services / self._size.regions
        additional_links = max(0.0, servers - self.entry_links / self._size.services)
        heartbeat_ratio = MEASURED_HEARTBEAT_S / self._settings.heartbeat_s
        heartbeat_cpu_s = self._lines["entry_cpu_share"].slope * MEASURED_HEARTBEAT_S
        heartbeat_bytes_per_s = (
            self._lines["entry_received_bytes_per_s"].slope * heartbeat_ratio
        )
        reports_per_s = servers / ORDER_ROUND_S
        plan_cpu_s = self._lines["plan_s_by_server"].value_at(servers)
        # A call and its reply cost about as much as two heartbeats.
        cpu_share = (
            self._lines["entry_cpu_share"].slope * additional_links * heartbeat_ratio
            + reports_per_s * 2 * heartbeat_cpu_s
            + max(0.0, plan_cpu_s) / ORDER_ROUND_S
        )
        return ControlCost(
            cpu_share,
            self._lines["entry_memory_bytes"].slope * additional_links / MB,
            (
                additional_links * heartbeat_bytes_per_s
                + reports_per_s * ORDER_REPORT_BYTES
            )
            / KB,
        )

    def duty_calls_per_s(self) -> float:
        """Return the rate of store calls for all duties of the fleet."""
        duties = self._size.services * self._size.regions
        candidates = min(duties * CANDIDATES, self._size.nodes)
        idle = self._size.nodes - candidates
        return (
            candidates / READ_INTERVAL_S
            + idle / IDLE_READ_INTERVAL_S
            + min(duties, self._size.nodes) / RENEWAL_INTERVAL_S
        )


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
