"""Holder that grants shares for the workspace partitions assigned to this entry."""

import time
from collections.abc import Callable

from attrs import Factory, define, frozen

from boragespring.limits.allocator import ShareAllocator
from boragespring.limits.messages import (
    ShareReply,
    ShareRequest,
    pack_share,
    unpack_demand,
)
from boragespring.limits.shares import NO_SHARE, Share, partition_of, plan_share
from boragespring.links import Dispatcher, Link
from boragespring.lists import ListsReplica
from boragespring.membership import Duty, DutyManager

__all__ = ["LimitHolder", "LimitSettings", "holder_candidates"]


@frozen
class LimitSettings:
    """Timing and partitioning of the limits.

    Parameters
    ----------
    partitions : int
        Number of workspace partitions, each with its own holder.
    candidates : int
        Number of entries that may hold a given partition.
    lease_s : float
        Duration in seconds for which a share is granted.
    margin_s : float
        Time in seconds before the end of a lease at which an entry stops using
        the share.
    renew_interval_s : float
        Regular interval in seconds between requests for the same partition.
    renew_interval_min_s : float
        Minimum interval in seconds between such requests, used while requests of
        a workspace are rejected and a larger share may be available.
    call_timeout_s : float
        Maximum time in seconds to wait for the reply of a holder.
    share_timeout_s : float
        Maximum time in seconds that a caller's request waits for a share.
    idle_timeout_s : float
        Time in seconds without use after which the share of a workspace is
        returned.
    """

    partitions: int = 8
    candidates: int = 3
    lease_s: float = 5.0
    margin_s: float = 0.5
    renew_interval_s: float = 1.0
    renew_interval_min_s: float = 0.1
    call_timeout_s: float = 1.0
    share_timeout_s: float = 0.3
    idle_timeout_s: float = 30.0


@define
class _Term:
    """State of a partition while this entry holds it under one fencing number.

    Parameters
    ----------
    fence : int
        Fencing number.
    recovering_until_s : float
        Time at which recovery ends at the latest, see `is_recovering`.
    allocators : dict
        Allocator of each workspace, by name.
    sequences : dict
        Incarnation and sequence number of the newest request, by entry.
    reported_entries : set of str
        Entries that have reported their shares during recovery.
    active_until_s : dict
        Time until which an entry counts as active, by entry.
    active_entries : frozenset of str
        Entries in `active_until_s`; replaced only when they change.
    """

    fence: int
    recovering_until_s: float
    allocators: dict[str, ShareAllocator] = Factory(dict)
    sequences: dict[str, tuple[int, int]] = Factory(dict)
    reported_entries: set[str] = Factory(set)
    active_until_s: dict[str, float] = Factory(dict)
    active_entries: frozenset[str] = frozenset()

    def is_recovering(self, entries: tuple[str, ...], now_s: float) -> bool:
        """Return whether unknown leases of a previous holder may be active.

        They expire after one lease duration. Recovery ends earlier once all
        listed entries have reported the shares that they hold.
        """
        if now_s < self.recovering_until_s and self.reported_entries.issuperset(
            entries
        ):
            self.recovering_until_s = now_s
        return now_s < self.recovering_until_s

    def record_active(self, entry: str, now_s: float, lease_s: float) -> None:
        """Record a request of an entry and remove entries that became inactive."""
        # Ordered by expiry, because all leases last equally long.
        self.active_until_s.pop(entry, None)
        self.active_until_s[entry] = now_s + lease_s
        while True:
            name = next(iter(self.active_until_s))
            if self.active_until_s[name] > now_s:
                break
            del self.active_until_s[name]
        if self.active_until_s.keys() != self.active_entries:
            self.active_entries = frozenset(self.active_until_s)


class LimitHolder:
    """Grant shares for the partitions whose duty this entry holds.

    Parameters
    ----------
    local_name : str
        Name of the local entry.
    duty_manager : DutyManager
        Manages the duties of this process.
    replica : ListsReplica
        Active lists, which contain the plans.
    entries : callable
        Returns the names of the listed entries. Must return the same object
        while they are unchanged.
    is_leaving : callable
        Returns whether the entry is leaving, in which case it acquires no
        partition.
    dispatcher : Dispatcher
        Registers the message handlers of this process's links.
    settings : LimitSettings or None
        Timing and partitioning; None selects the defaults.
    clock : callable, default=time.monotonic
        Returns the current time in seconds.
    """

    def __init__(
        self,
        local_name: str,
        duty_manager: DutyManager,
        replica: ListsReplica,
        entries: Callable[[], tuple[str, ...]],
        is_leaving: Callable[[], bool],
        dispatcher: Dispatcher,
        settings: LimitSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._local_name = local_name
        self._replica = replica
        self._entries = entries
        self._is_leaving = is_leaving
        self._settings = settings or LimitSettings()
        self._clock = clock
        self._terms: dict[int, _Term] = {}
        self._duties = [
            duty_manager.register(
                f"limits/{partition}", self._candidacy_check(partition)
            )
            for partition in range(self._settings.partitions)
        ]
        dispatcher.on_call(ShareRequest, self._on_share_request)

    def duty(self, partition: int) -> Duty:
        """Return the duty of a partition as known to this process."""
        return self._duties[partition]

    def held_partitions(self) -> tuple[int, ...]:
        """Return the partitions that this entry currently holds."""
        return tuple(i for i, duty in enumerate(self._duties) if duty.is_held())

    def reserved(self, workspace: str) -> Share:
        """Return the part of a workspace's plan that is reserved by this holder."""
        partition = partition_of(workspace, self._settings.partitions)
        term = self._terms.get(partition)
        allocator = term.allocators.get(workspace) if term is not None else None
        return allocator.reserved if allocator is not None else NO_SHARE

    def handle_request(
        self, entry: str, incarnation: int, request: ShareRequest
    ) -> ShareReply:
        """Grant the shares that an entry requests.

        Parameters
        ----------
        entry : str
            Name of the requesting entry.
        incarnation : int
            Incarnation of the requesting entry.
        request : ShareRequest
            Demands of the entry for one partition.

        Returns
        -------
        ShareReply
            Granted shares. Its fencing number is 0 if this entry does not hold
            the partition or the request is outdated.
        """
        if not 0 <= request.partition < len(self._duties):
            return ShareReply(0, "", False, [])
        duty = self._duties[request.partition]
        term = self._term(request.partition, duty)
        if term is None or not self._is_newest(term, entry, incarnation, request):
            return ShareReply(0, duty.holder_name, False, [])
        now_s = self._clock()
        is_recovering = term.is_recovering(self._entries(), now_s)
        if is_recovering:
            term.reported_entries.add(entry)
        else:
            term.record_active(entry, now_s, self._settings.lease_s)
        shares = [
            self._allocate(term, entry, demand, is_recovering)
            for demand in request.demands
        ]
        # The duty may have ended while the shares were computed.
        if duty.fence != term.fence:
            return ShareReply(0, duty.holder_name, False, [])
        return ShareReply(term.fence, self._local_name, is_recovering, shares)

    async def _on_share_request(self, link: Link, request: ShareRequest) -> ShareReply:
        return self.handle_request(link.peer.name, link.peer.incarnation, request)

    def _candidacy_check(self, partition: int) -> Callable[[], bool]:
        def is_candidate() -> bool:
            names = holder_candidates(
                partition, self._entries(), self._settings.candidates
            )
            return self._local_name in names and not self._is_leaving()

        return is_candidate

    def _term(self, partition: int, duty: Duty) -> _Term | None:
        """Return the state of a partition, or None if it is not held here."""
        fence = duty.fence
        if not fence:
            self._terms.pop(partition, None)
            return None
        term = self._terms.get(partition)
        if term is None or term.fence != fence:
            # Leases of a previous holder may stay active for one lease duration.
            term = _Term(fence, self._clock() + self._settings.lease_s)
            self._terms[partition] = term
        return term

    def _is_newest(
        self, term: _Term, entry: str, incarnation: int, request: ShareRequest
    ) -> bool:
        """Return whether no newer request of the entry has been handled."""
        position = (incarnation, request.sequence)
        if position <= term.sequences.get(entry, (0, 0)):
            return False
        term.sequences[entry] = position
        return True

    def _allocate(
        self, term: _Term, entry: str, packed: list[object], is_recovering: bool
    ) -> list[object]:
        name, demand = unpack_demand(packed)
        workspace = (
            self._replica.view.workspace(name) if self._replica.is_ready else None
        )
        if workspace is None:
            return pack_share(name, NO_SHARE)
        allocator = term.allocators.get(name)
        if allocator is None:
            allocator = ShareAllocator(name, self._settings.lease_s, self._clock)
            term.allocators[name] = allocator
        if demand.is_release:
            allocator.release(entry)
            return pack_share(name, NO_SHARE)
        plan = plan_share(self._replica.view.allowance(workspace))
        entries = self._entries()
        share = allocator.allocate(
            entry, demand, plan, entries, term.active_entries, is_recovering
        )
        return pack_share(name, share)


def holder_candidates(
    partition: int, entries: tuple[str, ...], count: int
) -> tuple[str, ...]:
    """Return the entries that may hold a partition, in order of preference."""
    return tuple(sorted(entries, key=lambda name: partition_rank(partition, name)))[
        :count
    ]


def partition_rank(partition: int, name: str) -> int:
    """Return the sort key of an entry among a partition's candidates."""
    return partition_of(f"{partition}\0{name}", 2**64)
