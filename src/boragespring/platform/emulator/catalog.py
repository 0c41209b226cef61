"""Catalog of the emulated deployment, in the platform's spelling."""

from typing import Any

from attrs import frozen

from boragespring.platform.emulator.engine_spec import EngineSpec

__all__ = [
    "FURTHER_SERVICES",
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "STANDARD_ROUTES",
    "RouteSpec",
    "route_document",
    "service_documents",
]

MODEL_SERVICE = "models"
PLAIN_SERVICE = "desk"
#: Plain services that no route names until a test moves one there.
FURTHER_SERVICES = ("second-desk", "third-desk")


@frozen
class RouteSpec:
    """Route in the emulated catalog.

    Parameters
    ----------
    prefix : str
        Path prefix of the requests that the route matches.
    kind : str
        Retry semantics in the platform's spelling: ``"streaming"``,
        ``"idempotent"`` or ``"non_idempotent"``.
    service : str
        Service that handles the requests.
    second_service : str
        Service that handles half of them; empty if none.
    timeout_ms : int
        Maximum duration of a request in milliseconds.
    attempts : int
        Maximum number of servers that a request is sent to.
    is_public : bool
        Whether requests are accepted without an API key.
    is_resumable : bool
        Whether callers may ask again for the rest of an interrupted stream.
    """

    prefix: str
    kind: str
    service: str
    second_service: str = ""
    timeout_ms: int = 5000
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False


#: Requests per second that a cold server of a plain service takes.
COLD_RATE_PER_S = 4.0
STANDARD_ROUTES = (
    RouteSpec("/draft/", "streaming", MODEL_SERVICE, timeout_ms=20_000),
    RouteSpec("/book/", "non_idempotent", PLAIN_SERVICE, timeout_ms=800),
    RouteSpec("/look/", "idempotent", PLAIN_SERVICE, timeout_ms=800, attempts=2),
)


def route_document(host: str, route: RouteSpec) -> dict[str, Any]:
    """Return a route of a host as the catalog holds it."""
    services = [route.service, *filter(None, [route.second_service])]
    return {
        "name": f"r{route.prefix}",
        "host": host,
        "path_prefix": route.prefix,
        "kind": route.kind,
        "timeout_ms": route.timeout_ms,
        "latency_goal_ms": 400,
        "priority": 1,
        "split": [{"service": name, "weight": 1.0} for name in services],
        "attempts": route.attempts,
        "public": route.is_public,
        "resumable": route.is_resumable,
    }


def service_documents(spec: EngineSpec) -> list[dict[str, Any]]:
    """Return the services as the catalog holds them."""
    engine = {
        "slots": spec.slots,
        "kv_cache_tokens": spec.memory_tokens,
        "kv_token_bytes": 1000,
        "link_mbps": 8e-3 / spec.copy_s_per_token,
        "moves": True,
        "backups": True,
        "stride": spec.tokens_per_event,
        "handle_s": 5.0,
    }
    return [
        {"name": MODEL_SERVICE, "connection_limit": 250, "engine": engine},
        *(
            {
                "name": name,
                "connection_limit": 100,
                "cold_per_s": COLD_RATE_PER_S,
            }
            for name in (PLAIN_SERVICE, *FURTHER_SERVICES)
        ),
    ]
