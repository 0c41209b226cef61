"""A holder's account of the shares of one workspace."""

import math
from collections.abc import Callable

from attrs import define, frozen

from boragespring.limits.shares import (
    NO_SHARE,
    Share,
    fallback_shares,
    water_level,
)

__all__ = ["ShareDemand", "ShareAllocator"]

#: The level by which a full plan is divided is computed anew after this time.
FAIR_LEVELS_TTL_S = 0.2
#: Steps in which the unwanted part of a plan is given out.
SPARE_STEPS = 4


@frozen
class ShareDemand:
    """What an entry tells and asks about one workspace.

    Parameters
    ----------
    running : int
        Requests that run there now.
    held : Share
        Share that is in force there now.
    wanted : Share
        Share that it could use.
    """

    running: int
    held: Share
    wanted: Share

    @property
    def is_release(self) -> bool:
        """Whether the entry has no more use for the workspace."""
        uses = self.held.maximum(self.wanted)
        return not self.running and not uses.exceeds(NO_SHARE)


@define
class _Lease:
    reserved: Share
    wanted: Share
    expires_at_s: float


@define
class _FairLevels:
    """How a plan is divided, for a short time.

    Parameters
    ----------
    level : Share
        Most that an entry gets of what it demands.
    spare : Share
        What each entry may have beyond its demands, up to its fallback.
    valid_until_s : float
        End of the time.
    """

    level: Share
    spare: Share
    valid_until_s: float


class ShareAllocator:
    """Shares of one workspace by entry.

    What is reserved for an entry is the larger of the share it says it holds
    and the one it is given, because the reply may be lost; it falls when the
    entry asks again. Listed entries that have not asked within a lease may use
    their fallback, so that this is set aside for them.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    lease_s : float
        Time for which a share is given.
    clock : callable
        Source of time in seconds.
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
        # In order of expiry, as each has the same lease.
        self._leases: dict[str, _Lease] = {}
        self._reserved_total = NO_SHARE
        self._fair_levels = _FairLevels(NO_SHARE, NO_SHARE, float("-inf"))

    @property
    def reserved(self) -> Share:
        """Sum of what is reserved, floors of absent entries included."""
        self._evict_expired()
        return self._reserved_total + self._fallback_total

    @property
    def is_idle(self) -> bool:
        """Whether no entry has a share."""
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
        """Return the share of an entry for the next lease.

        Parameters
        ----------
        entry : str
            Name of the asking entry.
        demand : ShareDemand
            What it tells and asks.
        plan : Share
            Limits of the workspace.
        entries : tuple of str
            Entries that are listed now; the same object while they are the same.
        active_entries : frozenset of str
            Entries that have asked the holder within a lease, for whatever
            workspace; the same object while they are the same.
        is_recovering : bool
            Whether shares of an earlier holder may be in force that are not
            known here; nobody is then given more than it holds.
        """
        self._evict_expired()
        self._update_fallback_shares(plan, entries, active_entries)
        previous = self._remove(entry)
        fallback = self._fallback_shares.get(entry, NO_SHARE)
        # What is set aside for the asking entry itself is free for it.
        own_fallback = NO_SHARE if entry in active_entries else fallback
        free = plan - self._reserved_total - self._fallback_total + own_fallback
        wanted = demand.wanted.minimum(plan).maximum(NO_SHARE)
        held = demand.held.maximum(Share(concurrency=demand.running))
        self._add(entry, held, wanted)
        if previous is None or wanted.exceeds(previous.wanted):
            self._fair_levels.valid_until_s = float("-inf")
        # An entry keeps by right what it holds; the level is not known yet.
        share = demand.held if is_recovering else self._fair_share(wanted, fallback)
        share = share.minimum(free).maximum(NO_SHARE)
        self._remove(entry)
        self._add(entry, held.maximum(share), wanted)
        return share

    def _fair_share(self, wanted: Share, fallback: Share) -> Share:
        levels = self._current_levels()
        share = wanted.minimum(levels.level)
        # What nobody demands lets each entry have up to its fallback at hand.
        return share.maximum(fallback.minimum(share + levels.spare))

    def release(self, entry: str) -> None:
        """Forget the share of an entry that has ended its use."""
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
        """Compute the sums anew, so that rounding does not pile up."""
        leases = self._leases.values()
        inactive = (
            share
            for name, share in self._fallback_shares.items()
            if name not in self._active_entries
        )
        self._fallback_total = sum(inactive, NO_SHARE)
        self._reserved_total = sum((lease.reserved for lease in leases), NO_SHARE)

    def _current_levels(self) -> _FairLevels:
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
    """Return the equal part of what nobody demands, for each listed entry.

    It is taken in steps of a part of the plan, so that small changes of what is
    wanted do not change the shares of all entries.
    """
    if not entries:
        return NO_SHARE
    unused = (total - sum(demands, NO_SHARE)).maximum(NO_SHARE)
    return Share(
        int(_round_down_to_step(unused.concurrency, plan.concurrency) / entries),
        _round_down_to_step(unused.requests_per_s, plan.requests_per_s) / entries,
        # A token rate is paced by the slots that run; spare on top of it would
        # let answers of unknown length start that the plan cannot carry.
        0.0,
    )


def _round_down_to_step(unused: float, total: float) -> float:
    step = total / SPARE_STEPS
    return unused // step * step if step else 0.0


def _water_levels(demands: list[Share], total: Share) -> Share:
    slots = water_level((demand.concurrency for demand in demands), total.concurrency)
    return Share(
        # Slots are total; rounding up lets the rest go to whoever asks first.
        math.ceil(slots) if slots < float("inf") else total.concurrency,
        water_level(
            (demand.requests_per_s for demand in demands), total.requests_per_s
        ),
        water_level((demand.tokens_per_s for demand in demands), total.tokens_per_s),
    )
