"""Check what became of requests around planned work.

Each request whose connection ended without a complete response has one cause; the
guarantee is violated if nothing excuses it.
"""

import itertools
import signal
from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum

from attrs import frozen

from boragespring.faults import Breach
from boragespring.platform.emulator.server_work import ServerWork
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import CallRecord
from boragespring.platform.soak.sent_signal import SentSignal
from boragespring.platform.soak.stop_history import (
    Span,
    StopBounds,
    StopHistory,
)

__all__ = ["CutCause", "StopVerdict"]

#: Time after the grace period in which a stop still counts as planned work, and the
#: time after the bound of a configuration.
AFTER_GRACE_S = AFTER_CHANGE_S = 1.0
#: Requests sent later than this after SIGTERM are not excused by work at the end.
LATE_AFTER_STOP_S = 3.0
#: Part of the grace period, at its end, in which work at a server is an excuse.
LAST_PART_OF_GRACE = 1 / 6
#: Beside a configuration, a request that has used this part of its time is excused,
#: and so are cuts that are not this many times as frequent as usual.
USED_PART_OF_TIME = 0.7
USUAL_RATE_FACTOR = 3.0
#: Number of requests that a gateway in touch may leave without an answer.
UNANSWERED_MAX = 3


class CutCause(StrEnum):
    """Why a connection ended without a complete response."""

    LOST_AFTER_SIGTERM = "lost_after_sigterm"
    LOST_AFTER_SIGHUP = "lost_after_sighup"
    LOST_BESIDE_CHANGE = "lost_beside_change"
    CUT_BESIDE_CHANGE = "cut_beside_change"
    DISTURBED = "disturbed"
    NOT_READ = "not_read"
    SERVER_BROKE_OFF = "server_broke_off"
    TIME_OVER = "time_over"
    STILL_AT_WORK = "still_at_work"
    NO_PLANNED_WORK = "no_planned_work"


LOST = frozenset(
    (
        CutCause.LOST_AFTER_SIGTERM,
        CutCause.LOST_AFTER_SIGHUP,
        CutCause.LOST_BESIDE_CHANGE,
    )
)


@frozen
class StopVerdict:
    """Causes of the cuts of a run.

    Parameters
    ----------
    history : StopHistory
        Course of the run.
    bounds : StopBounds
        Times of the guarantee.
    """

    history: StopHistory
    bounds: StopBounds = StopBounds()

    def causes(self, records: Sequence[CallRecord]) -> dict[str, CutCause]:
        """Return the cause of each cut by request ID."""
        causes = {
            record.request_id: self._cause(record)
            for record in filter(_is_cut, records)
        }
        by_gateway = itertools.groupby(
            sorted(records, key=_gateway_name), key=_gateway_name
        )
        for _, group in by_gateway:
            causes.update(self._lost_beside_changes(list(group), causes))
        return causes

    def check(self, records: Sequence[CallRecord]) -> list[Breach]:
        """Return the requests that were lost."""
        causes = self.causes(records)
        lost = [
            Breach(
                SoakBreachKind.LOST,
                record.request_id,
                f"{causes[record.request_id]}: {self._describe(record)}",
            )
            for record in records
            if causes.get(record.request_id) in LOST
        ]
        return [*lost, *self._check_unanswered(records)]

    def _cause(self, record: CallRecord) -> CutCause:
        history, ended_at_s = self.history, record.ended_at_s
        from_s = record.sent_at_s - self.bounds.contact_s
        if any(
            begin_s <= ended_at_s and from_s <= end_s
            for begin_s, end_s in history.disturbances
        ):
            return CutCause.DISTURBED
        if not self._was_read(record):
            return CutCause.NOT_READ
        if self._broke_off(record):
            return CutCause.SERVER_BROKE_OFF
        took_s = ended_at_s - record.sent_at_s
        timeout_s = history.timeouts_s.get(record.kind, float("inf"))
        if took_s >= min(record.time_remaining_s, timeout_s):
            return CutCause.TIME_OVER
        stop = self._stop(record)
        if stop is not None:
            excused = self._is_still_at_work(record, stop)
            return CutCause.STILL_AT_WORK if excused else CutCause.LOST_AFTER_SIGTERM
        if self._is_after_reload(record):
            return CutCause.LOST_AFTER_SIGHUP
        if any(begin_s <= ended_at_s <= end_s for begin_s, end_s in self._changes()):
            return CutCause.CUT_BESIDE_CHANGE
        return CutCause.NO_PLANNED_WORK

    def _was_read(self, record: CallRecord) -> bool:
        if self._runs(record):
            return True
        return record.ended_at_s > record.sent_whole_at_s + self.bounds.loss_slack_s

    def _runs(self, record: CallRecord) -> list[ServerWork]:
        works = self.history.works.get(record.request_id, ())
        return [work for work in works if not work.was_rejected]

    def _broke_off(self, record: CallRecord) -> bool:
        return any(run.has_broken_off for run in self._runs(record)[-1:])

    def _stop(self, record: CallRecord) -> SentSignal | None:
        """Return the first SIGTERM of the process, if the cut belongs to it."""
        stops = [
            sent
            for sent in self._signals(record, signal.SIGTERM)
            if sent.start_count == record.gateway_start_count
        ]
        window_s = self.bounds.grace_s + AFTER_GRACE_S
        return next(
            (
                stop
                for stop in stops[:1]
                if 0 <= record.ended_at_s - stop.at_s <= window_s
            ),
            None,
        )

    def _signals(
        self, record: CallRecord, number: signal.Signals
    ) -> Iterable[SentSignal]:
        return (
            sent
            for sent in self.history.signals
            if sent.gateway == record.gateway.name and sent.number is number
        )

    def _is_still_at_work(self, record: CallRecord, stop: SentSignal) -> bool:
        end_s = stop.at_s + self.bounds.grace_s
        begin_s = end_s - LAST_PART_OF_GRACE * self.bounds.grace_s
        return record.sent_at_s <= stop.at_s + LATE_AFTER_STOP_S and any(
            run.was_busy(begin_s, end_s) for run in self._runs(record)
        )

    def _is_after_reload(self, record: CallRecord) -> bool:
        delay_s = self.bounds.catalog_delay_s
        return any(
            record.sent_at_s <= sent.at_s + delay_s and record.ended_at_s >= sent.at_s
            for sent in self._signals(record, signal.SIGHUP)
        )

    def _changes(self) -> list[Span]:
        """Return the times beside configurations, without overlaps."""
        tail_s = self.bounds.catalog_delay_s + AFTER_CHANGE_S
        spans: list[Span] = []
        for begin_s, acknowledged_s in sorted(self.history.changes):
            if spans and begin_s <= spans[-1][1]:
                begin_s = spans.pop()[0]
            spans.append((begin_s, acknowledged_s + tail_s))
        return spans

    def _lost_beside_changes(
        self, records: Sequence[CallRecord], causes: dict[str, CutCause]
    ) -> dict[str, CutCause]:
        """Return the cuts beside configurations, if more frequent than usual."""
        kinds = Counter(causes.get(record.request_id) for record in records)
        begin_s = min(record.sent_at_s for record in records)
        end_s = max(record.ended_at_s for record in records)
        beside_s = sum(
            max(0.0, min(to_s, end_s) - max(from_s, begin_s))
            for from_s, to_s in self._changes()
        )
        usual_s = max(end_s - begin_s - beside_s, 0.0)
        cuts = kinds[CutCause.CUT_BESIDE_CHANGE]
        usual_cuts = kinds[CutCause.NO_PLANNED_WORK]
        if cuts * usual_s <= USUAL_RATE_FACTOR * usual_cuts * beside_s:
            return {}
        return {
            record.request_id: CutCause.LOST_BESIDE_CHANGE
            for record in records
            if causes.get(record.request_id) is CutCause.CUT_BESIDE_CHANGE
            and not self._has_used_its_time(record)
        }

    def _has_used_its_time(self, record: CallRecord) -> bool:
        timeout_s = self.history.timeouts_s.get(record.kind, float("inf"))
        time_s = min(record.time_remaining_s, timeout_s)
        return record.ended_at_s - record.sent_at_s >= USED_PART_OF_TIME * time_s

    def _check_unanswered(self, records: Sequence[CallRecord]) -> Iterable[Breach]:
        """Return a breach if kept connections were closed without an answer."""
        unanswered = [record for record in records if self._is_unanswered(record)]
        if len(unanswered) > UNANSWERED_MAX:
            ids = [record.request_id for record in unanswered]
            yield Breach(SoakBreachKind.UNANSWERED, ids[0], f"{len(ids)}: {ids[:20]}")

    def _is_unanswered(self, record: CallRecord) -> bool:
        runs = self._runs(record)
        return (
            _is_cut(record)
            and record.status == 0
            and record.is_on_kept_connection
            and bool(runs)
            and not self._broke_off(record)
            and self._is_in_touch(record, runs[0].received_at_s)
            and self._is_in_touch(record, record.ended_at_s)
        )

    def _is_in_touch(self, record: CallRecord, at_s: float) -> bool:
        from_s = at_s - self.bounds.contact_s
        stops = self._signals(record, signal.SIGTERM)
        return record.gateway.was_in_touch(from_s, at_s) and not any(
            from_s <= stop.at_s <= at_s for stop in stops
        )

    def _describe(self, record: CallRecord) -> str:
        stop = self._stop(record)
        after_stop = (
            f"sent {record.sent_at_s - stop.at_s:+.2f} s and cut "
            f"{record.ended_at_s - stop.at_s:+.2f} s after SIGTERM"
            if stop
            else f"cut after {record.ended_at_s - record.sent_at_s:.2f} s"
        )
        servers = [work.server_id for work in self._runs(record)]
        return (
            f"{record.kind} {record.gateway.name} start {record.gateway_start_count} "
            f"status {record.status} {after_stop}, "
            f"{record.time_remaining_s} s to live, {len(record.body)} bytes, "
            f"servers {servers}"
        )


def _gateway_name(record: CallRecord) -> str:
    return record.gateway.name


def _is_cut(record: CallRecord) -> bool:
    return (
        record.is_ended
        and not record.is_complete
        and not record.disconnects_early
        and not record.is_connection_refused
    )
