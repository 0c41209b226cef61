"""Which gateways watch the store, and how long each of them waits.

The store answers a watch at the next change or after a wait, and counts each
answer as a call. A few gateways of each availability zone watch and hand the
changes on; where their waits end in turn, all copies are confirmed often while
each of them asks seldom, and an outage of the store is noticed soon by all.
"""

from collections.abc import Callable, Iterable
from itertools import groupby, islice

from attrs import frozen

__all__ = ["GatewayLocation", "WatchRotationSettings", "WatchRotation"]


@frozen
class GatewayLocation:
    """Name and availability zone of a gateway."""

    name: str
    availability_zone: str


@frozen
class WatchRotationSettings:
    """Number of watching gateways and their waits.

    Parameters
    ----------
    watchers_per_zone : int
        Gateways of each availability zone that watch; the others rest.
    wait_per_watcher_s : float
        Wait for each of them: the more there are, the longer each may wait.
    wait_min_s, wait_max_s : float
        Bounds of the wait.
    missed_turns : int
        Turns without an answer after which the store is taken to be away.
    slack_s : float
        Time for an answer and for the word of it to the other gateways.
    lost_age_limit_s : float
        Age of a copy from which the store is taken to be away by a gateway
        whose own call to it failed; more than a turn, as it may be alone.
    """

    watchers_per_zone: int = 2
    wait_per_watcher_s: float = 0.4
    wait_min_s: float = 2.0
    wait_max_s: float = 10.0
    missed_turns: int = 2
    slack_s: float = 0.4
    lost_age_limit_s: float = 0.7


class WatchRotation:
    """Turns of this gateway among those that it has links to.

    Parameters
    ----------
    own : GatewayLocation
        This gateway.
    peers : callable
        Returns the other gateways with an open link.
    settings : WatchRotationSettings, optional
        Numbers and waits.
    """

    def __init__(
        self,
        own: GatewayLocation,
        peers: Callable[[], Iterable[GatewayLocation]],
        settings: WatchRotationSettings | None = None,
    ) -> None:
        self._own = own
        self._peers = peers
        self._settings = settings or WatchRotationSettings()

    def is_watcher(self) -> bool:
        """Return whether this gateway watches for others, or all do."""
        return self._own.name in self._watchers()

    def next_timeout_s(self, is_after_change: bool) -> float:
        """Return how long the next watch may wait.

        A change ends the waits of all watching gateways at once; from then on
        each takes its turn.
        """
        names = self._watchers()
        whole_s = self._whole_s(len(names))
        if not is_after_change or self._own.name not in names:
            return whole_s
        return whole_s * (1 + names.index(self._own.name)) / len(names)

    def snapshot_age_limit_s(self, is_own_call_lost: bool = False) -> float:
        """Return the age of a copy from which the store is taken to be away."""
        if is_own_call_lost:
            return self._settings.lost_age_limit_s
        count = len(self._watchers())
        whole_s = self._whole_s(count)
        turns_s = self._settings.missed_turns * whole_s / count
        return min(turns_s, whole_s) + self._settings.slack_s

    def _watchers(self) -> list[str]:
        places = sorted(
            {self._own, *self._peers()},
            key=lambda one: (one.availability_zone, one.name),
        )
        zones = groupby(places, key=lambda one: one.availability_zone)
        return [
            one.name
            for _, members in zones
            for one in islice(members, self._settings.watchers_per_zone)
        ]

    def _whole_s(self, count: int) -> float:
        wait_s = self._settings.wait_per_watcher_s * count
        bounded_s = max(wait_s, self._settings.wait_min_s)
        return min(bounded_s, self._settings.wait_max_s)
