"""Find what is wrong or pointless in a catalog before it is sent."""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import StrEnum

from attrs import frozen

from boragespring.catalog.model import Catalog, RequestKind, Route

__all__ = ["Finding", "Severity", "check_catalog"]


class Severity(StrEnum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"


@frozen
class Finding:
    """One thing that is wrong in a catalog.

    Parameters
    ----------
    severity : Severity
        Whether the catalog must not be sent.
    entry : str
        Entry of the catalog, such as ``route r-1``.
    problem : str
        What is wrong.
    remedy : str
        What to do.
    """

    severity: Severity
    entry: str
    problem: str
    remedy: str


def check_catalog(catalog: Catalog) -> list[Finding]:
    """Return all findings, errors first."""
    findings = [
        *_check_matches(catalog.routes),
        *(finding for route in catalog.routes for finding in _check_route(route)),
        *_check_services(catalog),
        *_check_kinds(catalog.routes),
        *_check_workspaces(catalog),
        *_check_limits(catalog),
    ]
    return sorted(findings, key=lambda finding: finding.severity)


def _error(entry: str, problem: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, entry, problem, remedy)


def _warning(entry: str, problem: str, remedy: str) -> Finding:
    return Finding(Severity.WARNING, entry, problem, remedy)


def _check_matches(routes: Iterable[Route]) -> Iterator[Finding]:
    """Find routes that can never match, and names that stand twice."""
    first_by_match: dict[tuple[str, str], Route] = {}
    for route in routes:
        entry = f"route {route.name}"
        match = route.host, route.path_prefix
        if match in first_by_match:
            first = first_by_match[match].name
            yield _error(
                entry,
                f"has the host and prefix of route {first}; one of them never matches",
                "remove one or change its prefix",
            )
        first_by_match.setdefault(match, route)
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield _error(
                entry,
                f"path prefix {prefix!r} never matches",
                "begin and end it with a slash",
            )
    for name, count in Counter(route.name for route in routes).items():
        if count > 1:
            yield _error(f"route {name}", f"stands {count} times", "rename the others")


def _check_route(route: Route) -> Iterator[Finding]:
    """Find limits of one route that contradict each other."""
    entry = f"route {route.name}"
    if route.timeout_s <= 0:
        yield _error(entry, "its timeout is not over 0", "set a timeout")
    elif route.objective_s > route.timeout_s:
        yield _warning(
            entry,
            f"its objective of {route.objective_s:g} s is over its timeout of "
            f"{route.timeout_s:g} s, which ends each request before",
            "lower the objective or raise the timeout",
        )
    elif route.pause_objective_s > route.timeout_s:
        yield _warning(
            entry,
            f"it allows pauses of {route.pause_objective_s:g} s, over its timeout",
            "lower the pause or raise the timeout",
        )
    if route.attempts_max < 1:
        yield _error(entry, "no server may run its requests", "allow an attempt")
    is_repeatable = route.kind is RequestKind.IDEMPOTENT or route.is_resumable
    if route.attempts_max > 1 and not is_repeatable:
        yield _warning(
            entry,
            f"{route.attempts_max} attempts are allowed, but its requests run once",
            "allow one attempt",
        )
    if route.is_resumable and route.kind is not RequestKind.STREAMING:
        yield _warning(entry, "only streams can be resumed", "drop the setting")


def _check_services(catalog: Catalog) -> Iterator[Finding]:
    """Find services that are missing, unused or of the wrong sort."""
    used: set[str] = set()
    for route in catalog.routes:
        entry = f"route {route.name}"
        if not any(share.weight > 0 for share in route.shares):
            yield _error(entry, "no service has a weight over 0", "give one a weight")
        for share in route.shares:
            service = catalog.services.get(share.service)
            if service is None:
                yield _error(
                    entry,
                    f"service {share.service!r} is not in the catalog",
                    "add the service or name another one",
                )
                continue
            if share.weight <= 0:
                yield _warning(
                    entry, f"service {service.name} gets nothing", "remove the share"
                )
                continue
            used.add(service.name)
            is_stream = route.kind is RequestKind.STREAMING
            if service.engine is not None and not is_stream:
                yield _warning(
                    entry,
                    f"service {service.name} has model engines, but answers no streams",
                    "change the kind or the service",
                )
    for name, service in catalog.services.items():
        if name not in used:
            yield _warning(f"service {name}", "no route uses it", "remove it")
        engine = service.engine
        if engine is not None and (engine.slots < 1 or engine.memory_tokens < 1):
            yield _error(
                f"service {name}",
                "its engines can run nothing",
                "give slots and memory",
            )


def _check_kinds(routes: Iterable[Route]) -> Iterator[Finding]:
    """Find prefixes under a shorter one whose requests may be repeated differently."""
    by_match = {(route.host, route.path_prefix): route for route in routes}
    for route in routes:
        end = len(route.path_prefix) - 1
        while (end := route.path_prefix.rfind("/", 0, end)) >= 0:
            outer = by_match.get((route.host, route.path_prefix[: end + 1]))
            if outer is not None and outer.kind is not route.kind:
                yield _warning(
                    f"route {route.name}",
                    f"is {route.kind} under route {outer.name}, which is {outer.kind}; "
                    "without it, its requests would be repeated as those",
                    "remove it only after the callers have stopped",
                )


def _check_workspaces(catalog: Catalog) -> Iterator[Finding]:
    """Find workspaces without keys, and keys of several workspaces."""
    holders: dict[str, str] = {}
    for workspace in catalog.workspaces or ():
        entry = f"workspace {workspace.name}"
        if not workspace.keys:
            yield _warning(entry, "has no key, so that nobody can use it", "add a key")
        for key in workspace.keys:
            holder = holders.setdefault(key, workspace.name)
            if holder != workspace.name:
                yield _error(
                    entry,
                    f"shares a key with workspace {holder}, which would be charged",
                    "give each its own keys",
                )
    if catalog.workspaces == () and not all(r.is_public for r in catalog.routes):
        yield _error("workspaces", "no key is valid", "add workspaces or drop the list")


def _check_limits(catalog: Catalog) -> Iterator[Finding]:
    limits = catalog.limits
    named = {
        "header_bytes": limits.header_bytes,
        "body_bytes": limits.body_bytes,
        "header_timeout": limits.header_timeout_s,
        "idle_timeout": limits.idle_timeout_s,
    }
    for name, value in named.items():
        if value <= 0:
            yield _error(f"limit {name}", "refuses every request", "set it over 0")
