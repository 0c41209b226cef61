"""Decide which gateways watch the store, and how long each watch may last.

The store answers a watch at the next change or when the watch times out, and
counts each answer as a call. Therefore only a few gateways of each availability
zone watch, and they forward the changes. Their timeouts are spread evenly, so
that one of them soon confirms all snapshots although each one calls the store
rarely, and so that every gateway soon detects an outage of the store.
"""

from collections.abc import Callable, Sequence
from itertools import chain, groupby, islice, zip_longest

from attrs import frozen

__all__ = ["GatewayLocation", "WatchRotation", "WatchRotationSettings"]


@frozen
class GatewayLocation:
    """Name and availability zone of a gateway."""

    name: str
    availability_zone: str


@frozen
class WatchRotationSettings:
    """Number of watching gateways and the timeouts of their watches.

    Parameters
    ----------
    watchers_per_zone : int
        Maximum number of gateways of an availability zone that watch.
    watchers_max : int
        Number of gateways that watch in a fleet with few zones. In one with more zones,
        one gateway of each zone watches. Each of them is answered at each change.
    timeout_per_watcher_s : float
        Watch timeout in seconds per watching gateway: the more of them watch, the
        longer each watch may last.
    timeout_min_s, timeout_max_s : float
        Bounds of the watch timeout in seconds.
    missed_slots : int
        Consecutive slots without an answer after which the store counts as
        unavailable.
    slack_s : float
        Time in seconds for the store to answer and for the result to reach the
        other gateways.
    failed_call_age_limit_s : float
        Snapshot age in seconds from which the store counts as unavailable for a gateway
        whose own call to it failed. It is longer than a slot, because the other
        gateways may still reach the store.
    """

    watchers_per_zone: int = 2
    watchers_max: int = 6
    timeout_per_watcher_s: float = 0.4
    timeout_min_s: float = 2.0
    timeout_max_s: float = 10.0
    missed_slots: int = 2
    slack_s: float = 0.4
    failed_call_age_limit_s: float = 0.7


class WatchRotation:
    """Schedule of this gateway's watches among those of other gateways.

    Parameters
    ----------
    local : GatewayLocation
        This gateway.
    candidates : callable
        Returns the gateways that may watch.
    settings : WatchRotationSettings, optional
        Number of watchers and timeouts.
    """

    def __init__(
        self,
        local: GatewayLocation,
        candidates: Callable[[], Sequence[GatewayLocation]],
        settings: WatchRotationSettings | None = None,
    ) -> None:
        self._local = local
        self._candidates = candidates
        self._settings = settings or WatchRotationSettings()

    def is_watcher(self) -> bool:
        """Return whether this gateway is one of those that watch the store."""
        return self._local.name in self._watchers()

    def next_timeout_s(self, is_after_change: bool) -> float:
        """Return how long the store may hold the next watch.

        A change ends the watches of all gateways at once. The first watch after
        a change lasts until this gateway's slot, which spreads them again.

        Parameters
        ----------
        is_after_change : bool
            Whether a change, not a timeout, ended the previous watch.
        """
        names = self._watchers()
        full_s = self._full_timeout_s(len(names))
        if not is_after_change or self._local.name not in names:
            return full_s
        return full_s * (1 + names.index(self._local.name)) / len(names)

    def snapshot_age_limit_s(self, has_local_call_failed: bool = False) -> float:
        """Return the snapshot age from which the store counts as unavailable."""
        if has_local_call_failed:
            return self._settings.failed_call_age_limit_s
        count = len(self._watchers())
        full_s = self._full_timeout_s(count)
        slots_s = self._settings.missed_slots * full_s / count
        return min(slots_s, full_s) + self._settings.slack_s

    def _watchers(self) -> list[str]:
        """Return the names of the watching gateways, in the order of slots.

        The first gateways of all zones come before the second ones.
        """
        locations = sorted(
            self._candidates() or [self._local],
            key=lambda gateway: (gateway.availability_zone, gateway.name),
        )
        zones = [
            list(islice(members, self._settings.watchers_per_zone))
            for _, members in groupby(
                locations, key=lambda gateway: gateway.availability_zone
            )
        ]
        ranked = chain.from_iterable(zip_longest(*zones))
        names = [gateway.name for gateway in ranked if gateway is not None]
        return names[: max(self._settings.watchers_max, len(zones))]

    def _full_timeout_s(self, count: int) -> float:
        timeout_s = self._settings.timeout_per_watcher_s * count
        bounded_s = max(timeout_s, self._settings.timeout_min_s)
        return min(bounded_s, self._settings.timeout_max_s)
