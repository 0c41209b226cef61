"""Types of the catalog and the look-ups that each request needs."""

from collections.abc import Mapping
from enum import StrEnum
from functools import cached_property

from attrs import define, frozen

__all__ = [
    "CallerLimits",
    "Catalog",
    "EngineProfile",
    "RequestKind",
    "Route",
    "Service",
    "ServiceShare",
    "Workspace",
]


class RequestKind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@frozen
class ServiceShare:
    """Service that takes a part of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """Requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host that callers name, in lower case.
    path_prefix : str
        Prefix of the path, with a slash at both ends.
    kind : RequestKind
        What may be repeated.
    shares : tuple of ServiceShare
        Services that take the requests, with their weights.
    timeout_s : float
        Longest time that a caller may be kept waiting.
    objective_s : float
        Time to the answer, or to the first event, that counts as on time.
    attempts_max : int
        Most backend servers on which one request may run.
    priority : int
        Rank among routes; 0 is the most urgent.
    is_public : bool
        Whether requests need no key.
    pause_objective_s : float
        Longest pause between two events that counts as on time; 0 for none.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    attempts_max: int = 1
    priority: int = 5
    is_public: bool = False
    pause_objective_s: float = 0.0


@frozen
class EngineProfile:
    """What a model engine of a service can do.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    memory_tokens : int
        Tokens that the engine's memory holds.
    token_bytes : int
        Size of one token in the engine's memory.
    link_mbps : float
        Rate of copies between engines, in megabits a second.
    can_move : bool
        Whether a run can be copied to another engine and go on there.
    can_back_up : bool
        Whether an engine keeps a second copy of a run up to date elsewhere.
    tokens_per_event : int
        Tokens that one event of a stream holds.
    copy_retention_s : float
        Time for which an unused copy is kept.
    """

    slots: int
    memory_tokens: int
    token_bytes: int = 0
    link_mbps: float = 0.0
    can_move: bool = False
    can_back_up: bool = False
    tokens_per_event: int = 1
    copy_retention_s: float = 5.0


@frozen
class Service:
    """Backend servers that answer the same requests.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    connections_max : int
        Connections that one backend server accepts from all callers.
    engine : EngineProfile or None
        Set where the backend servers are model engines.
    """

    name: str
    health_path: str
    connections_max: int
    engine: EngineProfile | None = None


@frozen
class CallerLimits:
    """Bounds on what a caller may send and on how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 2**20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class Workspace:
    """Customer account with its keys.

    Parameters
    ----------
    name : str
        Name of the workspace.
    keys : tuple of str
        Keys of its callers.
    priority : int or None
        Rank that goes before the rank of the route; None for no own rank.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@define(frozen=True, slots=False)
class Catalog:
    """One version of everything that the operator has set.

    Parameters
    ----------
    version : int
        Number that grows with each change, in uneven steps.
    routes : tuple of Route
        All routes.
    services : mapping of str to Service
        Services by name.
    limits : CallerLimits
        Bounds on requests.
    workspaces : tuple of Workspace or None
        Accounts; None where requests need no key at all.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None

    @cached_property
    def _route_by_place(self) -> dict[tuple[str, str], Route]:
        return {(route.host, route.path_prefix): route for route in self.routes}

    @cached_property
    def _workspace_by_key(self) -> dict[str, Workspace]:
        return {
            key: workspace
            for workspace in self.workspaces or ()
            for key in workspace.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path."""
        place = host.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._route_by_place.get((place, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._workspace_by_key.get(key)

    def needs_key(self, route: Route) -> bool:
        """Return whether requests of a route must carry a key."""
        return self.workspaces is not None and not route.is_public
