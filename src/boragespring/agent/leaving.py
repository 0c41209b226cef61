"""Leave state of an agent and the graceful shutdown of its work."""

import asyncio
import time
from collections.abc import Callable
from enum import StrEnum

from absl import logging
from attrs import define

from boragespring.agent.workload import Workload
from boragespring.links import Dispatcher, Identity, Link
from boragespring.membership import LeaveNotice

__all__ = ["LeaveReason", "LeaveStatus", "Leaving"]

#: Time in seconds after which a leave that only the instance list announced ends
#: unless an entry process sends another `LeaveNotice`, because the list may have been
#: wrong.
LISTED_LEAVE_TIMEOUT_S = 30.0
#: Uptime in seconds below which the list is ignored, because it may still describe
#: an earlier instance with the same name and address.
LIST_LAG_MAX_S = 30.0
#: Fraction of the notice period after which the movable generations are moved.
MOVE_AFTER_FRACTION = 0.5


class LeaveReason(StrEnum):
    """Source of the request to leave."""

    NONE = ""
    SIGNAL = "signal"
    OPERATOR = "operator"
    RECLAIM = "reclaim"
    #: The instance list marks the agent as leaving, so an entry sent a `LeaveNotice`.
    LISTED = "listed"


@define
class LeaveStatus:
    """Leave state for the status page.

    ``handed_back`` counts the waiting requests that were returned, which means
    rejected as not run. ``moved`` counts the generations that were ended so that they
    can start again elsewhere.
    """

    is_leaving: bool
    reason: str
    leaving_for_s: float
    gone_in_s: float | None
    handed_back: int
    moved: int


class Leaving:
    """Leave state of an agent.

    A leaving agent rejects new requests, returns the waiting ones and finishes or
    moves those that run.

    Parameters
    ----------
    identity : Identity
        Identity of this run of the agent process.
    workload : Workload
        Holds the flag that makes the agent reject new requests.
    dispatcher : Dispatcher
        Receives leave notices from the links.
    broadcast : callable
        Sends the agent's state to all entries.
    return_waiting : callable
        Rejects the waiting requests as not run and returns their number.
    move : callable
        Ends the generations that can start again elsewhere and returns their
        number. It does not start them there.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        identity: Identity,
        workload: Workload,
        dispatcher: Dispatcher,
        broadcast: Callable[[], None],
        return_waiting: Callable[[], int],
        move: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._identity = identity
        self._workload = workload
        self._broadcast = broadcast
        self._return_waiting = return_waiting
        self._move = move
        self._clock = clock
        self._started_s = clock()
        self._leaving_since_s = 0.0
        self._stops_at_s: float | None = None
        self._listed_timer: asyncio.TimerHandle | None = None
        self._move_timer: asyncio.TimerHandle | None = None
        self._returned_count = 0
        self._moved_count = 0
        self.reason = LeaveReason.NONE
        dispatcher.on(LeaveNotice, self._on_leave_notice)

    def leave(self, reason: LeaveReason, notice_s: float | None = None) -> None:
        """Reject new requests from now on.

        With a notice, the generations that can start again elsewhere are moved
        early enough to run there.

        Parameters
        ----------
        reason : LeaveReason
            Source of the request to leave.
        notice_s : float or None
            Time in seconds until the instance stops; None if it is not known.
        """
        self._cancel_listed_timer()
        self._start_leaving(reason)
        if notice_s is None:
            return
        stops_at_s = self._clock() + notice_s
        if self._stops_at_s is None or stops_at_s < self._stops_at_s:
            self._stops_at_s = stops_at_s
            self._schedule_move(notice_s * MOVE_AFTER_FRACTION)

    def status(self) -> LeaveStatus:
        """Return the leave state for the status page."""
        now_s = self._clock()
        is_leaving = self._workload.is_leaving
        stops_at_s = self._stops_at_s
        return LeaveStatus(
            is_leaving=is_leaving,
            reason=str(self.reason.value),
            leaving_for_s=round(now_s - self._leaving_since_s, 1)
            if is_leaving
            else 0.0,
            gone_in_s=round(stops_at_s - now_s, 1) if stops_at_s is not None else None,
            handed_back=self._returned_count,
            moved=self._moved_count,
        )

    def stop(self) -> None:
        """Cancel the timers."""
        self._cancel_listed_timer()
        if self._move_timer is not None:
            self._move_timer.cancel()

    def _start_leaving(self, reason: LeaveReason) -> None:
        self.reason = reason
        if self._workload.is_leaving:
            return
        self._workload.is_leaving = True
        self._leaving_since_s = self._clock()
        # Entries are notified before the waiting requests are returned, so that
        # none sends them here again.
        self._broadcast()
        self._returned_count += self._return_waiting()
        logging.info(
            "event=agent_leaving reason=%s running=%d handed_back=%d",
            reason,
            self._workload.running,
            self._returned_count,
        )

    def _schedule_move(self, delay_s: float) -> None:
        if self._move_timer is not None:
            self._move_timer.cancel()
        loop = asyncio.get_running_loop()
        self._move_timer = loop.call_later(delay_s, self._move_remaining)

    def _move_remaining(self) -> None:
        count = self._move()
        self._moved_count += count
        logging.info("event=agent_moved_work count=%d", count)

    def _on_leave_notice(self, _: Link, notice: LeaveNotice) -> None:
        if notice.incarnation != self._identity.incarnation:
            return
        if self._clock() - self._started_s < LIST_LAG_MAX_S:
            return
        if self.reason not in (LeaveReason.NONE, LeaveReason.LISTED):
            return
        self._start_leaving(LeaveReason.LISTED)
        self._cancel_listed_timer()
        loop = asyncio.get_running_loop()
        self._listed_timer = loop.call_later(LISTED_LEAVE_TIMEOUT_S, self._stop_leaving)

    def _stop_leaving(self) -> None:
        """Withdraw the listed leave, which no entry has repeated."""
        self.reason = LeaveReason.NONE
        self._workload.is_leaving = False
        self._broadcast()
        logging.info("event=agent_stays")

    def _cancel_listed_timer(self) -> None:
        if self._listed_timer is not None:
            self._listed_timer.cancel()
            self._listed_timer = None
