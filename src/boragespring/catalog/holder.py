"""Hold the catalog in force; it never steps back within one process."""

import time
from collections.abc import Callable

from boragespring.catalog.model import Catalog
from boragespring.decisions import DecisionLog

__all__ = ["CatalogHolder"]

CatalogHook = Callable[[Catalog], None]


class CatalogHolder:
    """Newest catalog that this process has seen.

    Parameters
    ----------
    log : DecisionLog
        Where changes of the version are told.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self, log: DecisionLog, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._log = log
        self._clock = clock
        self._catalog: Catalog | None = None
        self._confirmed_at_s = float("-inf")
        self.hooks: list[CatalogHook] = []

    @property
    def catalog(self) -> Catalog | None:
        """The catalog in force; None before the first one."""
        return self._catalog

    @property
    def age_s(self) -> float:
        """Time since the catalog was last known to be the newest."""
        return self._clock() - self._confirmed_at_s

    def has_engine(self, service: str) -> bool:
        """Return whether a service's backend servers are model engines."""
        found = self._catalog.services.get(service) if self._catalog else None
        return found is not None and found.engine is not None

    def confirm(self, confirmed_at_s: float | None = None) -> None:
        """Note that the catalog in force was the newest at a time."""
        at_s = self._clock() if confirmed_at_s is None else confirmed_at_s
        self._confirmed_at_s = max(self._confirmed_at_s, at_s)

    def offer(self, catalog: Catalog, source: str) -> bool:
        """Put a newer catalog in force; return whether it is newer."""
        before = self._catalog
        if before is not None and catalog.version <= before.version:
            return False
        self._catalog = catalog
        self._log.state_change(
            "catalog",
            version=catalog.version,
            version_before=before.version if before else None,
            source=source,
            routes=len(catalog.routes),
        )
        for hook in self.hooks:
            hook(catalog)
        return True
