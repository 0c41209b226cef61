"""Ask the holder of one partition for shares."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterator

from absl import logging
from attrs import define

from boragespring.limits.allocator import ShareDemand
from boragespring.limits.errors import RequestNotSentError
from boragespring.limits.holder import LimitSettings
from boragespring.limits.messages import (
    ShareReply,
    ShareRequest,
    pack_demand,
    unpack_share,
)
from boragespring.limits.meter import Meter
from boragespring.limits.shares import NO_SHARE, Share
from boragespring.links import LinkError

__all__ = ["ShareClientCounters", "LeasedMeter", "ShareClient"]

#: First demands of several workspaces within this time go together.
URGENT_ROUND_DELAY_S = 0.005
#: Rates that shrink by less are told with the next regular round.
REDUCTION_RATIO_MIN = 1.1

#: Sends a request to an entry by its name; raises `RequestNotSentError` when it
#: surely did not arrive, and `LinkError` when no reply came.
SendRequest = Callable[[str, ShareRequest], Awaitable[ShareReply]]


@define(eq=False)
class ShareClientCounters:
    """Counts of requests for shares."""

    requests: int = 0
    failures: int = 0
    stale_replies: int = 0


@define(eq=False)
class LeasedMeter:
    """Meter of a workspace with the lease of its share.

    Parameters
    ----------
    meter : Meter
        Counts and limits the use.
    fallback : Share
        What may be used without a share.
    fallback_basis : tuple or None
        Plan and entries that the fallback was worked out from.
    leased_share : Share
        Share last given.
    expires_at_s : float
        End of its lease. An entry that a holder knows has no share of what it
        has not asked for, and not its fallback.
    denied_until_s : float
        Until then asking for more brings nothing.
    is_first_request : bool
        Whether no request has asked for a share yet.
    """

    meter: Meter
    fallback: Share
    fallback_basis: tuple[Share, tuple[str, ...]] | None = None
    leased_share: Share = NO_SHARE
    expires_at_s: float = float("-inf")
    denied_until_s: float = float("-inf")
    is_first_request: bool = True

    def is_leased(self, now_s: float) -> bool:
        """Tell whether a share of a holder is in force."""
        return now_s < self.expires_at_s

    def apply(self, now_s: float, fallback_from_s: float) -> None:
        """Work by the share, or by the fallback when its lease has ended.

        Until ``fallback_from_s`` a holder may reckon with what was told to it, so
        that nothing is raised to the fallback before.
        """
        if self.is_leased(now_s):
            share = self.leased_share
        elif now_s < fallback_from_s:
            share = self.meter.share.minimum(self.fallback)
        else:
            share = self.fallback
        if share != self.meter.share:
            self.meter.set_share(share)


class ShareClient:
    """Keeps the shares of one partition's workspaces in one entry.

    Parameters
    ----------
    partition : int
        The partition.
    send : callable
        Sends a request to an entry.
    candidates : callable
        Returns the entries that may hold the partition, the likeliest first.
    settings : LimitSettings
        Times.
    clock : callable
        Source of time in seconds.
    """

    def __init__(
        self,
        partition: int,
        send: SendRequest,
        candidates: Callable[[], tuple[str, ...]],
        settings: LimitSettings,
        clock: Callable[[], float],
    ) -> None:
        self._partition = partition
        self._send = send
        self._candidates = candidates
        self._settings = settings
        self._clock = clock
        self._sequences = itertools.count(1)
        self._switch_count = itertools.count()
        self._highest_fence = 0
        self._has_finished_round = False
        self._round_requested = asyncio.Event()
        self._urgent_round_requested = asyncio.Event()
        self._round_done = asyncio.Event()
        self.holder_name = ""
        self.leased_until_s = float("-inf")
        self.fallback_from_s = float("-inf")
        self.meters: dict[str, LeasedMeter] = {}
        self.counters = ShareClientCounters()

    @property
    def target(self) -> str:
        """Entry that is asked next; empty for none."""
        if self.holder_name:
            return self.holder_name
        candidates = self._candidates()
        return candidates[0] if candidates else ""

    def can_admit(self, now_s: float, is_listed: bool) -> bool:
        """Tell whether a share is in force, or a listed entry may use its fallback.

        Neither is known before the first round: its reply may be lost, and
        then the holder may reckon with an entry that holds nothing.
        """
        if not self._has_finished_round:
            return False
        if now_s < self.leased_until_s:
            return True
        return is_listed and now_s >= self.fallback_from_s

    async def wait_for_round(
        self, timeout_s: float, *, is_urgent: bool = False
    ) -> None:
        """Ask soon and wait for the reply, at most so long.

        A workspace's first demand does not wait for the usual pause, since its
        first token waits for the reply.
        """
        if is_urgent:
            self._urgent_round_requested.set()
        self._round_requested.set()
        try:
            async with asyncio.timeout(timeout_s):
                await self._round_done.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Ask again and again until cancelled."""
        while True:
            self._round_requested.clear()
            self._urgent_round_requested.clear()
            await self._run_round()
            self._has_finished_round = True
            done, self._round_done = self._round_done, asyncio.Event()
            done.set()
            await self._wait_for_next_round()

    async def _wait_for_next_round(self) -> None:
        try:
            async with asyncio.timeout(self._settings.renew_interval_min_s):
                await self._urgent_round_requested.wait()
        except TimeoutError:
            pass
        else:
            await asyncio.sleep(URGENT_ROUND_DELAY_S)
            return
        remaining_s = (
            self._settings.renew_interval_s - self._settings.renew_interval_min_s
        )
        try:
            async with asyncio.timeout(max(remaining_s, 0.0)):
                await self._round_requested.wait()
        except TimeoutError:
            return

    async def _run_round(self) -> None:
        target = self.target
        if not target:
            return
        demands = dict(self._demands())
        sent_at_s = self._clock()
        fallback_from_s = self.fallback_from_s
        # From now on the holder may count on what it is told, for one lease.
        self._defer_fallback(sent_at_s + self._settings.call_timeout_s)
        request = ShareRequest(
            self._partition,
            next(self._sequences),
            [pack_demand(name, demand) for name, demand in demands.items()],
        )
        self.counters.requests += 1
        try:
            reply = await self._send(target, request)
            if not reply.fence:
                # An entry that is no holder reckons with nothing.
                self.fallback_from_s = fallback_from_s
                self._switch_holder(reply.holder_name)
            elif self._accept_fence(reply):
                if reply.is_recovering:
                    self.fallback_from_s = fallback_from_s
                self._apply_reply(reply, demands, sent_at_s)
        except RequestNotSentError:
            self.fallback_from_s = fallback_from_s
            self.counters.failures += 1
            self._switch_holder("")
        except LinkError as error:
            self.counters.failures += 1
            self._switch_holder("")
            logging.log_every_n(
                logging.INFO, "event=limit_holder_silent error=%r", 50, str(error)
            )

    def _defer_fallback(self, lease_start_s: float) -> None:
        fallback_from_s = lease_start_s + self._settings.lease_s
        self.fallback_from_s = max(self.fallback_from_s, fallback_from_s)

    def _demands(self) -> Iterator[tuple[str, ShareDemand]]:
        now_s = self._clock()
        for name, leased_meter in list(self.meters.items()):
            meter = leased_meter.meter
            leased_meter.apply(now_s, self.fallback_from_s)
            is_idle = (
                not meter.running
                and now_s - meter.used_at_s > self._settings.idle_timeout_s
            )
            if is_idle:
                del self.meters[name]
                yield name, ShareDemand(0, NO_SHARE, NO_SHARE)
            else:
                yield (
                    name,
                    ShareDemand(meter.running, meter.share, meter.wanted_share()),
                )

    def _accept_fence(self, reply: ShareReply) -> bool:
        if reply.fence < self._highest_fence:
            self.counters.stale_replies += 1
            self._switch_holder("")
            return False
        self._highest_fence = reply.fence
        self.holder_name = reply.holder_name
        return True

    def _apply_reply(
        self, reply: ShareReply, demands: dict[str, ShareDemand], sent_at_s: float
    ) -> None:
        until_s = sent_at_s + self._settings.lease_s - self._settings.margin_s
        is_reduced = False
        if reply.is_recovering:
            # The holder gives more once it knows what all entries hold.
            self._round_requested.set()
        else:
            self.leased_until_s = until_s
            # Another holder may reckon with this share for one lease more.
            self._defer_fallback(until_s)
        for packed in reply.shares:
            name, share = unpack_share(packed)
            leased_meter = self.meters.get(name)
            if leased_meter is None or name not in demands:
                continue
            leased_meter.leased_share, leased_meter.expires_at_s = share, until_s
            now_s = self._clock()
            leased_meter.apply(now_s, self.fallback_from_s)
            if demands[name].wanted.exceeds(share):
                leased_meter.denied_until_s = (
                    now_s + self._settings.renew_interval_min_s
                )
            is_reduced = is_reduced or _is_significant_reduction(
                demands[name].held, share
            )
        if is_reduced:
            # The holder counts the larger share until it is told otherwise.
            self._round_requested.set()

    def _switch_holder(self, holder_name: str) -> None:
        candidates = self._candidates()
        others = [name for name in candidates if name != self.holder_name]
        if not holder_name and others:
            holder_name = others[next(self._switch_count) % len(others)]
        self.holder_name = holder_name


def _is_significant_reduction(held: Share, share: Share) -> bool:
    """Tell whether a smaller share is worth telling the holder at once."""
    return (
        held.concurrency > share.concurrency
        or held.requests_per_s > share.requests_per_s * REDUCTION_RATIO_MIN
        or held.tokens_per_s > share.tokens_per_s * REDUCTION_RATIO_MIN
    )
