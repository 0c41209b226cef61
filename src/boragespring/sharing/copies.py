"""Hand the store's content on between gateways.

Those that watch hand on each change; a copy of another gateway is taken over
where changes are missing, or while the store is away.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable

from attrs import define, frozen

from boragespring.decisions import DecisionLog
from boragespring.links import CallFailedError, Dispatcher, Link, LinkClosedError
from boragespring.sharing.messages import CopyAge, CopyReply, ReadCopy, StoreChanges
from boragespring.store import KeyValue
from boragespring.store.follower import PrefixFollower
from boragespring.store.store import WatchBatch, WatchEvent

__all__ = ["CopySharing", "CopySharingSettings"]


@frozen
class CopySharingSettings:
    """When copies of others are asked for.

    Parameters
    ----------
    age_max_s : float
        Age of the own copy from which those of others are preferred.
    lost_age_max_s : float
        The same while the store does not answer this gateway.
    gain_min_s : float
        By how much another copy must be more recent.
    look_interval_s : float
        Time between two looks at the ages.
    call_timeout_s : float
        Longest wait for a copy.
    """

    age_max_s: float = 2.4
    lost_age_max_s: float = 0.8
    gain_min_s: float = 0.3
    look_interval_s: float = 0.1
    call_timeout_s: float = 0.5


@define
class _Offer:
    """What another gateway told of its copy."""

    link: Link
    content_revision: int
    complete_at_s: float


class CopySharing:
    """Tell the age of the own copy; take over one that is more recent.

    Parameters
    ----------
    follower : PrefixFollower
        Follower of the store.
    dispatcher : Dispatcher
        Handlers of links.
    links : callable
        Returns the open links to other gateways.
    settings : CopySharingSettings
        Ages and waits.
    log : DecisionLog
        Where copies that are taken over are told.
    """

    def __init__(
        self,
        follower: PrefixFollower,
        dispatcher: Dispatcher,
        links: Callable[[], list[Link]],
        settings: CopySharingSettings,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._follower = follower
        self._links = links
        self._told_answer_at_s = float("-inf")
        #: Whether changes that another gateway handed on are missing here.
        self._has_gap = False
        self._settings = settings
        self._log = log
        self._clock = clock
        self._offers: dict[str, _Offer] = {}
        dispatcher.on(CopyAge, self._note_age)
        dispatcher.on(StoreChanges, self._take_changes)
        dispatcher.on_call(ReadCopy, self._answer)
        dispatcher.on_tick(self._tell_age)
        dispatcher.on_down(self._forget)
        follower.batch_hooks.append(self._hand_on)

    async def run(self) -> None:
        """Look at the ages until cancelled."""
        while True:
            await asyncio.sleep(self._settings.look_interval_s)
            self._tell_answer()
            offer = self._better_offer()
            if offer is not None:
                await self._take_over(offer)

    def _tell_answer(self) -> None:
        """Tell the others at once that the store has answered here."""
        if self._follower.last_reply_at_s <= self._told_answer_at_s:
            return
        self._told_answer_at_s = self._follower.last_reply_at_s
        for link in self._links():
            with contextlib.suppress(LinkClosedError):
                self._tell_age(link)

    def _better_offer(self) -> _Offer | None:
        offers = self._offers.values()
        best = max(offers, key=lambda offer: offer.complete_at_s, default=None)
        if best is None:
            return None
        is_lost = self._follower.is_store_lost or self._has_gap
        if is_lost and best.content_revision > self._follower.content_revision:
            return best
        own_at_s = self._follower.complete_at_s
        is_recent = self._clock() - own_at_s < self._age_max_s()
        has_gain = best.complete_at_s - own_at_s >= self._settings.gain_min_s
        return best if has_gain and not is_recent else None

    def _age_max_s(self) -> float:
        is_lost = self._follower.is_store_lost
        return self._settings.lost_age_max_s if is_lost else self._settings.age_max_s

    async def _take_over(self, offer: _Offer) -> None:
        if offer.content_revision == self._follower.content_revision:
            self._follower.confirm_snapshot(offer.content_revision, offer.complete_at_s)
            return
        begun_s = self._clock()
        try:
            reply = await offer.link.call(
                ReadCopy(), CopyReply, self._settings.call_timeout_s
            )
        except (LinkClosedError, CallFailedError) as error:
            self._log.belief("copy_refused", reason=str(error))
            return
        items = [KeyValue(key, value, 0, rev) for key, value, rev in reply.items]
        complete_at_s = begun_s - reply.age_ms / 1000
        self._has_gap = False
        self._follower.apply_peer_snapshot(
            items, reply.revision, reply.content_revision, complete_at_s
        )
        self._log.belief(
            "copy_taken",
            peer=offer.link.peer.name,
            revision=reply.revision,
            age_ms=reply.age_ms,
        )

    def _hand_on(self, after_revision: int, batch: WatchBatch) -> None:
        rows = [
            [event.key, event.item.value if event.item else None, event.revision]
            for event in batch.events
        ]
        changes = StoreChanges(after_revision, batch.revision, rows)
        for link in self._links():
            with contextlib.suppress(LinkClosedError):
                link.send(changes)

    def _take_changes(self, _: Link, told: StoreChanges) -> None:
        events = tuple(
            WatchEvent(
                key,
                None if value is None else KeyValue(key, value, 0, revision),
                revision,
            )
            for key, value, revision in told.rows
        )
        batch = WatchBatch(told.revision, events)
        self._has_gap |= not self._follower.apply_peer_batch(told.after_revision, batch)

    def _note_age(self, link: Link, told: CopyAge) -> None:
        complete_at_s = self._clock() - told.age_ms / 1000
        self._offers[link.peer.name] = _Offer(
            link, told.content_revision, complete_at_s
        )
        self._follower.confirm_snapshot(told.content_revision, complete_at_s)

    def _forget(self, link: Link) -> None:
        offer = self._offers.get(link.peer.name)
        if offer is not None and offer.link is link:
            del self._offers[link.peer.name]

    def _tell_age(self, link: Link) -> None:
        if self._follower.revision:
            link.send(CopyAge(self._follower.content_revision, self._age_ms()))

    async def _answer(self, _: Link, __: ReadCopy) -> CopyReply:
        items = self._follower.items
        rows = [[item.key, item.value, item.mod_revision] for item in items]
        return CopyReply(
            self._follower.revision,
            self._follower.content_revision,
            self._age_ms(),
            rows,
        )

    def _age_ms(self) -> int:
        return round((self._clock() - self._follower.complete_at_s) * 1000)
