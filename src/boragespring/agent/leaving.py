"""How an agent learns that it leaves, and what it then does."""

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

#: Time after which a leave that only the instance list told ends, if no entry
#: repeats it: the list may have been wrong.
LISTED_LEAVE_TIMEOUT_S = 30.0
#: Uptime from which the list is believed; before it, the list may still speak
#: of the instance that had this name and address earlier.
LIST_LAG_MAX_S = 30.0
#: Part of a short notice after which what still runs and may move is moved.
MOVE_AFTER_FRACTION = 0.5


class LeaveReason(StrEnum):
    """Who told the agent to leave."""

    NONE = ""
    SIGNAL = "signal"
    OPERATOR = "operator"
    RECLAIM = "reclaim"
    LISTED = "listed"


@define
class LeaveStatus:
    """State of leaving for the status page."""

    is_leaving: bool
    reason: str
    leaving_for_s: float
    gone_in_s: float | None
    handed_back: int
    moved: int


class Leaving:
    """State of leaving of one agent.

    Parameters
    ----------
    own : Identity
        Identity of this start of the agent.
    workload : Workload
        Holds the flag by which new work is refused.
    dispatcher : Dispatcher
        Links over which notices arrive.
    broadcast : callable
        Tells all entries the agent's state.
    hand_back : callable
        Refuses as not run what has not started; returns the count.
    move : callable
        Ends what may start again elsewhere; returns the count.
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
        """Take no new work from now on; ``notice_s`` is the time left.

        With a short notice, what may start again elsewhere is moved early
        enough for it to run there.
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
        """Return the state for the status page."""
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
        """End the timers."""
        self._cancel_listed_timer()
        if self._move_timer is not None:
            self._move_timer.cancel()

    def _start_leaving(self, reason: LeaveReason) -> None:
        self.reason = reason
        if self._workload.is_leaving:
            return
        self._workload.is_leaving = True
        self._leaving_since_s = self._clock()
        # Entries hear of it before the work comes back, so that none sends it
        # here again.
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
        """Take work again, as no entry repeats what the list said."""
        self.reason = LeaveReason.NONE
        self._workload.is_leaving = False
        self._broadcast()
        logging.info("event=agent_stays")

    def _cancel_listed_timer(self) -> None:
        if self._listed_timer is not None:
            self._listed_timer.cancel()
            self._listed_timer = None
