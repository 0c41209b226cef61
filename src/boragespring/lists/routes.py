"""Decide which requests to a plain service are safe to retry."""

import functools
import re
from collections.abc import Iterable

from boragespring.lists.model import RouteEntry, ServiceEntry

__all__ = ["is_idempotent"]

#: Methods that are not idempotent according to RFC 9110.
_NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
_PATTERN_CACHE_MAX = 4096


def is_idempotent(service: ServiceEntry, method: str, path: str) -> bool:
    """Return whether a request is idempotent and therefore safe to retry.

    Parameters
    ----------
    service : ServiceEntry
        The plain service.
    method : str
        HTTP method.
    path : str
        Path relative to the service, with or without a query.
    """
    path_without_query = path.partition("?")[0]
    if _matches_any(service.non_idempotent_routes, method, path_without_query):
        return False
    if method not in _NON_IDEMPOTENT_METHODS:
        return True
    return _matches_any(service.idempotent_routes, method, path_without_query)


def _matches_any(routes: Iterable[RouteEntry], method: str, path: str) -> bool:
    return any(
        route.method == method and _compile_pattern(route.path).fullmatch(path)
        for route in routes
    )


@functools.lru_cache(maxsize=_PATTERN_CACHE_MAX)
def _compile_pattern(path: str) -> re.Pattern[str]:
    if path.endswith("/**"):
        return re.compile(_segments_regex(path.removesuffix("/**")) + r"(/.*)?")
    return re.compile(_segments_regex(path))


def _segments_regex(path: str) -> str:
    return "/".join(
        "[^/]+" if segment == "*" else re.escape(segment) for segment in path.split("/")
    )
