"""Allocation of one workspace's plan among the entries."""

import math
from collections.abc import Callable

from attrs import define, frozen

from boragespring.limits.shares import (
    NO_SHARE,
    Share,
    fallback_shares,
    water_level,
)

__all__ = ["ShareAllocator", "ShareDemand"]

#: Time for which computed fair levels are reused.
FAIR_LEVELS_TTL_S = 0.2
#: Number of steps, each an equal part of the plan, in which spare capacity is
#: distributed.
SPARE_STEPS = 4


@frozen
class ShareDemand:
    """Usage and demand that an entry reports for one workspace.

    Parameters
    ----------
    running : int
        Number of requests that are running at the entry.
    held : Share
        Share that the entry currently applies.
    wanted : Share
        Share that the entry could use.
    """

    running: int
    held: Share
    wanted: Share

    @property
    def is_release(self) -> bool:
        """Whether the entry no longer uses the workspace."""
        uses = self.held.maximum(self.wanted)
        return not self.running and not uses.exceeds(NO_SHARE)


@define
class _Lease:
    """Amount reserved for one entry, its demand and the time of expiry."""

    reserved: Share
    wanted: Share
    expires_at_s: float


@define
class _FairLevels:
    """Division of a plan, cached for a short time.

    Parameters
    ----------
    level : Share
        Maximum that an entry receives of the share it wants.
    spare : Share
        What each entry may receive beyond its demand, up to its fallback share.
    valid_until_s : float
        Time at which the levels must be recomputed.
    """

    level: Share
    spare: Share
    valid_until_s: float


class ShareAllocator:
    """Divide the plan of one workspace into shares for the entries.

    The amount reserved for an entry is the larger of the share that it reports
    to hold and the share that it is granted, because the reply may be lost. It
    shrinks only when the entry reports again. A listed entry that has not sent
    a request within one lease may use its fallback share, so this share stays
    reserved for it.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    lease_s : float
        Duration in seconds for which a share is granted.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        workspace: str,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._workspace = workspace
        self._lease_s = lease_s
        self._clock = clock
        self._plan = NO_SHARE
        self._entries: tuple[str, ...] = ()
        self._active_entries: frozenset[str] = frozenset()
        self._fallback_shares: dict[str, Share] = {}
        self._fallback_total = NO_SHARE
        # Ordered by expiry, because all leases last equally long.
        self._leases: dict[str, _Lease] = {}
        self._reserved_total = NO_SHARE
        self._fair_levels = _FairLevels(NO_SHARE, NO_SHARE, float("-inf"))

    @property
    def reserved(self) -> Share:
        """Total reserved, including the fallback shares of inactive entries."""
        self._evict_expired()
        return self._reserved_total + self._fallback_total

    @property
    def is_idle(self) -> bool:
        """Whether no entry has a lease."""
        self._evict_expired()
        return not self._leases

    def allocate(
        self,
        entry: str,
        demand: ShareDemand,
        plan: Share,
        entries: tuple[str, ...],
        active_entries: frozenset[str],
        is_recovering: bool = False,
    ) -> Share:
        """Grant an entry its share for the next lease.

        Parameters
        ----------
        entry : str
            Name of the requesting entry.
        demand : ShareDemand
            Usage and demand that the entry reports.
        plan : Share
            Limits of the workspace.
        entries : tuple of str
            Names of the listed entries. The same object must be passed while they
            are unchanged.
        active_entries : frozenset of str
            Entries that have sent the holder a request for any workspace within
            one lease. The same object must be passed while they are unchanged.
        is_recovering : bool, default=False
            Whether leases of a previous holder that are unknown here may still be
            active. No entry is then granted more than it already holds.

        Returns
        -------
        Share
            Share granted to the entry.
        """
        self._evict_expired()
        self._update_fallback_shares(plan, entries, active_entries)
        previous = self._remove(entry)
        fallback = self._fallback_shares.get(entry, NO_SHARE)
        # A fallback share that is reserved for this entry is available to it.
        reserved_fallback = NO_SHARE if entry in active_entries else fallback
        free = plan - self._reserved_total - self._fallback_total + reserved_fallback
        wanted = demand.wanted.minimum(plan).maximum(NO_SHARE)
        held = demand.held.maximum(Share(concurrency=demand.running))
        self._add(entry, held, wanted)
        if previous is None or wanted.exceeds(previous.wanted):
            self._fair_levels.valid_until_s = float("-inf")
        # While recovering, the fair level is unknown: an entry keeps what it holds.
        share = demand.held if is_recovering else self._fair_share(wanted, fallback)
        share = share.minimum(free).maximum(NO_SHARE)
        self._remove(entry)
        self._add(entry, held.maximum(share), wanted)
        return share

    def _fair_share(self, wanted: Share, fallback: Share) -> Share:
        """Return the share of an entry under the current fair levels."""
        levels = self._current_levels()
        share = wanted.minimum(levels.level)
        # Unused capacity raises each entry up to its fallback share.
        return share.maximum(fallback.minimum(share + levels.spare))

    def release(self, entry: str) -> None:
        """Release the share of an entry that no longer uses the workspace."""
        self._remove(entry)

    def _evict_expired(self) -> None:
        now_s = self._clock()
        while self._leases:
            name, lease = next(iter(self._leases.items()))
            if lease.expires_at_s > now_s:
                return
            self._remove(name)

    def _add(self, entry: str, reserved: Share, wanted: Share) -> None:
        expires_at_s = self._clock() + self._lease_s
        self._leases[entry] = _Lease(reserved, wanted, expires_at_s)
        self._reserved_total += reserved

    def _remove(self, entry: str) -> _Lease | None:
        lease = self._leases.pop(entry, None)
        if lease is not None:
            self._reserved_total -= lease.reserved
        return lease

    def _update_fallback_shares(
        self, plan: Share, entries: tuple[str, ...], active_entries: frozenset[str]
    ) -> None:
        is_same_plan = entries is self._entries and plan == self._plan
        if is_same_plan and active_entries is self._active_entries:
            return
        if not is_same_plan:
            self._fallback_shares = fallback_shares(plan, self._workspace, entries)
        self._entries, self._plan, self._active_entries = entries, plan, active_entries
        self._fair_levels.valid_until_s = float("-inf")
        self._recompute_totals()

    def _recompute_totals(self) -> None:
        """Recompute the sums so that rounding errors do not accumulate."""
        leases = self._leases.values()
        inactive = (
            share
            for name, share in self._fallback_shares.items()
            if name not in self._active_entries
        )
        self._fallback_total = sum(inactive, NO_SHARE)
        self._reserved_total = sum((lease.reserved for lease in leases), NO_SHARE)

    def _current_levels(self) -> _FairLevels:
        """Return the fair levels, recomputing them if they have expired."""
        now_s = self._clock()
        if now_s >= self._fair_levels.valid_until_s:
            self._recompute_totals()
            demands = [lease.wanted for lease in self._leases.values()]
            total = self._plan - self._fallback_total
            level = _water_levels(demands, total)
            spare = _spare_per_entry(demands, total, self._plan, len(self._entries))
            self._fair_levels = _FairLevels(level, spare, now_s + FAIR_LEVELS_TTL_S)
        return self._fair_levels


def _spare_per_entry(
    demands: list[Share], total: Share, plan: Share, entries: int
) -> Share:
    """Return the unused capacity divided equally among the listed entries.

    The unused capacity is rounded down to a multiple of a fixed fraction of the
    plan, so that small changes in demand do not change the shares of all
    entries.
    """
    if not entries:
        return NO_SHARE
    unused = (total - sum(demands, NO_SHARE)).maximum(NO_SHARE)
    return Share(
        int(_round_down_to_step(unused.concurrency, plan.concurrency) / entries),
        _round_down_to_step(unused.requests_per_s, plan.requests_per_s) / entries,
        # The token rate is consumed by running requests. Spare tokens would admit
        # answers of unknown length that exceed the plan.
        0.0,
    )


def _round_down_to_step(amount: float, total: float) -> float:
    step = total / SPARE_STEPS
    return amount // step * step if step else 0.0


def _water_levels(demands: list[Share], total: Share) -> Share:
    """Return the water-filling level of each limit."""
    slots = water_level((demand.concurrency for demand in demands), total.concurrency)
    return Share(
        # Slots are integers. Rounding up grants the remainder to the entries that
        # send their requests first.
        math.ceil(slots) if slots < float("inf") else total.concurrency,
        water_level(
            (demand.requests_per_s for demand in demands), total.requests_per_s
        ),
        water_level((demand.tokens_per_s for demand in demands), total.tokens_per_s),
    )
