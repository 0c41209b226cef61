"""Holder of the limits of some partitions of the workspaces."""

import time
from collections.abc import Callable

from attrs import Factory, define, frozen

from boragespring.limits.book import ShareBook
from boragespring.limits.messages import (
    ShareReply,
    ShareRequest,
    pack_share,
    unpack_ask,
)
from boragespring.limits.shares import NO_SHARE, Share, partition_of, plan_share
from boragespring.links import Dispatcher, Link
from boragespring.lists import ListsReplica
from boragespring.membership import Duty, DutyManager

__all__ = ["LimitHolder", "LimitSettings", "candidates_of"]


@frozen
class LimitSettings:
    """Times and sizes of the limits.

    Parameters
    ----------
    partitions : int
        Partitions of the workspaces, each with its own holder.
    candidates : int
        Entries that may hold one partition.
    lease_s : float
        Time for which a share is given.
    margin_s : float
        An entry stops using a share so long before its lease ends.
    renew_interval_s : float
        Time between two requests for the same partition.
    hungry_interval_s : float
        The same while a workspace is refused and could get more.
    call_timeout_s : float
        Longest wait for a holder's reply.
    first_share_wait_s : float
        Longest time that a request waits for a share.
    idle_s : float
        A workspace that is not used for so long gives its share back.
    """

    partitions: int = 8
    candidates: int = 3
    lease_s: float = 5.0
    margin_s: float = 0.5
    renew_interval_s: float = 1.0
    hungry_interval_s: float = 0.1
    call_timeout_s: float = 1.0
    first_share_wait_s: float = 0.3
    idle_s: float = 30.0


@define
class _Term:
    """Account of one partition under one fencing number."""

    fence: int
    quiet_until_s: float
    books: dict[str, ShareBook] = Factory(dict)
    sequences: dict[str, tuple[int, int]] = Factory(dict)
    known: set[str] = Factory(set)
    present_until_s: dict[str, float] = Factory(dict)
    present: frozenset[str] = frozenset()

    def is_quiet(self, entries: tuple[str, ...], now_s: float) -> bool:
        """Tell whether unknown shares of an earlier holder may be in force.

        They end with one lease. They are known before that once all listed
        entries have told what they hold.
        """
        if now_s < self.quiet_until_s and self.known.issuperset(entries):
            self.quiet_until_s = now_s
        return now_s < self.quiet_until_s

    def note_present(self, entry: str, now_s: float, lease_s: float) -> None:
        """Note that an entry has asked; forget those that no longer do."""
        # In order of expiry, as each has the same lease.
        self.present_until_s.pop(entry, None)
        self.present_until_s[entry] = now_s + lease_s
        while True:
            name = next(iter(self.present_until_s))
            if self.present_until_s[name] > now_s:
                break
            del self.present_until_s[name]
        if self.present_until_s.keys() != self.present:
            self.present = frozenset(self.present_until_s)


class LimitHolder:
    """Gives out shares of the partitions whose duty this entry holds.

    Parameters
    ----------
    own_name : str
        Name of this entry.
    duty_manager : DutyManager
        Duties of this process.
    replica : ListsReplica
        Lists in force, for the plans.
    entries : callable
        Returns the names of the listed entries; the same object while they
        are the same.
    is_leaving : callable
        Whether the entry leaves; it then takes no partition.
    dispatcher : Dispatcher
        Handlers of the process's links.
    settings : LimitSettings or None
        Times; None for the defaults.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        own_name: str,
        duty_manager: DutyManager,
        replica: ListsReplica,
        entries: Callable[[], tuple[str, ...]],
        is_leaving: Callable[[], bool],
        dispatcher: Dispatcher,
        settings: LimitSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own_name = own_name
        self._replica = replica
        self._entries = entries
        self._is_leaving = is_leaving
        self._settings = settings or LimitSettings()
        self._clock = clock
        self._terms: dict[int, _Term] = {}
        self._duties = [
            duty_manager.register(
                f"limits/{partition}", self._candidate_check(partition)
            )
            for partition in range(self._settings.partitions)
        ]
        dispatcher.on_call(ShareRequest, self._answer)

    def duty(self, partition: int) -> Duty:
        """Return the duty of a partition, as this process sees it."""
        return self._duties[partition]

    def held_partitions(self) -> tuple[int, ...]:
        """Return the partitions that this entry holds now."""
        return tuple(i for i, duty in enumerate(self._duties) if duty.is_held())

    def reserved(self, workspace: str) -> Share:
        """Return what is reserved of a workspace's plan here."""
        partition = partition_of(workspace, self._settings.partitions)
        term = self._terms.get(partition)
        book = term.books.get(workspace) if term is not None else None
        return book.reserved if book is not None else NO_SHARE

    def serve(self, entry: str, incarnation: int, request: ShareRequest) -> ShareReply:
        """Return the shares that an entry asks for."""
        if not 0 <= request.partition < len(self._duties):
            return ShareReply(0, "", False, [])
        duty = self._duties[request.partition]
        term = self._term(request.partition, duty)
        if term is None or not self._is_next(term, entry, incarnation, request):
            return ShareReply(0, duty.holder_name, False, [])
        now_s = self._clock()
        is_quiet = term.is_quiet(self._entries(), now_s)
        if is_quiet:
            term.known.add(entry)
        else:
            term.note_present(entry, now_s, self._settings.lease_s)
        shares = [self._give(term, entry, ask, is_quiet) for ask in request.asks]
        # The duty may have ended while the shares were worked out.
        if duty.fence != term.fence:
            return ShareReply(0, duty.holder_name, False, [])
        return ShareReply(term.fence, self._own_name, is_quiet, shares)

    async def _answer(self, link: Link, request: ShareRequest) -> ShareReply:
        return self.serve(link.peer.name, link.peer.incarnation, request)

    def _candidate_check(self, partition: int) -> Callable[[], bool]:
        def is_candidate() -> bool:
            names = candidates_of(partition, self._entries(), self._settings.candidates)
            return self._own_name in names and not self._is_leaving()

        return is_candidate

    def _term(self, partition: int, duty: Duty) -> _Term | None:
        fence = duty.fence
        if not fence:
            self._terms.pop(partition, None)
            return None
        term = self._terms.get(partition)
        if term is None or term.fence != fence:
            # Shares of an earlier holder may be in force for one lease more.
            term = _Term(fence, self._clock() + self._settings.lease_s)
            self._terms[partition] = term
        return term

    def _is_next(
        self, term: _Term, entry: str, incarnation: int, request: ShareRequest
    ) -> bool:
        """Tell whether a request is not one that a newer one has overtaken."""
        number = (incarnation, request.sequence)
        if number <= term.sequences.get(entry, (0, 0)):
            return False
        term.sequences[entry] = number
        return True

    def _give(
        self, term: _Term, entry: str, plain: list[object], is_quiet: bool
    ) -> list[object]:
        name, ask = unpack_ask(plain)
        workspace = (
            self._replica.view.workspace(name) if self._replica.is_ready else None
        )
        if workspace is None:
            return pack_share(name, NO_SHARE)
        book = term.books.get(name)
        if book is None:
            book = ShareBook(name, self._settings.lease_s, self._clock)
            term.books[name] = book
        if ask.is_release:
            book.release(entry)
            return pack_share(name, NO_SHARE)
        plan = plan_share(self._replica.view.allowance(workspace))
        entries = self._entries()
        share = book.give(entry, ask, plan, entries, term.present, is_quiet)
        return pack_share(name, share)


def candidates_of(
    partition: int, entries: tuple[str, ...], count: int
) -> tuple[str, ...]:
    """Return the entries that may hold a partition, the preferred one first."""
    return tuple(sorted(entries, key=lambda name: partition_rank(partition, name)))[
        :count
    ]


def partition_rank(partition: int, name: str) -> int:
    """Return the place of an entry in the order of a partition's candidates."""
    return partition_of(f"{partition}\0{name}", 2**64)
