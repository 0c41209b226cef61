"""Data model of the catalog, with the lookups that each request needs."""

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
    """How the requests of a route can be retried.

    An idempotent request may run more than once. A non-idempotent one is sent to
    another server only if it is known not to have run. A streaming one is
    answered by a stream of events, which can continue on another server.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@frozen
class ServiceShare:
    """Service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """Routing rule for the requests to one host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Value of the Host header, in lower case.
    path_prefix : str
        Prefix of the path; it starts and ends with a slash.
    kind : RequestKind
        How requests can be retried.
    shares : tuple of ServiceShare
        Services among which the requests are split, with their weights.
    timeout_s : float
        Maximum time in seconds until the final answer.
    objective_s : float
        Latency objective in seconds: time to the answer, or to the first event of
        a stream.
    attempts_max : int
        Maximum number of backend servers on which one request may run.
    priority : int
        Priority among routes; 0 is the most urgent.
    is_public : bool
        Whether requests need no key.
    pause_objective_s : float
        Objective in seconds for the longest pause between two events of a stream;
        0 if there is none.
    is_resumable : bool
        Whether a caller may ask for the rest of a stream that was interrupted.
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
    is_resumable: bool = False


@frozen
class EngineProfile:
    """Capacity and capabilities of the model engines of a service.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run concurrently.
    memory_tokens : int
        Capacity of the engine's memory, for running requests and cached prompts.
    token_bytes : int
        Size of one token in the engine's memory.
    link_mbps : float
        Bandwidth of copies between engines, in megabits per second.
    can_move : bool
        Whether a run can be copied to another engine and continue there.
    can_back_up : bool
        Whether an engine keeps a backup of a run up to date on another engine.
    tokens_per_event : int
        Number of tokens in one event of a stream.
    copy_retention_s : float
        Time in seconds for which an unused copy of a run is kept.
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
    """Group of backend servers that answer the same requests.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    connections_max : int
        Maximum number of connections that one backend server accepts in total.
    engine : EngineProfile or None
        Profile of the model engines; None if the backend servers are not model
        engines.
    cold_rate_per_s : float or None
        Requests per second that a cold backend server takes from all gateways
        together; None for no limit.
    """

    name: str
    health_path: str
    connections_max: int
    engine: EngineProfile | None = None
    cold_rate_per_s: float | None = None


@frozen
class CallerLimits:
    """Limits on the requests and connections of callers.

    Parameters
    ----------
    header_bytes : int
        Maximum size of the request line and headers.
    body_bytes : int
        Maximum size of the body.
    header_timeout_s : float
        Maximum time in seconds from the first byte of a request to the end of its
        headers.
    idle_timeout_s : float
        Maximum time in seconds for which a connection may be idle between two requests.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 2**20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class Workspace:
    """Customer account with its API keys.

    Parameters
    ----------
    name : str
        Name of the workspace.
    keys : tuple of str
        API keys of its callers.
    priority : int or None
        Priority that overrides the priority of the route; None to keep that one.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@define(frozen=True, slots=False)
class Catalog:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Version number. It increases with each change, not necessarily by 1.
    routes : tuple of Route
        All routes.
    services : mapping of str to Service
        Services by name.
    limits : CallerLimits
        Limits on requests and connections.
    workspaces : tuple of Workspace or None
        Customer accounts; None if no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None

    @cached_property
    def _route_by_prefix(self) -> dict[tuple[str, str], Route]:
        return {(route.host, route.path_prefix): route for route in self.routes}

    @cached_property
    def _workspace_by_key(self) -> dict[str, Workspace]:
        return {
            key: workspace
            for workspace in self.workspaces or ()
            for key in workspace.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix is the longest match of a path."""
        host_name = host.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._route_by_prefix.get((host_name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to."""
        return self._workspace_by_key.get(key)

    def needs_key(self, route: Route) -> bool:
        """Return whether requests of a route need an API key."""
        return self.workspaces is not None and not route.is_public
