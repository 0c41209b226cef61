"""Availability zones to whose servers nothing new is sent."""

import time
from collections.abc import Callable, Iterable

from attrs import define, field

__all__ = ["DrainedZones"]


@define
class DrainedZones:
    """Zones that the operator has drained, and since when this gateway knows it.

    Parameters
    ----------
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    clock: Callable[[], float] = time.monotonic
    _since_s: dict[str, float] = field(factory=dict)

    def __contains__(self, zone: str) -> bool:
        return zone in self._since_s

    def drained_for_s(self, zone: str) -> float:
        """Return for how long a zone has been drained, in seconds; 0 if it is not."""
        since_s = self._since_s.get(zone)
        return 0.0 if since_s is None else self.clock() - since_s

    def replace(self, zones: Iterable[str]) -> tuple[list[str], list[str]]:
        """Drain exactly the given zones.

        Returns
        -------
        begun, ended : list of str
            Zones that were not drained before, and those that are no longer.
        """
        current = set(zones)
        begun = sorted(current - self._since_s.keys())
        ended = sorted(self._since_s.keys() - current)
        self._since_s.update((zone, self.clock()) for zone in begun)
        for zone in ended:
            del self._since_s[zone]
        return begun, ended

    @property
    def names(self) -> frozenset[str]:
        """Names of all drained zones."""
        return frozenset(self._since_s)
