"""Choose the entries that watch the store, and detect when no updates arrive."""

import asyncio
import random
from collections.abc import Callable, Iterable

import xxhash
from absl import logging
from attrs import frozen

from boragespring.lists.distribution import ListsDistribution
from boragespring.lists.errors import ListsError
from boragespring.lists.watcher import ListsWatcher
from boragespring.store import StoreError
from boragespring.store.instances import Instance

__all__ = ["FollowerSettings", "ListsFollower", "select_upstreams", "select_watchers"]


@frozen
class FollowerSettings:
    """Settings of an entry that follows the lists.

    Parameters
    ----------
    watchers_per_zone : int
        Number of entries in each availability zone that watch the store.
    stale_after_s : float
        Seconds without contact with the store, directly or through peers, after
        which an entry reads the store itself.
    read_interval_s : float
        Mean interval between such reads, in seconds.
    check_interval_s : float
        Interval between checks of whether this entry is a watcher, in seconds.
    """

    watchers_per_zone: int = 2
    stale_after_s: float = 6.0
    read_interval_s: float = 3.0
    check_interval_s: float = 0.5


def select_watchers(
    entries: Iterable[Instance], zone: str, count: int
) -> tuple[str, ...]:
    """Select the entries of a zone that watch the store.

    The selection depends only on the instance list, so that all processes with the
    same list select the same entries.

    Parameters
    ----------
    entries : iterable of Instance
        All known entries.
    zone : str
        Availability zone.
    count : int
        Number of watchers in the zone.

    Returns
    -------
    tuple of str
        Names of the watchers.
    """
    names = [entry.name for entry in entries if entry.availability_zone == zone]
    return tuple(sorted(names, key=_rank)[:count])


def select_upstreams(
    local_name: str, local_zone: str, entries: tuple[Instance, ...], count: int
) -> frozenset[str]:
    """Select the entries from which an entry receives new versions.

    An entry links to the watchers of its zone. A watcher links to one watcher of
    the next zone, so that all entries stay connected even without the store.

    Parameters
    ----------
    local_name, local_zone : str
        Name and availability zone of the entry.
    entries : tuple of Instance
        All known entries.
    count : int
        Number of watchers in each zone.

    Returns
    -------
    frozenset of str
        Names of the entries to link to.
    """
    watchers = select_watchers(entries, local_zone, count)
    if local_name not in watchers:
        return frozenset(watchers)
    zones = sorted({entry.availability_zone for entry in entries})
    next_zone = zones[(zones.index(local_zone) + 1) % len(zones)]
    return frozenset(select_watchers(entries, next_zone, 1))


class ListsFollower:
    """Run the watcher of an entry while the entry is a watcher of its zone.

    Parameters
    ----------
    watcher : ListsWatcher
        Watcher to run.
    distribution : ListsDistribution
        Reports how long ago the store was last known to be reachable.
    is_watcher : callable
        Returns whether this entry is currently a watcher of its zone.
    settings : FollowerSettings or None
        Settings; None for the defaults.
    """

    def __init__(
        self,
        watcher: ListsWatcher,
        distribution: ListsDistribution,
        is_watcher: Callable[[], bool],
        settings: FollowerSettings | None = None,
    ) -> None:
        self._watcher = watcher
        self._distribution = distribution
        self._is_watcher = is_watcher
        self._settings = settings or FollowerSettings()
        self._task: asyncio.Task[None] | None = None
        self.direct_reads = 0

    async def run(self) -> None:
        """Follow the lists until cancelled."""
        try:
            # A starting entry reads the store before it knows its role.
            await self._read_store()
            while True:
                self._update_role()
                if self._task is None and self._is_stale():
                    await self._read_after_delay()
                await asyncio.sleep(self._settings.check_interval_s)
        finally:
            self._stop_watching()

    def _update_role(self) -> None:
        if not self._is_watcher():
            self._stop_watching()
        elif self._task is None:
            logging.info("event=lists_watch_started")
            self._task = asyncio.create_task(self._watcher.run())

    def _stop_watching(self) -> None:
        if self._task is not None:
            logging.info("event=lists_watch_ended")
            self._task.cancel()
            self._task = None

    def _is_stale(self) -> bool:
        return self._distribution.store_age_s > self._settings.stale_after_s

    async def _read_after_delay(self) -> None:
        # The random delay comes before the read, so that entries which detect the
        # same outage at once do not cause a burst of reads.
        await asyncio.sleep(self._settings.read_interval_s * random.uniform(0.5, 1.5))
        if self._is_stale():
            await self._read_store()

    async def _read_store(self) -> None:
        self.direct_reads += 1
        try:
            await self._watcher.refresh()
        except (StoreError, ListsError) as error:
            logging.log_every_n(
                logging.WARNING, "event=lists_read_failed error=%r", 20, str(error)
            )


def _rank(name: str) -> int:
    rank: int = xxhash.xxh3_64_intdigest(name.encode())
    return rank
