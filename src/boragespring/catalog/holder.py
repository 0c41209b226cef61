"""Hold the active catalog; its version never decreases within one process."""

import time
from collections.abc import Callable

from boragespring.catalog.model import Catalog
from boragespring.decisions import DecisionLog

__all__ = ["CatalogHolder"]

#: Called with each catalog that becomes active.
CatalogHook = Callable[[Catalog], None]


class CatalogHolder:
    """Holder of the newest catalog that this process has received.

    Parameters
    ----------
    log : DecisionLog
        Log for changes of the version.
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
        """Active catalog; None before the first one has arrived."""
        return self._catalog

    @property
    def age_s(self) -> float:
        """Time since the active catalog was last known to be the newest."""
        return self._clock() - self._confirmed_at_s

    def has_engine(self, service: str) -> bool:
        """Return whether the backend servers of a service are model engines."""
        found = self._catalog.services.get(service) if self._catalog else None
        return found is not None and found.engine is not None

    def cold_rate_per_s(self, service: str) -> float | None:
        """Return the rate that a cold backend server takes, if it is limited."""
        found = self._catalog.services.get(service) if self._catalog else None
        return found.cold_rate_per_s if found is not None else None

    def confirm(self, confirmed_at_s: float | None = None) -> None:
        """Record that the active catalog was the newest one.

        Parameters
        ----------
        confirmed_at_s : float, optional
            Monotonic time at which it was the newest; the current time by
            default.
        """
        at_s = self._clock() if confirmed_at_s is None else confirmed_at_s
        self._confirmed_at_s = max(self._confirmed_at_s, at_s)

    def offer(self, catalog: Catalog, source: str) -> bool:
        """Activate a catalog if it is newer than the active one.

        Parameters
        ----------
        catalog : Catalog
            Catalog that has arrived.
        source : str
            Origin of the catalog, for the log.

        Returns
        -------
        is_newer : bool
            Whether the catalog is active now.
        """
        previous = self._catalog
        if previous is not None and catalog.version <= previous.version:
            return False
        self._catalog = catalog
        self._log.state_change(
            "catalog",
            version=catalog.version,
            version_before=previous.version if previous else None,
            source=source,
            routes=len(catalog.routes),
        )
        for hook in self.hooks:
            hook(catalog)
        return True
