"""Cost of control traffic and store calls at a size, from measured slopes."""

from attrs import frozen

from boragespring.bench.membership import Slopes

__all__ = [
    "CapacityModel",
    "ControlCost",
    "ControlSettings",
    "DEFAULT_SETTINGS",
    "KB",
    "MB",
    "TARGET_SETTINGS",
    "TargetSize",
]

DAY_S = 86_400.0
MEASURED_HEARTBEAT_S = 0.5
MB, KB = 1e6, 1e3
ORDER_REPORT_BYTES = 120.0
ORDER_ROUND_S = 5.0
LIST_POLL_MEAN_S = 1.75
UNCHANGED_REPLY_BYTES = 200.0
#: Versions of the instance list per replaced instance: leaving, removed, added.
LIST_VERSIONS_PER_REPLACEMENT = 3.0
CANDIDATES = 3
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
