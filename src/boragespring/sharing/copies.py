"""Get the store's content from other gateways while the store is away."""

import asyncio
import time
from collections.abc import Callable, Mapping

from attrs import define, frozen

from boragespring.decisions import DecisionLog
from boragespring.links import CallFailedError, Dispatcher, Link, LinkClosedError
from boragespring.sharing.messages import CopyAges, CopyReply, ReadCopy
from boragespring.store import KeyValue
from boragespring.store.follower import PrefixFollower

__all__ = ["CopySharing", "CopySharingSettings"]


@frozen
class CopySharingSettings:
    """When copies of others are asked for.

    Parameters
    ----------
    own_age_max_s : float
        Age of the own copy from which those of others are preferred.
    gain_min_s : float
        By how much another copy must be more recent.
    look_interval_s : float
        Time between two looks at the ages.
    call_timeout_s : float
        Longest wait for a copy.
    """

    own_age_max_s: float = 0.8
    gain_min_s: float = 0.3
    look_interval_s: float = 0.1
    call_timeout_s: float = 0.5


@define
class _Offer:
    """What another gateway told of its copy of one prefix."""

    link: Link
    revision: int
    complete_at_s: float


class CopySharing:
    """Tell the age of own copies; take over those that are more recent.

    Parameters
    ----------
    followers : mapping of str to PrefixFollower
        Followers of the store by their prefix.
    dispatcher : Dispatcher
        Handlers of links.
    settings : CopySharingSettings
        Ages and waits.
    log : DecisionLog
        Where copies that are taken over are told.
    """

    def __init__(
        self,
        followers: Mapping[str, PrefixFollower],
        dispatcher: Dispatcher,
        settings: CopySharingSettings,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._followers = followers
        self._settings = settings
        self._log = log
        self._clock = clock
        self._offers: dict[tuple[str, str], _Offer] = {}
        dispatcher.on(CopyAges, self._note_ages)
        dispatcher.on_call(ReadCopy, self._answer)
        dispatcher.on_tick(self._tell_ages)
        dispatcher.on_down(self._forget)

    async def run(self) -> None:
        """Look at the ages until cancelled."""
        while True:
            await asyncio.sleep(self._settings.look_interval_s)
            for prefix, follower in self._followers.items():
                offer = self._better_offer(prefix, follower)
                if offer is not None:
                    await self._take_over(prefix, follower, offer)

    def _better_offer(self, prefix: str, follower: PrefixFollower) -> _Offer | None:
        own_at_s = follower.complete_at_s
        if self._clock() - own_at_s < self._settings.own_age_max_s:
            return None
        offers = [offer for (_, name), offer in self._offers.items() if name == prefix]
        best = max(offers, key=lambda offer: offer.complete_at_s, default=None)
        if best is None or best.complete_at_s - own_at_s < self._settings.gain_min_s:
            return None
        return best

    async def _take_over(
        self, prefix: str, follower: PrefixFollower, offer: _Offer
    ) -> None:
        if offer.revision <= follower.revision and follower.revision:
            follower.confirm_copy(offer.revision, offer.complete_at_s)
            return
        begun_s = self._clock()
        try:
            reply = await offer.link.call(
                ReadCopy(prefix), CopyReply, self._settings.call_timeout_s
            )
        except (LinkClosedError, CallFailedError) as error:
            self._log.belief("copy_refused", prefix=prefix, reason=str(error))
            return
        items = [KeyValue(key, value, 0, rev) for key, value, rev in reply.items]
        complete_at_s = begun_s - reply.age_ms / 1000
        follower.take_copy(items, reply.revision, complete_at_s)
        self._log.belief(
            "copy_taken",
            prefix=prefix,
            peer=offer.link.peer.name,
            revision=reply.revision,
            age_ms=reply.age_ms,
        )

    def _note_ages(self, link: Link, told: CopyAges) -> None:
        now_s = self._clock()
        for prefix, revision, age_ms in told.copies:
            self._offers[link.peer.name, prefix] = _Offer(
                link, revision, now_s - age_ms / 1000
            )

    def _forget(self, link: Link) -> None:
        gone = [place for place, offer in self._offers.items() if offer.link is link]
        for place in gone:
            del self._offers[place]

    def _tell_ages(self, link: Link) -> None:
        now_s = self._clock()
        link.send(
            CopyAges(
                [
                    [prefix, follower.revision, _age_ms(follower, now_s)]
                    for prefix, follower in self._followers.items()
                    if follower.revision
                ]
            )
        )

    async def _answer(self, _: Link, call: ReadCopy) -> CopyReply:
        follower = self._followers[call.prefix]
        rows = [[item.key, item.value, item.mod_revision] for item in follower.items]
        return CopyReply(follower.revision, _age_ms(follower, self._clock()), rows)


def _age_ms(follower: PrefixFollower, now_s: float) -> int:
    return round((now_s - follower.complete_at_s) * 1000)
