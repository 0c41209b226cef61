"""Verdict of a soak run on requests around planned work."""

import signal
from types import SimpleNamespace

import pytest

from boragespring.platform.emulator.server_work import ServerWork
from boragespring.platform.soak.breaches import SoakBreachKind
from boragespring.platform.soak.callers import CallRecord, RequestKind
from boragespring.platform.soak.sent_signal import SentSignal
from boragespring.platform.soak.stop_history import StopHistory
from boragespring.platform.soak.stop_verdict import CutCause, StopVerdict

LOST, AT_WORK = CutCause.LOST_AFTER_SIGTERM, CutCause.STILL_AT_WORK
#: SIGTERM comes at 100 s, so that its last sixth begins at 106.667 s and planned work
#: ends at 109 s.
STOP = SentSignal("g", 1, signal.SIGTERM, 100.0)
RELOAD = SentSignal("g", 1, signal.SIGHUP, 100.0)


def make_record(sent_at_s=101.0, ended_at_s=107.9, **changes):
    defaults = {
        "request_id": "r1",
        "kind": RequestKind.DRAFT,
        "key": "key-1",
        "gateway": SimpleNamespace(name="g", was_in_touch=lambda from_s, to_s: True),
        "sent_at_s": sent_at_s,
        "sent_whole_at_s": sent_at_s,
        "ended_at_s": ended_at_s,
        "gateway_start_count": 1,
        "time_remaining_s": 39.0,
        "is_ended": True,
    }
    return CallRecord(**{**defaults, **changes})


def make_work(*busy_spans_s, **changes):
    return ServerWork("r1", "engine-0", 101.0, busy_spans_s=[*busy_spans_s], **changes)


def cause(record, *works, signals=(STOP,), **history):
    verdict = StopVerdict(StopHistory({"r1": works}, signals, **history))
    return verdict.causes([record]).get("r1")


CUT_EARLY = {"sent_at_s": 99.0, "ended_at_s": 104.0}
STARTED = make_work((101.0, 105.0))
ENDLESS = make_work((101.0, 107.9))
CASES = [
    # A request that was passed on and cut at any time from SIGTERM to 1 s after the
    # grace period.
    (LOST, CUT_EARLY, [STARTED]),
    (LOST, {"ended_at_s": 108.9}, [STARTED]),
    (CutCause.NO_PLANNED_WORK, {"ended_at_s": 109.1}, [STARTED]),
    (CutCause.NO_PLANNED_WORK, {"sent_at_s": 90.0, "ended_at_s": 99.9}, [STARTED]),
    (CutCause.NO_PLANNED_WORK, {"gateway_start_count": 2}, [STARTED]),
    # One that was not passed on, or only rejected, counts if it had time to be read.
    (LOST, {"ended_at_s": 101.3}, []),
    (CutCause.NOT_READ, {"ended_at_s": 101.19}, []),
    (CutCause.NOT_READ, {"sent_whole_at_s": float("inf")}, []),
    (CutCause.NOT_READ, {"ended_at_s": 101.19}, [make_work(was_rejected=True)]),
    (LOST, {"ended_at_s": 101.1}, [STARTED]),
    # Work in the last sixth of the grace period, on what was sent within 3 s.
    (AT_WORK, {"sent_at_s": 102.9}, [ENDLESS]),
    (AT_WORK, {"sent_at_s": 90.0}, [ENDLESS]),
    (LOST, {"sent_at_s": 103.1}, [ENDLESS]),
    (LOST, {}, [make_work((101.0, 106.6))]),
    (LOST, {}, [make_work((108.1, 109.0))]),
    (LOST, {}, [make_work()]),
    (AT_WORK, {}, [STARTED, make_work((106.9, 107.0))]),
    # The server broke off, unless the request went on at another one since.
    (CutCause.SERVER_BROKE_OFF, {}, [make_work(has_broken_off=True)]),
    (LOST, {}, [make_work(has_broken_off=True), STARTED]),
    (
        CutCause.SERVER_BROKE_OFF,
        {},
        [make_work(has_broken_off=True), make_work(was_rejected=True)],
    ),
    # Its time was over.
    (CutCause.TIME_OVER, {"time_remaining_s": 6.9}, [STARTED]),
    (LOST, {"time_remaining_s": 7.0}, [STARTED]),
    # No cut at all.
    (None, {"is_complete": True}, [STARTED]),
    (None, {"disconnects_early": True}, [STARTED]),
    (None, {"is_ended": False}, [STARTED]),
]


@pytest.mark.parametrize(("expected", "changes", "works"), CASES)
def test_cut_around_a_stop(expected, changes, works):
    assert cause(make_record(**changes), *works) is expected


def test_timeout_of_the_route_and_disturbances_excuse():
    record, timeouts_s = make_record(), {RequestKind.DRAFT: 6.9}
    assert cause(record, STARTED, timeouts_s=timeouts_s) is CutCause.TIME_OVER
    for span in ((97.0, 98.1), (107.0, 107.1), (50.0, 150.0)):
        assert cause(record, STARTED, disturbances=[span]) is CutCause.DISTURBED
    for span in ((97.0, 97.9), (108.0, 109.0)):
        assert cause(record, STARTED, disturbances=[span]) is LOST


def test_second_sigterm_neither_excuses_nor_extends_the_grace_period():
    second = SentSignal("g", 1, signal.SIGTERM, 102.0)
    record = make_record(sent_at_s=104.0)
    assert cause(record, ENDLESS, signals=(STOP, second)) is LOST
    assert cause(make_record(ended_at_s=102.1), STARTED, signals=(STOP, second)) is LOST


@pytest.mark.parametrize(
    ("sent_at_s", "ended_at_s", "expected"),
    [
        (90.0, 100.5, CutCause.LOST_AFTER_SIGHUP),
        (101.9, 120.0, CutCause.LOST_AFTER_SIGHUP),
        (102.1, 103.0, CutCause.NO_PLANNED_WORK),
        (90.0, 99.9, CutCause.NO_PLANNED_WORK),
    ],
)
def test_cut_around_a_reload(sent_at_s, ended_at_s, expected):
    record = make_record(sent_at_s, ended_at_s)
    assert cause(record, STARTED, signals=(RELOAD,)) is expected


# Beside a configuration that is in force from 100 to 103 s. All requests take from
# 90 to 130 s, so that the usual rate is that of 37 s.
@pytest.mark.parametrize(
    ("beside", "usual", "time_remaining_s", "expected"),
    [
        (1, 0, 39.0, CutCause.LOST_BESIDE_CHANGE),
        (1, 4, 39.0, CutCause.LOST_BESIDE_CHANGE),
        (1, 5, 39.0, CutCause.CUT_BESIDE_CHANGE),
        (1, 0, 15.6, CutCause.CUT_BESIDE_CHANGE),
    ],
)
def test_cut_beside_a_configuration(beside, usual, time_remaining_s, expected):
    records = [
        make_record(90.0, 101.0, request_id=f"b{number}") for number in range(beside)
    ]
    for record in records:
        record.time_remaining_s = time_remaining_s
    records += [
        make_record(110.0, 115.0, request_id=f"u{number}") for number in range(usual)
    ]
    records.append(make_record(90.0, 130.0, request_id="whole", is_complete=True))
    verdict = StopVerdict(StopHistory({}, changes=[(100.0, 100.0)]))
    assert verdict.causes(records)["b0"] is expected


@pytest.mark.parametrize(
    ("count", "changes", "breaches"),
    [
        (4, {}, 1),
        (3, {}, 0),
        (4, {"status": 200}, 0),
        (4, {"is_on_kept_connection": False}, 0),
        (4, {"sent_at_s": 99.0, "ended_at_s": 102.0}, 0),
    ],
)
def test_kept_connections_closed_without_an_answer(count, changes, breaches):
    records = [
        make_record(
            **{"sent_at_s": 104.0, "is_on_kept_connection": True, **changes},
            request_id=str(number),
        )
        for number in range(count)
    ]
    works = {
        record.request_id: [ServerWork(record.request_id, "e", record.sent_at_s)]
        for record in records
    }
    verdict = StopVerdict(StopHistory(works, [STOP]))
    kinds = [breach.kind for breach in verdict.check(records)]
    assert kinds.count(SoakBreachKind.UNANSWERED) == breaches
    assert kinds.count(SoakBreachKind.LOST) == count
