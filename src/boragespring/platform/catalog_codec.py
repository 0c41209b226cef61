"""Decode the operator's configuration into a `Catalog`."""

from typing import Annotated

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
from boragespring.external_values import INTEGER_MAX, check_text
from boragespring.json_document import parse_json
from boragespring.settings import FieldErrorGroup, Range, SettingsError, structure
from boragespring.settings.types import Check

__all__ = ["CatalogUnreadableError", "decode_catalog"]

_KIND_BY_NAME = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}


class CatalogUnreadableError(SettingsError):
    """The stored configuration cannot be decoded by this version."""


_Text = Annotated[str, Check(check_text)]
_Integer = Annotated[int, Range(-INTEGER_MAX, INTEGER_MAX)]
_Number = Annotated[float, Range(-INTEGER_MAX, INTEGER_MAX)]


@frozen
class _WireShare:
    service: _Text
    weight: Annotated[float, Range(0.0, INTEGER_MAX)]


@frozen
class _WireRoute:
    name: _Text
    host: _Text
    path_prefix: _Text
    kind: str
    timeout_ms: _Number
    latency_goal_ms: _Number = 0.0
    service: _Text | None = None
    split: list[_WireShare] | None = None
    attempts: _Integer = 1
    priority: _Integer = 5
    public: bool = False
    gap_target_ms: _Number = 0.0
    resumable: bool = False


@frozen
class _WireEngine:
    slots: _Integer
    # Capacity of the KV cache, shared by running requests and cached prompts.
    kv_cache_tokens: _Integer
    kv_token_bytes: _Number = 0.0
    link_mbps: _Number = 0.0
    moves: bool = False
    backups: bool = False
    # Number of tokens in each event of a stream.
    stride: _Integer = 1
    # Time in seconds for which the engine keeps an unused copy of a run.
    handle_s: _Number = 5.0


@frozen
class _WireService:
    name: _Text
    health_path: _Text = "/health"
    connection_limit: _Integer = 100
    engine: _WireEngine | None = None
    # Requests a second that a cold server tolerates; 0 for no limit.
    cold_per_s: _Number = 0.0


@frozen
class _WireLimits:
    header_bytes: _Integer = 16384
    body_bytes: _Integer = 4 * 2**20
    header_timeout_ms: _Number = 3000.0
    idle_timeout_ms: _Number = 15000.0


@frozen
class _WireWorkspace:
    name: _Text
    api_keys: list[str]
    priority: _Integer | None = None


@frozen
class _WireCatalog:
    version: _Integer
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
        When the data is not JSON, or fields are missing or cannot be used.
    """
    try:
        document = parse_json(data)
        wire = structure(document, _WireCatalog, "configuration", ignore_unknown=True)
    except FieldErrorGroup as errors:
        raise CatalogUnreadableError(errors.summary()) from errors
    except ValueError as error:
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
