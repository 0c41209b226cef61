"""Client that requests shares of workspace limits from the holder of a partition.

A partition is a group of workspaces. Its holder is the entry process that divides
their limits into shares and leases these to all entries.
"""

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

__all__ = ["LeasedMeter", "ShareClient", "ShareClientCounters"]

#: Delay before an urgent round, in which first requests of several workspaces
#: are combined.
URGENT_ROUND_DELAY_S = 0.005
#: A rate that shrinks by a smaller factor is reported in the next regular round.
REDUCTION_RATIO_MIN = 1.1

#: Sends a request to the entry process with the given name. Raises
#: `RequestNotSentError` if the request is known not to have arrived, and `LinkError`
#: if no reply arrived.
SendRequest = Callable[[str, ShareRequest], Awaitable[ShareReply]]


@define(eq=False)
class ShareClientCounters:
    """Counters of the requests for shares.

    Parameters
    ----------
    requests : int
        Requests sent.
    failures : int
        Requests that could not be sent or got no reply.
    stale_replies : int
        Replies that were ignored because of an outdated fencing number.
    """

    requests: int = 0
    failures: int = 0
    stale_replies: int = 0


@define(eq=False)
class LeasedMeter:
    """Meter of a workspace together with the lease of its share.

    Parameters
    ----------
    meter : Meter
        Measures and limits the usage.
    fallback : Share
        Share that may be used without a lease.
    fallback_basis : tuple or None
        Limits of the workspace's plan, as a share, and names of the entries among
        which they are divided into fallback shares.
    leased_share : Share
        Share granted most recently.
    expires_at_s : float
        Time at which the lease of this share expires. A new meter starts with an
        empty share and the expiry of the partition's lease. Until then the holder
        may count this entry as active and reserve no fallback share for it, so
        the entry must not use that share.
    denied_until_s : float
        Time until which requesting a larger share is pointless, because the
        holder has just denied it.
    is_first_request : bool
        Whether no share has been requested for the workspace yet.
    """

    meter: Meter
    fallback: Share
    fallback_basis: tuple[Share, tuple[str, ...]] | None = None
    leased_share: Share = NO_SHARE
    expires_at_s: float = float("-inf")
    denied_until_s: float = float("-inf")
    is_first_request: bool = True

    def is_leased(self, now_s: float) -> bool:
        """Return whether the lease of the share is active."""
        return now_s < self.expires_at_s

    def apply(self, now_s: float, fallback_from_s: float) -> None:
        """Apply the leased share, or the fallback share once the lease has expired.

        Before ``fallback_from_s`` a holder may still reserve only the last reported
        usage for this entry and lease the rest of the plan to others, so the share
        is not raised to the fallback share until then.
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
    """Maintain the shares of one partition's workspaces at one entry.

    Parameters
    ----------
    partition : int
        Index of the partition.
    send : callable
        Sends a request for shares to the entry with the given name.
    candidates : callable
        Returns the entries that may hold the partition, in order of preference.
    settings : LimitSettings
        Timing of the requests.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    holder_name : str
        Entry assumed to hold the partition; empty if unknown.
    leased_until_s : float
        Time at which the partition's lease expires.
    fallback_from_s : float
        Time from which the fallback shares may be used without a lease.
    meters : dict
        Meter of each workspace in use, by name.
    counters : ShareClientCounters
        Counters of the requests.
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
        """Entry that receives the next request; empty if there is none."""
        if self.holder_name:
            return self.holder_name
        candidates = self._candidates()
        return candidates[0] if candidates else ""

    def can_admit(self, now_s: float, is_listed: bool) -> bool:
        """Return whether requests may be admitted by lease or fallback share.

        Nothing is admitted before the first round has finished. If its reply is
        lost, the round still ends, but it has blocked the fallback share for one
        lease, in which the holder may count this entry as active and not reserve
        that share.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        is_listed : bool
            Whether this entry is one of those among which the plans are divided
            into fallback shares.
        """
        if not self._has_finished_round:
            return False
        if now_s < self.leased_until_s:
            return True
        return is_listed and now_s >= self.fallback_from_s

    async def wait_for_round(
        self, timeout_s: float, *, is_urgent: bool = False
    ) -> None:
        """Request a round and wait until it has finished or the timeout expires.

        Parameters
        ----------
        timeout_s : float
            Maximum time to wait in seconds.
        is_urgent : bool, default=False
            Whether to skip the minimum interval between rounds. Used for the
            first request of a workspace, whose first token waits for the reply.
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
        """Send periodic requests to the holder until cancelled."""
        while True:
            self._round_requested.clear()
            self._urgent_round_requested.clear()
            await self._run_round()
            self._has_finished_round = True
            done, self._round_done = self._round_done, asyncio.Event()
            done.set()
            await self._wait_for_next_round()

    async def _wait_for_next_round(self) -> None:
        """Wait for the regular interval, or less if a round was requested."""
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
        """Report the demands to the holder and apply the shares that it grants."""
        target = self.target
        if not target:
            return
        demands = dict(self._demands())
        sent_at_s = self._clock()
        fallback_from_s = self.fallback_from_s
        # From now on the holder may rely on the reported usage for one lease.
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
                # An entry that is not the holder does not record the usage.
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
        """Block the fallback share for one lease that starts at the given time."""
        fallback_from_s = lease_start_s + self._settings.lease_s
        self.fallback_from_s = max(self.fallback_from_s, fallback_from_s)

    def _demands(self) -> Iterator[tuple[str, ShareDemand]]:
        """Yield the demand of each workspace and remove the idle ones."""
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
        """Adopt the sender as holder unless its fencing number is outdated."""
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
            # The holder grants more once all entries have reported their shares.
            self._round_requested.set()
        else:
            self.leased_until_s = until_s
            # A new holder may rely on this share for one more lease.
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
            # The holder reserves the larger share until the smaller one is reported.
            self._round_requested.set()

    def _switch_holder(self, holder_name: str) -> None:
        """Send the next request to the given holder or to another candidate."""
        candidates = self._candidates()
        others = [name for name in candidates if name != self.holder_name]
        if not holder_name and others:
            holder_name = others[next(self._switch_count) % len(others)]
        self.holder_name = holder_name


def _is_significant_reduction(held: Share, share: Share) -> bool:
    """Return whether a reduction should be reported to the holder immediately."""
    return (
        held.concurrency > share.concurrency
        or held.requests_per_s > share.requests_per_s * REDUCTION_RATIO_MIN
        or held.tokens_per_s > share.tokens_per_s * REDUCTION_RATIO_MIN
    )
