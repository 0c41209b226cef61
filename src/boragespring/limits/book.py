"""A holder's account of the shares of one workspace."""

import math
from collections.abc import Callable

from attrs import define, frozen

from boragespring.limits.shares import (
    NO_SHARE,
    Share,
    floors_of,
    water_level,
)

__all__ = ["ShareAsk", "ShareBook"]

#: The level by which a full plan is divided is computed anew after this time.
LEVEL_VALID_S = 0.2
#: Steps in which the unwanted part of a plan is given out.
SPARE_STEPS = 4


@frozen
class ShareAsk:
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
        uses = self.held.most(self.wanted)
        return not self.running and not uses.exceeds(NO_SHARE)


@define
class _Holding:
    reserved: Share
    wanted: Share
    until_s: float


@define
class _Levels:
    """How a plan is divided, for a short time.

    Parameters
    ----------
    share : Share
        Most that an entry gets of what it wants.
    spare : Share
        What each entry may have beyond its wants, up to its floor.
    valid_until_s : float
        End of the time.
    """

    share: Share
    spare: Share
    valid_until_s: float


class ShareBook:
    """Shares of one workspace by entry.

    What is reserved for an entry is the larger of the share it says it holds
    and the one it is given, because the reply may be lost; it falls when the
    entry asks again. Listed entries that have not asked within a lease may use
    their floor, so that this is set aside for them.

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
        self._present: frozenset[str] = frozenset()
        self._floors: dict[str, Share] = {}
        self._floors_total = NO_SHARE
        # In order of expiry, as each has the same lease.
        self._holdings: dict[str, _Holding] = {}
        self._reserved_total = NO_SHARE
        self._levels = _Levels(NO_SHARE, NO_SHARE, float("-inf"))

    @property
    def reserved(self) -> Share:
        """Sum of what is reserved, floors of absent entries included."""
        self._drop_expired()
        return self._reserved_total + self._floors_total

    @property
    def is_idle(self) -> bool:
        """Whether no entry has a share."""
        self._drop_expired()
        return not self._holdings

    def give(
        self,
        entry: str,
        ask: ShareAsk,
        plan: Share,
        entries: tuple[str, ...],
        present: frozenset[str],
        is_quiet: bool = False,
    ) -> Share:
        """Return the share of an entry for the next lease.

        Parameters
        ----------
        entry : str
            Name of the asking entry.
        ask : ShareAsk
            What it tells and asks.
        plan : Share
            Limits of the workspace.
        entries : tuple of str
            Entries that are listed now; the same object while they are the same.
        present : frozenset of str
            Entries that have asked the holder within a lease, for whatever
            workspace; the same object while they are the same.
        is_quiet : bool
            Whether shares of an earlier holder may be in force that are not
            known here; nobody is then given more than it holds.
        """
        self._drop_expired()
        self._note_floors(plan, entries, present)
        before = self._remove(entry)
        floor = self._floors.get(entry, NO_SHARE)
        # What is set aside for the asking entry itself is free for it.
        own_part = NO_SHARE if entry in present else floor
        free = plan - self._reserved_total - self._floors_total + own_part
        wanted = ask.wanted.least(plan).most(NO_SHARE)
        held = ask.held.most(Share(concurrency=ask.running))
        self._add(entry, held, wanted)
        if before is None or wanted.exceeds(before.wanted):
            self._levels.valid_until_s = float("-inf")
        # An entry keeps by right what it holds; the level is not known yet.
        share = ask.held if is_quiet else self._levelled(wanted, floor)
        share = share.least(free).most(NO_SHARE)
        self._remove(entry)
        self._add(entry, held.most(share), wanted)
        return share

    def _levelled(self, wanted: Share, floor: Share) -> Share:
        levels = self._level()
        share = wanted.least(levels.share)
        # What nobody wants lets each entry have up to its floor at hand.
        return share.most(floor.least(share + levels.spare))

    def release(self, entry: str) -> None:
        """Forget the share of an entry that has ended its use."""
        self._remove(entry)

    def _drop_expired(self) -> None:
        now_s = self._clock()
        while self._holdings:
            name, holding = next(iter(self._holdings.items()))
            if holding.until_s > now_s:
                return
            self._remove(name)

    def _add(self, entry: str, reserved: Share, wanted: Share) -> None:
        until_s = self._clock() + self._lease_s
        self._holdings[entry] = _Holding(reserved, wanted, until_s)
        self._reserved_total += reserved

    def _remove(self, entry: str) -> _Holding | None:
        holding = self._holdings.pop(entry, None)
        if holding is not None:
            self._reserved_total -= holding.reserved
        return holding

    def _note_floors(
        self, plan: Share, entries: tuple[str, ...], present: frozenset[str]
    ) -> None:
        is_same_plan = entries is self._entries and plan == self._plan
        if is_same_plan and present is self._present:
            return
        if not is_same_plan:
            self._floors = floors_of(plan, self._workspace, entries)
        self._entries, self._plan, self._present = entries, plan, present
        self._levels.valid_until_s = float("-inf")
        self._add_up()

    def _add_up(self) -> None:
        """Compute the sums anew, so that rounding does not pile up."""
        holdings = self._holdings.values()
        missing = (f for name, f in self._floors.items() if name not in self._present)
        self._floors_total = sum(missing, NO_SHARE)
        self._reserved_total = sum((h.reserved for h in holdings), NO_SHARE)

    def _level(self) -> _Levels:
        now_s = self._clock()
        if now_s >= self._levels.valid_until_s:
            self._add_up()
            wants = [holding.wanted for holding in self._holdings.values()]
            total = self._plan - self._floors_total
            level = _level_of(wants, total)
            spare = _spare_of(wants, total, self._plan, len(self._entries))
            self._levels = _Levels(level, spare, now_s + LEVEL_VALID_S)
        return self._levels


def _spare_of(wants: list[Share], total: Share, plan: Share, entries: int) -> Share:
    """Return the equal part of what nobody wants, for each listed entry.

    It is taken in steps of a part of the plan, so that small changes of what is
    wanted do not change the shares of all entries.
    """
    if not entries:
        return NO_SHARE
    left = (total - sum(wants, NO_SHARE)).most(NO_SHARE)
    return Share(
        int(_stepped(left.concurrency, plan.concurrency) / entries),
        _stepped(left.requests_per_s, plan.requests_per_s) / entries,
        # A token rate is paced by the slots that run; spare on top of it would
        # let answers of unknown length start that the plan cannot carry.
        0.0,
    )


def _stepped(left: float, whole: float) -> float:
    step = whole / SPARE_STEPS
    return left // step * step if step else 0.0


def _level_of(wants: list[Share], total: Share) -> Share:
    slots = water_level((want.concurrency for want in wants), total.concurrency)
    return Share(
        # Slots are whole; rounding up lets the rest go to whoever asks first.
        math.ceil(slots) if slots < float("inf") else total.concurrency,
        water_level((want.requests_per_s for want in wants), total.requests_per_s),
        water_level((want.tokens_per_s for want in wants), total.tokens_per_s),
    )
