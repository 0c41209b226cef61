"""Distribute versions of the lists over the links between processes.

Each process announces its version when a link comes up, when the version changes, and
at regular intervals. A process that is behind pulls from one announcing process at a
time: the missing changes, or a snapshot if the announcing process no longer has them.
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

#: Age in an announcement of a process that has no information from the store.
NO_STORE_CONTACT_S = -1.0


@frozen
class DistributionSettings:
    """Intervals and timeouts of the distribution.

    Parameters
    ----------
    announce_interval_s : float
        Interval between announcements on a link between two entries, in seconds.
    agent_announce_interval_s : float
        Interval between announcements on a link to or from an agent, in seconds.
    pull_timeout_s : float
        Timeout of a pull, in seconds.
    """

    announce_interval_s: float = 2.0
    agent_announce_interval_s: float = 10.0
    pull_timeout_s: float = 3.0


@define
class DistributionCounters:
    """Counts since the start of the process."""

    announcements_received: int = 0
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
    """Announce, serve and pull versions on all links of a process.

    Parameters
    ----------
    replica : ListsReplica
        Replica of this process.
    dispatcher : Dispatcher
        Dispatcher of the process's links, where the handlers are registered.
    is_entry : bool
        Whether this process is an entry.
    settings : DistributionSettings or None
        Intervals and timeouts; None for the defaults.
    clock : callable, default=time.monotonic
        Source of monotonic time in seconds.
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
        self._pull_task: asyncio.Task[None] | None = None
        self._cached_updates: dict[str, ListsUpdate] = {}
        self._last_store_contact_s = float("-inf")
        self.counters = DistributionCounters()
        dispatcher.on_up(self._on_link_up)
        dispatcher.on_down(self._on_link_down)
        dispatcher.on_tick(self._on_tick)
        dispatcher.on(ListsAnnounce, self._handle_announce)
        dispatcher.on_call(ListsPull, self._handle_pull)
        replica.on_change(self._announce_to_all)

    @property
    def store_age_s(self) -> float:
        """Seconds since the last store contact of this process or its peers."""
        return self._clock() - self._last_store_contact_s

    def store_age_or_none(self) -> float | None:
        """Return `store_age_s` rounded for a status page; None without any contact."""
        age_s = self.store_age_s
        return round(age_s, 1) if age_s < float("inf") else None

    def record_store_contact(self) -> None:
        """Record that this process has just received something from the store."""
        self._last_store_contact_s = self._clock()

    def stop(self) -> None:
        """Cancel a pull in progress."""
        if self._pull_task is not None:
            self._pull_task.cancel()

    def _on_link_up(self, link: Link) -> None:
        self._links[link] = _LinkState(next_announce_s=0.0)
        self._announce(link)

    def _on_link_down(self, link: Link) -> None:
        self._links.pop(link, None)

    def _on_tick(self, link: Link) -> None:
        state = self._links.get(link)
        if state is not None and self._clock() >= state.next_announce_s:
            self._announce(link)

    def _announce_to_all(self, _: ListsState) -> None:
        self._cached_updates.clear()
        for link in tuple(self._links):
            if link.is_up:
                self._announce(link)

    def _announce(self, link: Link) -> None:
        is_entry_link = self._is_entry and link.peer.role == InstanceRole.ENTRY
        interval_s = (
            self._settings.announce_interval_s
            if is_entry_link
            else self._settings.agent_announce_interval_s
        )
        self._links[link].next_announce_s = self._clock() + interval_s
        state = self._replica.state
        age_s = (
            self.store_age_s if self.store_age_s < float("inf") else NO_STORE_CONTACT_S
        )
        link.send(ListsAnnounce(state.number, state.change_id, age_s))

    def _handle_announce(self, link: Link, announce: ListsAnnounce) -> None:
        self.counters.announcements_received += 1
        state = self._links.get(link)
        if state is None:
            return
        state.announced = announce
        if announce.store_age_s >= 0:
            contact_s = self._clock() - announce.store_age_s
            self._last_store_contact_s = max(self._last_store_contact_s, contact_s)
        local_number = self._replica.state.number
        if announce.number > local_number and self._pull_task is None:
            self._pull_task = asyncio.create_task(self._pull_until_current())
        elif announce.number < local_number:
            self._announce(link)

    def _select_source(self, failed: set[Link]) -> Link | None:
        """Return the link that announced the newest version ahead of the local one."""
        local_number = self._replica.state.number
        candidates = [
            (state.announced.number, link)
            for link, state in self._links.items()
            if state.announced is not None
            and state.announced.number > local_number
            and link not in failed
            and link.is_up
        ]
        return max(candidates, key=lambda pair: pair[0])[1] if candidates else None

    async def _pull_until_current(self) -> None:
        """Pull until no peer is ahead; a source that yields no progress is skipped."""
        failed: set[Link] = set()
        try:
            while (link := self._select_source(failed)) is not None:
                number = self._replica.state.number
                try:
                    await self._pull_from(link)
                except (LinkError, ListsError) as error:
                    self.counters.failed_pulls += 1
                    logging.warning("event=lists_pull_failed error=%r", str(error))
                if self._replica.state.number == number:
                    failed.add(link)
        finally:
            self._pull_task = None

    async def _pull_from(self, link: Link) -> None:
        state = self._replica.state
        update = await self._request_update(
            link, ListsPull(state.number, state.change_id)
        )
        try:
            self._apply_update(update)
        except ListsCorruptError:
            self._apply_update(await self._request_update(link, ListsPull(0, "")))

    async def _request_update(self, link: Link, pull: ListsPull) -> ListsUpdate:
        return await link.call(pull, ListsUpdate, self._settings.pull_timeout_s)

    def _apply_update(self, update: ListsUpdate) -> None:
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

    async def _handle_pull(self, _: Link, pull: ListsPull) -> ListsUpdate:
        state = self._replica.state
        update = self._cached_updates.get(pull.change_id)
        if update is None:
            update = _build_update(state, pull)
            self._cached_updates[pull.change_id] = update
        return update


def _build_update(state: ListsState, pull: ListsPull) -> ListsUpdate:
    changes = state.changes_since(pull.change_id) if pull.number else None
    is_snapshot = changes is None
    payload = encode_state(state) if changes is None else encode_changes(changes)
    return ListsUpdate(state.number, is_snapshot, state.digest, payload)
