"""Spread versions of the lists over the links between processes.

Each process announces its version when a link comes up, when the version
changes, and now and then. A process that is behind pulls from one announcer at
a time: the changes in between, or a full copy when those are gone.
"""

import asyncio
import time
from collections.abc import Callable

from absl import logging
from attrs import define, frozen

from boragespring.links import Dispatcher, Link, LinkError
from boragespring.lists.codec import (
    decode_changes,
    decode_state,
    encode_changes,
    encode_state,
)
from boragespring.lists.errors import ListsCorruptError, ListsError
from boragespring.lists.messages import ListsAnnounce, ListsPull, ListsUpdate
from boragespring.lists.replica import ListsReplica
from boragespring.lists.state import ListsState
from boragespring.store.instances import InstanceRole

__all__ = ["DistributionCounters", "DistributionSettings", "ListsDistribution"]

#: Age that an announcement carries when the store was never heard of.
NEVER_HEARD_S = -1.0


@frozen
class DistributionSettings:
    """Times of the distribution over links.

    Parameters
    ----------
    announce_interval_s : float
        Time between two announcements on a link to an entry.
    agent_announce_interval_s : float
        The same on a link to or from an agent.
    pull_timeout_s : float
        Longest wait for one update.
    """

    announce_interval_s: float = 2.0
    agent_announce_interval_s: float = 10.0
    pull_timeout_s: float = 3.0


@define
class DistributionCounters:
    """Counts since the start of the process."""

    announces_received: int = 0
    deltas_received: int = 0
    snapshots_received: int = 0
    delta_bytes: int = 0
    snapshot_bytes: int = 0
    failed_pulls: int = 0


@define
class _LinkState:
    next_announce_s: float
    announced: ListsAnnounce | None = None


class ListsDistribution:
    """Announces, serves and pulls versions on all links of a process.

    Parameters
    ----------
    replica : ListsReplica
        Version in force here.
    dispatcher : Dispatcher
        Handlers of the process's links.
    is_entry : bool
        Whether this process is an entry.
    settings : DistributionSettings or None
        Times; None for the defaults.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        replica: ListsReplica,
        dispatcher: Dispatcher,
        is_entry: bool,
        settings: DistributionSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._replica = replica
        self._is_entry = is_entry
        self._settings = settings or DistributionSettings()
        self._clock = clock
        self._links: dict[Link, _LinkState] = {}
        self._pull: asyncio.Task[None] | None = None
        self._served: dict[str, ListsUpdate] = {}
        self._store_heard_s = float("-inf")
        self.counters = DistributionCounters()
        dispatcher.on_up(self._take_up)
        dispatcher.on_down(self._take_down)
        dispatcher.on_tick(self._tick)
        dispatcher.on(ListsAnnounce, self._take_announce)
        dispatcher.on_call(ListsPull, self._answer_pull)
        replica.on_change(self._spread)

    @property
    def store_age_s(self) -> float:
        """Time since this process, or one that told it, heard from the store."""
        return self._clock() - self._store_heard_s

    def store_age_or_none(self) -> float | None:
        """Return the same for a status page; None if it was never heard."""
        age_s = self.store_age_s
        return round(age_s, 1) if age_s < float("inf") else None

    def record_store_contact(self) -> None:
        """Note that this process's own watch has just delivered something."""
        self._store_heard_s = self._clock()

    def stop(self) -> None:
        """End a pull under way."""
        if self._pull is not None:
            self._pull.cancel()

    def _take_up(self, link: Link) -> None:
        self._links[link] = _LinkState(next_announce_s=0.0)
        self._announce(link)

    def _take_down(self, link: Link) -> None:
        self._links.pop(link, None)

    def _tick(self, link: Link) -> None:
        state = self._links.get(link)
        if state is not None and self._clock() >= state.next_announce_s:
            self._announce(link)

    def _spread(self, _: ListsState) -> None:
        self._served.clear()
        for link in tuple(self._links):
            if link.is_up:
                self._announce(link)

    def _announce(self, link: Link) -> None:
        entry_link = self._is_entry and link.peer.role == InstanceRole.ENTRY
        interval_s = (
            self._settings.announce_interval_s
            if entry_link
            else self._settings.agent_announce_interval_s
        )
        self._links[link].next_announce_s = self._clock() + interval_s
        state = self._replica.state
        age_s = self.store_age_s if self.store_age_s < float("inf") else NEVER_HEARD_S
        link.send(ListsAnnounce(state.number, state.change_id, age_s))

    def _take_announce(self, link: Link, announce: ListsAnnounce) -> None:
        self.counters.announces_received += 1
        state = self._links.get(link)
        if state is None:
            return
        state.announced = announce
        if announce.store_age_s >= 0:
            heard_s = self._clock() - announce.store_age_s
            self._store_heard_s = max(self._store_heard_s, heard_s)
        mine = self._replica.state.number
        if announce.number > mine and self._pull is None:
            self._pull = asyncio.create_task(self._pull_all())
        elif announce.number < mine:
            self._announce(link)

    def _best_source(self, failed: set[Link]) -> Link | None:
        """Return the link with the newest announcement that is ahead of us."""
        mine = self._replica.state.number
        ahead = [
            (state.announced.number, link)
            for link, state in self._links.items()
            if state.announced is not None
            and state.announced.number > mine
            and link not in failed
            and link.is_up
        ]
        return max(ahead, key=lambda pair: pair[0])[1] if ahead else None

    async def _pull_all(self) -> None:
        """Pull until nobody is ahead; each source may fail once."""
        failed: set[Link] = set()
        try:
            while (link := self._best_source(failed)) is not None:
                number = self._replica.state.number
                try:
                    await self._pull_from(link)
                except (LinkError, ListsError) as error:
                    self.counters.failed_pulls += 1
                    logging.warning("event=lists_pull_failed error=%r", str(error))
                if self._replica.state.number == number:
                    failed.add(link)
        finally:
            self._pull = None

    async def _pull_from(self, link: Link) -> None:
        state = self._replica.state
        update = await self._ask(link, ListsPull(state.number, state.change_id))
        try:
            self._take_update(update)
        except ListsCorruptError:
            self._take_update(await self._ask(link, ListsPull(0, "")))

    async def _ask(self, link: Link, pull: ListsPull) -> ListsUpdate:
        return await link.call(pull, ListsUpdate, self._settings.pull_timeout_s)

    def _take_update(self, update: ListsUpdate) -> None:
        if update.number <= self._replica.state.number:
            return
        if update.is_snapshot:
            self.counters.snapshots_received += 1
            self.counters.snapshot_bytes += len(update.payload)
            self._replica.offer(decode_state(update.payload))
            return
        self.counters.deltas_received += 1
        self.counters.delta_bytes += len(update.payload)
        self._replica.offer_changes(decode_changes(update.payload), update.digest)

    async def _answer_pull(self, _: Link, pull: ListsPull) -> ListsUpdate:
        state = self._replica.state
        update = self._served.get(pull.change_id)
        if update is None:
            update = _update_for(state, pull)
            self._served[pull.change_id] = update
        return update


def _update_for(state: ListsState, pull: ListsPull) -> ListsUpdate:
    changes = state.changes_since(pull.change_id) if pull.number else None
    is_snapshot = changes is None
    payload = encode_state(state) if changes is None else encode_changes(changes)
    return ListsUpdate(state.number, is_snapshot, state.digest, payload)
