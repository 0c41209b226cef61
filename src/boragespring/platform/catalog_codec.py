"""Decode the operator's configuration into a `Catalog`."""

from attrs import frozen

from boragespring.catalog import (
    CallerLimits,
    Catalog,
    EngineProfile,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from boragespring.json_document import parse_json
from boragespring.settings import SettingsError, structure

__all__ = ["CatalogUnreadableError", "decode_catalog"]

_KIND_BY_NAME = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}


class CatalogUnreadableError(SettingsError):
    """The stored configuration cannot be decoded by this version."""


@frozen
class _WireShare:
    service: str
    weight: float


@frozen
class _WireRoute:
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    latency_goal_ms: float = 0.0
    service: str | None = None
    split: list[_WireShare] | None = None
    attempts: int = 1
    priority: int = 5
    public: bool = False
    gap_target_ms: float = 0.0
    resumable: bool = False


@frozen
class _WireEngine:
    slots: int
    # Capacity of the KV cache, shared by running requests and cached prompts.
    kv_cache_tokens: int
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    moves: bool = False
    backups: bool = False
    # Number of tokens in each event of a stream.
    stride: int = 1
    # Time in seconds for which the engine keeps an unused copy of a run.
    handle_s: float = 5.0


@frozen
class _WireService:
    name: str
    health_path: str = "/health"
    connection_limit: int = 100
    engine: _WireEngine | None = None
    # Requests a second that a cold server tolerates; 0 for no limit.
    cold_per_s: float = 0.0


@frozen
class _WireLimits:
    header_bytes: int = 16384
    body_bytes: int = 4 * 2**20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@frozen
class _WireWorkspace:
    name: str
    api_keys: list[str]
    priority: int | None = None


@frozen
class _WireCatalog:
    version: int
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = _WireLimits()
    tenants: list[_WireWorkspace] | None = None


def decode_catalog(data: bytes) -> Catalog:
    """Decode one version of the configuration.

    Unknown fields and routes of an unknown kind are ignored.

    Parameters
    ----------
    data : bytes
        JSON document stored by the operator.

    Returns
    -------
    Catalog
        Catalog with times in seconds and host names in lower case.

    Raises
    ------
    CatalogUnreadableError
        When the data is not JSON, or fields are missing or invalid.
    """
    try:
        document = parse_json(data)
        wire = structure(document, _WireCatalog, "configuration", ignore_unknown=True)
    except (ValueError, SettingsError) as error:
        raise CatalogUnreadableError(f"configuration: {error}") from error
    return Catalog(
        version=wire.version,
        routes=tuple(
            _route(route) for route in wire.routes if route.kind in _KIND_BY_NAME
        ),
        services={service.name: _service(service) for service in wire.services},
        limits=_caller_limits(wire.limits),
        workspaces=_workspaces(wire.tenants),
    )


def _route(wire: _WireRoute) -> Route:
    shares = (
        tuple(ServiceShare(share.service, share.weight) for share in wire.split)
        if wire.split
        else (ServiceShare(wire.service or "", 1.0),)
    )
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        kind=_KIND_BY_NAME[wire.kind],
        shares=shares,
        timeout_s=wire.timeout_ms / 1000,
        objective_s=wire.latency_goal_ms / 1000,
        attempts_max=wire.attempts,
        priority=wire.priority,
        is_public=wire.public,
        pause_objective_s=wire.gap_target_ms / 1000,
        is_resumable=wire.resumable,
    )


def _service(wire: _WireService) -> Service:
    return Service(
        name=wire.name,
        health_path=wire.health_path,
        connections_max=wire.connection_limit,
        engine=_engine_profile(wire.engine),
        cold_rate_per_s=wire.cold_per_s if wire.cold_per_s > 0 else None,
    )


def _engine_profile(wire: _WireEngine | None) -> EngineProfile | None:
    if wire is None:
        return None
    return EngineProfile(
        slots=wire.slots,
        memory_tokens=wire.kv_cache_tokens,
        token_bytes=round(wire.kv_token_bytes),
        link_mbps=wire.link_mbps,
        can_move=wire.moves,
        can_back_up=wire.backups,
        tokens_per_event=max(1, wire.stride),
        copy_retention_s=wire.handle_s,
    )


def _caller_limits(wire: _WireLimits) -> CallerLimits:
    return CallerLimits(
        header_bytes=wire.header_bytes,
        body_bytes=wire.body_bytes,
        header_timeout_s=wire.header_timeout_ms / 1000,
        idle_timeout_s=wire.idle_timeout_ms / 1000,
    )


def _workspaces(wire: list[_WireWorkspace] | None) -> tuple[Workspace, ...] | None:
    if wire is None:
        return None
    return tuple(
        Workspace(tenant.name, tuple(tenant.api_keys), tenant.priority)
        for tenant in wire
    )
