"""Keep the snapshots of the store's content current across gateways.

A gateway that watches the store forwards each change to the relays and to the gateways
that have joined it; a relay forwards it to those that have joined the relay. A gateway
fetches a full snapshot from a peer when changes are missing in its own, or when the
store does not answer it.
"""

import contextlib
import time
from collections.abc import Callable

from attrs import define, frozen

from boragespring.decisions import DecisionLog
from boragespring.event_loop import sleep_until_tick
from boragespring.external_values import (
    UnusableValueError,
    check_integer,
    check_row,
    check_string,
)
from boragespring.gateway_peers.messages import (
    ReadSnapshot,
    SnapshotAge,
    SnapshotReply,
    StoreChanges,
)
from boragespring.gateway_peers.network import PeerNetwork
from boragespring.links import CallFailedError, Dispatcher, Link, LinkClosedError
from boragespring.store import KeyValue
from boragespring.store.follower import PrefixFollower
from boragespring.store.position import StorePosition
from boragespring.store.store import WatchBatch, WatchEvent

__all__ = ["SnapshotSharing", "SnapshotSharingSettings"]


@frozen
class SnapshotSharingSettings:
    """Conditions for adopting the snapshot of a peer.

    Parameters
    ----------
    age_max_s : float
        Age in seconds of the local snapshot from which a newer one of a peer is
        adopted.
    outage_age_max_s : float
        The same limit in seconds while the store does not answer this gateway.
    behind_max_s : float
        Time in seconds for which the local snapshot may lack a change that a peer's
        contains, before the peer's is adopted. The change usually arrives by itself.
    gain_min_s : float
        Minimum difference in age, in seconds, between the local snapshot and the
        peer's.
    check_interval_s : float
        Time in seconds between two comparisons of the ages.
    call_timeout_s : float
        Timeout in seconds of a request for a snapshot.
    """

    age_max_s: float = 2.4
    outage_age_max_s: float = 0.8
    behind_max_s: float = 0.5
    gain_min_s: float = 0.3
    check_interval_s: float = 0.2
    call_timeout_s: float = 0.5


@define
class _PeerSnapshot:
    """State of a peer's snapshot, as last reported over a link.

    Parameters
    ----------
    link : Link
        Link on which the report arrived.
    content_position : StorePosition
        Position of the last change that the snapshot contains.
    complete_at_s : float
        Monotonic time in seconds at which the snapshot was known to be complete.
    """

    link: Link
    content_position: StorePosition
    complete_at_s: float


class SnapshotSharing:
    """Report the age of the local snapshot and adopt newer ones of peers.

    Parameters
    ----------
    follower : PrefixFollower
        Follower of the store, which holds the local snapshot.
    dispatcher : Dispatcher
        Registry for the message handlers of this class.
    network : PeerNetwork
        Links to the other gateways.
    settings : SnapshotSharingSettings
        Age limits and timeouts.
    log : DecisionLog
        Log for adopted snapshots and failed requests.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        follower: PrefixFollower,
        dispatcher: Dispatcher,
        network: PeerNetwork,
        settings: SnapshotSharingSettings,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._follower = follower
        self._network = network
        self._reported_contact_at_s = float("-inf")
        #: Whether a peer forwarded changes that do not follow on the local ones.
        self._has_gap = False
        #: Monotonic time since which a peer's snapshot contains a change that the
        #: local one lacks; infinite if none does.
        self._behind_since_s = float("inf")
        self._forwarded_position = StorePosition()
        self._settings = settings
        self._log = log
        self._clock = clock
        self._peer_snapshots: dict[str, _PeerSnapshot] = {}
        dispatcher.on(SnapshotAge, self._handle_age)
        dispatcher.on(StoreChanges, self._handle_changes)
        dispatcher.on_call(ReadSnapshot, self._handle_read)
        dispatcher.on_tick(self._send_age)
        dispatcher.on_down(self._discard_peer)
        follower.batch_hooks.append(self._forward_changes)

    async def run(self) -> None:
        """Compare the ages of the snapshots periodically until cancelled."""
        while True:
            await sleep_until_tick(self._settings.check_interval_s)
            self._report_contact()
            newer = self._find_newer()
            if newer is not None:
                await self._adopt(newer)

    def _report_contact(self) -> None:
        """Send the age to all peers as soon as the store has answered here."""
        if self._follower.last_reply_at_s <= self._reported_contact_at_s:
            return
        self._reported_contact_at_s = self._follower.last_reply_at_s
        for link in self._network.links():
            with contextlib.suppress(LinkClosedError):
                self._send_age(link)

    def _find_newer(self) -> _PeerSnapshot | None:
        """Return the most recent peer snapshot if it is worth adopting."""
        snapshots = self._peer_snapshots.values()
        newest = max(
            snapshots, key=lambda snapshot: snapshot.complete_at_s, default=None
        )
        if newest is None:
            return None
        if self._is_outdated(newest):
            return newest
        local_at_s = self._follower.complete_at_s
        is_recent = self._clock() - local_at_s < self._age_max_s()
        has_gain = newest.complete_at_s - local_at_s >= self._settings.gain_min_s
        return newest if has_gain and not is_recent else None

    def _is_outdated(self, newest: _PeerSnapshot) -> bool:
        """Return whether the local snapshot lacks changes that will not arrive."""
        if newest.content_position <= self._follower.content_position:
            self._behind_since_s = float("inf")
            return False
        self._behind_since_s = min(self._behind_since_s, self._clock())
        is_late = self._clock() - self._behind_since_s > self._settings.behind_max_s
        return self._follower.is_store_lost or self._has_gap or is_late

    def _age_max_s(self) -> float:
        is_lost = self._follower.is_store_lost
        return self._settings.outage_age_max_s if is_lost else self._settings.age_max_s

    async def _adopt(self, newer: _PeerSnapshot) -> None:
        """Confirm the local snapshot by an equal one, or fetch the peer's."""
        if newer.content_position == self._follower.content_position:
            self._follower.confirm_snapshot(newer.content_position, newer.complete_at_s)
            return
        requested_at_s = self._clock()
        try:
            reply = await newer.link.call(
                ReadSnapshot(), SnapshotReply, self._settings.call_timeout_s
            )
            items = [_read_item(*check_row(row, 3)) for row in reply.items]
            # Counted from the request, as the reply's time in transit is unknown.
            complete_at_s = requested_at_s - check_integer(reply.age_ms) / 1000
        except (LinkClosedError, CallFailedError, UnusableValueError) as error:
            # "Copy" in the event names stands for the snapshot. This event also covers
            # timeouts, closed links and values that cannot be used.
            self._log.state_change("copy_refused", reason=str(error))
            return
        self._has_gap = False
        self._follower.apply_peer_snapshot(
            items,
            StorePosition(reply.era, reply.revision),
            StorePosition(reply.era, reply.content_revision),
            complete_at_s,
        )
        self._log.state_change(
            "copy_taken",
            peer=newer.link.peer.name,
            era=reply.era,
            revision=reply.revision,
            age_ms=reply.age_ms,
        )

    def _forward_changes(
        self, after_position: StorePosition, batch: WatchBatch
    ) -> None:
        rows = [
            [event.key, event.item.value if event.item else None, event.revision]
            for event in batch.events
        ]
        self._forwarded_position = max(self._forwarded_position, batch.position)
        self._network.broadcast(
            StoreChanges(after_position.revision, batch.revision, rows, batch.era)
        )

    def _handle_changes(self, _: Link, changes: StoreChanges) -> None:
        events = tuple(_read_event(*check_row(row, 3)) for row in changes.rows)
        batch = WatchBatch(check_integer(changes.revision), events, changes.era)
        after_position = StorePosition(changes.era, changes.after_revision)
        self._has_gap |= not self._follower.apply_peer_batch(after_position, batch)
        if batch.position > self._forwarded_position:
            # Several gateways watch the store and send the same changes.
            self._forwarded_position = batch.position
            self._network.forward_to_joined(changes)

    def _handle_age(self, link: Link, age: SnapshotAge) -> None:
        complete_at_s = self._clock() - check_integer(age.age_ms) / 1000
        content_position = StorePosition(age.era, age.content_revision)
        self._peer_snapshots[link.peer.name] = _PeerSnapshot(
            link, content_position, complete_at_s
        )
        self._follower.confirm_snapshot(content_position, complete_at_s)

    def _discard_peer(self, link: Link) -> None:
        """Discard the report of a closed link unless a newer link replaced it."""
        snapshot = self._peer_snapshots.get(link.peer.name)
        if snapshot is not None and snapshot.link is link:
            del self._peer_snapshots[link.peer.name]

    def _send_age(self, link: Link) -> None:
        if self._follower.position.revision:
            content = self._follower.content_position
            link.send(SnapshotAge(content.revision, self._age_ms(), content.era))

    async def _handle_read(self, _: Link, __: ReadSnapshot) -> SnapshotReply:
        items = self._follower.items
        rows = [[item.key, item.value, item.mod_revision] for item in items]
        return SnapshotReply(
            self._follower.position.revision,
            self._follower.content_position.revision,
            self._age_ms(),
            rows,
            self._follower.position.era,
        )

    def _age_ms(self) -> int:
        return round((self._clock() - self._follower.complete_at_s) * 1000)


def _read_item(key: object, value: object, revision: object) -> KeyValue:
    if not isinstance(value, bytes):
        raise UnusableValueError(value, "bytes")
    return KeyValue(check_string(key), value, 0, check_integer(revision))


def _read_event(key: object, value: object, revision: object) -> WatchEvent:
    item = None if value is None else _read_item(key, value, revision)
    return WatchEvent(check_string(key), item, check_integer(revision))
