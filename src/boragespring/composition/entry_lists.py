"""Build the components by which an entry follows and distributes the lists."""

import asyncio
from collections.abc import Callable, Iterable

from boragespring.links import LinkContext
from boragespring.lists import ListsReplica
from boragespring.lists.distribution import ListsDistribution
from boragespring.lists.follower import (
    FollowerSettings,
    ListsFollower,
    select_upstreams,
    select_watchers,
)
from boragespring.lists.watcher import ListsWatcher
from boragespring.membership.entry_peers import EntryPeers
from boragespring.settings import EntrySettings
from boragespring.store import Instance, KeyValueStore

__all__ = ["EntryLists"]

#: Interval at which the links to other entries follow the instance list.
REFRESH_INTERVAL_S = 0.5


class EntryLists:
    """Follow the lists, and maintain the links to other entries.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    store : KeyValueStore
        The platform's store.
    instances : callable
        Returns the instances of the current instance list.
    context : LinkContext
        Context shared by all links of the process.

    Attributes
    ----------
    replica : ListsReplica
        Active lists.
    peers : EntryPeers
        Links to the other entries.
    distribution : ListsDistribution
        Exchanges the lists with linked entries and agents.
    watcher : ListsWatcher
        Watches the store for changes of the lists.
    follower : ListsFollower
        Keeps the lists up to date, from the store or from other entries.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: KeyValueStore,
        instances: Callable[[], Iterable[Instance]],
        context: LinkContext,
    ) -> None:
        self._name = settings.name
        self._zone = settings.placement.availability_zone
        self._instances = instances
        self._follower_settings = FollowerSettings()
        self.replica = ListsReplica()
        self.peers = EntryPeers(context)
        self.peers.add_selector(self._upstreams)
        self.distribution = ListsDistribution(
            self.replica, context.dispatcher, is_entry=True
        )
        self.watcher = ListsWatcher(
            store, self.replica, on_store_contact=self.distribution.record_store_contact
        )
        self.follower = ListsFollower(
            self.watcher, self.distribution, self._is_watcher, self._follower_settings
        )

    async def run(self) -> None:
        """Keep the lists and the links to other entries up to date until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.follower.run())
                group.create_task(self._refresh())
        finally:
            self.distribution.stop()
            self.peers.stop()

    def status(self) -> dict[str, object]:
        """Return the state of the lists for the status page."""
        counters = self.replica.counters
        return {
            "version": self.replica.state.number,
            "change_id": self.replica.state.change_id,
            "store_age_s": self.distribution.store_age_or_none(),
            "watches_store": self._is_watcher(),
            "stale_refused": counters.stale_refused,
            "forks_refused": counters.forks_refused,
            "store_step_backs": self.watcher.counters.revision_decreases,
            "restores_written": self.watcher.counters.restores_written,
        }

    async def _refresh(self) -> None:
        while True:
            self.peers.apply_instances(tuple(self._instances()))
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def _is_watcher(self) -> bool:
        count = self._follower_settings.watchers_per_zone
        return self._name in select_watchers(self.peers.entries, self._zone, count)

    def _upstreams(self) -> frozenset[str]:
        count = self._follower_settings.watchers_per_zone
        return select_upstreams(self._name, self._zone, self.peers.entries, count)
