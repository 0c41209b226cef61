"""Plan the next orders from the desired and the actual state of a service."""

import math
from collections import Counter
from collections.abc import Sequence
from enum import StrEnum

import xxhash
from attrs import frozen

from boragespring.engines import OrderKind
from boragespring.lists.model import ModelEntry, ServiceEntry

__all__ = [
    "Gap",
    "GapReason",
    "Plan",
    "PlanSettings",
    "PlannedOrder",
    "ServerState",
    "plan_orders",
]


@frozen
class PlanSettings:
    """Limits that a plan observes.

    Parameters
    ----------
    loading_max_share : float
        Largest fraction of a service's servers that load at the same time; one
        server is always allowed to.
    ready_min_share : float
        Smallest fraction of the servers with a model that stay in service; at
        least one always does.
    """

    loading_max_share: float = 0.1
    ready_min_share: float = 0.5


@frozen
class ServerState:
    """Actual state of a backend server, as reported to the holder of the duty.

    Parameters
    ----------
    name : str
        Name of the server's agent.
    models : dict
        Version of each loaded model, by name.
    adapters : dict
        Version of each loaded adapter, by ``model/adapter``.
    role : str
        Role of the server; empty if unknown.
    loading : str
        Name of what the server is loading; empty for nothing.
    is_available : bool
        Whether its agent responds and is not leaving. Other servers are left out
        of the plan.
    """

    name: str
    models: dict[str, str]
    adapters: dict[str, str]
    role: str = ""
    loading: str = ""
    is_available: bool = True


@frozen
class PlannedOrder:
    """Order to one server, without fencing number and lists version.

    Parameters
    ----------
    server : str
        Name of the server's agent.
    kind : OrderKind
        Kind of the order.
    name : str
        Name of the model, adapter (``model/adapter``) or role.
    version : str
        Version to load; empty for a role.
    """

    server: str
    kind: OrderKind
    name: str
    version: str


class GapReason(StrEnum):
    """Reason why the actual state differs from the desired one.

    Attributes
    ----------
    UNDER_WAY : str
        Orders that close the gap are planned or being carried out.
    LOADING_LIMIT : str
        Too many servers of the service are loading.
    MINIMUM_CAPACITY : str
        A model would have too few servers in service.
    BACKING_OFF : str
        The next attempt of the order is not due yet.
    TOO_FEW_SERVERS : str
        The service has no further servers.
    """

    UNDER_WAY = "under_way"
    LOADING_LIMIT = "loading_limit"
    MINIMUM_CAPACITY = "minimum_capacity"
    BACKING_OFF = "backing_off"
    TOO_FEW_SERVERS = "too_few_servers"


@frozen
class Gap:
    """Difference between the desired and actual state of a model, adapter or role.

    Parameters
    ----------
    name : str
        Name of the model, adapter (``model/adapter``) or role.
    wanted : int
        Desired number of servers.
    actual : int
        Actual number of servers.
    reason : GapReason
        Reason for the difference.
    """

    name: str
    wanted: int
    actual: int
    reason: GapReason


@frozen
class Plan:
    """Result of planning the orders of one service.

    Parameters
    ----------
    orders : tuple of PlannedOrder
        Orders to send now.
    gaps : tuple of Gap
        Differences between desired and actual state.
    """

    orders: tuple[PlannedOrder, ...]
    gaps: tuple[Gap, ...]


def plan_orders(
    desired: ServiceEntry,
    servers: Sequence[ServerState],
    settings: PlanSettings,
    orders_in_backoff: frozenset[PlannedOrder] = frozenset(),
) -> Plan:
    """Plan the next orders of a service.

    Planning is deterministic, so a new holder of the duty continues where the
    previous one stopped. A server that is loading counts as out of service for
    all of its models.

    Parameters
    ----------
    desired : ServiceEntry
        Desired models, adapters and roles.
    servers : sequence of ServerState
        Actual state of the servers that have reported.
    settings : PlanSettings
        Limits that the plan observes.
    orders_in_backoff : frozenset of PlannedOrder
        Orders whose next attempt is not due yet.
    """
    planner = _Planner(desired, servers, settings, orders_in_backoff)
    for name, entry in sorted(desired.models.items()):
        planner.plan_model(name, entry)
        planner.plan_adapters(name, entry)
    for role, wanted in sorted(desired.roles.items()):
        planner.plan_role(role, wanted)
    return Plan(tuple(planner.orders), tuple(planner.gaps))


class _Planner:
    """State of a single planning run."""

    def __init__(
        self,
        desired: ServiceEntry,
        servers: Sequence[ServerState],
        settings: PlanSettings,
        orders_in_backoff: frozenset[PlannedOrder],
    ) -> None:
        self.orders: list[PlannedOrder] = []
        self.gaps: list[Gap] = []
        self._desired = desired
        self._settings = settings
        self._orders_in_backoff = orders_in_backoff
        self._servers = [server for server in servers if server.is_available]
        self._busy = {server.name for server in self._servers if server.loading}
        loading_max = max(1, int(settings.loading_max_share * len(self._servers)))
        self._load_slots = loading_max - len(self._busy)

    def plan_model(self, name: str, entry: ModelEntry) -> None:
        """Order a model on more servers, first on those with another version."""
        current = [s for s in self._servers if _has_version(s, name, entry.version)]
        loading_servers = [
            s for s in self._servers if s.loading == name and s not in current
        ]
        missing = entry.servers_min - len(current) - len(loading_servers)
        reason = GapReason.UNDER_WAY if loading_servers else GapReason.TOO_FEW_SERVERS
        others = [
            s for s in self._servers if s not in current and s not in loading_servers
        ]
        for server in sorted(others, key=lambda s: self._sort_key(s, name)):
            if missing <= 0:
                break
            kind = (
                OrderKind.LOAD_VERSION
                if name in server.models
                else OrderKind.LOAD_MODEL
            )
            obstacle = self._add_order(server, kind, name, entry.version)
            reason = obstacle or GapReason.UNDER_WAY
            missing -= obstacle is None
        self._add_gap(name, entry.servers_min, len(current), reason)

    def plan_adapters(self, model: str, entry: ModelEntry) -> None:
        """Order the adapters on all servers that have their model."""
        ready = [s for s in self._servers if _has_version(s, model, entry.version)]
        for adapter, version in sorted(entry.adapters.items()):
            name = f"{model}/{adapter}"
            outdated = [s for s in ready if s.adapters.get(name) != version]
            reason = GapReason.UNDER_WAY
            for server in outdated:
                if server.name in self._busy:
                    continue
                obstacle = self._add_order(
                    server, OrderKind.LOAD_ADAPTER, name, version
                )
                reason = obstacle or reason
            self._add_gap(name, len(ready), len(ready) - len(outdated), reason)

    def plan_role(self, role: str, wanted: int) -> None:
        """Order a role on more servers, taken from roles that have too many."""
        counts = Counter(server.role for server in self._servers)
        missing = wanted - counts[role]
        reason = GapReason.TOO_FEW_SERVERS
        candidates = [
            server
            for server in self._servers
            if server.role != role and self._can_change_role(server, counts)
        ]
        for server in sorted(candidates, key=lambda s: _hash(role, s.name)):
            if missing <= 0 or not self._can_change_role(server, counts):
                continue
            obstacle = self._add_order(server, OrderKind.SET_ROLE, role, "")
            reason = obstacle or GapReason.UNDER_WAY
            if obstacle is None:
                counts[server.role] -= 1
                missing -= 1
        self._add_gap(role, wanted, counts[role], reason)

    def _can_change_role(self, server: ServerState, counts: Counter[str]) -> bool:
        wanted = {str(role): count for role, count in self._desired.roles.items()}
        return counts[server.role] > wanted.get(server.role, 0)

    def _sort_key(self, server: ServerState, model: str) -> tuple[bool, int, int]:
        served = len(server.models.keys() & self._desired.models.keys())
        return model not in server.models, served, _hash(model, server.name)

    def _add_order(
        self, server: ServerState, kind: OrderKind, name: str, version: str
    ) -> GapReason | None:
        """Add an order to the plan; return the obstacle if it cannot be added."""
        order = PlannedOrder(server.name, kind, name, version)
        if server.name in self._busy:
            return GapReason.UNDER_WAY
        if order in self._orders_in_backoff:
            return GapReason.BACKING_OFF
        if self._load_slots <= 0:
            return GapReason.LOADING_LIMIT
        if any(self._is_needed(server, model) for model in server.models):
            return GapReason.MINIMUM_CAPACITY
        self._load_slots -= 1
        self._busy.add(server.name)
        self.orders.append(order)
        return None

    def _is_needed(self, server: ServerState, model: str) -> bool:
        """Return whether a model would have too few servers without this one."""
        if model not in self._desired.models:
            return False
        loaded = [other for other in self._servers if model in other.models]
        ready = sum(other.name not in self._busy for other in loaded)
        ready_min = max(1, math.ceil(self._settings.ready_min_share * len(loaded)))
        return ready - 1 < ready_min

    def _add_gap(self, name: str, wanted: int, actual: int, reason: GapReason) -> None:
        if actual < wanted:
            self.gaps.append(Gap(name, wanted, actual, reason))


def _has_version(server: ServerState, model: str, version: str) -> bool:
    """Return whether a server has a model; an empty version matches any."""
    loaded = server.models.get(model)
    return loaded is not None and version in ("", loaded)


def _hash(first: str, second: str) -> int:
    value: int = xxhash.xxh64_intdigest(f"{first}/{second}".encode())
    return value
