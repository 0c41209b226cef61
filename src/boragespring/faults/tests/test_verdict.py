"""The verdict reports each kind of violated guarantee and no other."""

from collections import Counter

import pytest

from boragespring.faults import (
    Attempt,
    BreachKind,
    CallerPlan,
    CallerRecord,
    Ending,
    FaultKind,
    Ledgers,
    RequestKind,
    check_guarantees,
    generate_faults,
)

COMPLETE = Attempt("m1.0.0.", Ending.COMPLETE, 200)
REFUSED = Attempt("m1.0.0.", Ending.ERROR, 503, "leaving", True)
REPLY_LOST = Attempt("m1.0.0.", Ending.ERROR, 502, "answer_lost", False)
CUT = Attempt("m1.0.0.", Ending.CUT)
SILENT = Attempt("m1.0.0.", Ending.SILENT)
NO_RUNS = Ledgers((), Counter(), frozenset())
ONE_GENERATION = Ledgers(("request m1.0.0.",), Counter(), frozenset())


def make_record(kind, attempts, generation="a", indexes=(0, 1, 2), reported_tokens=3):
    plan = CallerPlan("m1", kind, 3, 0, 0.0)
    tokens = [(generation, index) for index in indexes]
    return CallerRecord(plan, list(attempts), tokens, reported_tokens)


def make_stream(attempts, **fields):
    return make_record(RequestKind.STREAM, attempts, **fields)


def make_call(kind, *attempts):
    return make_record(kind, attempts, indexes=(), reported_tokens=None)


def ledgers_with_calls(count):
    return Ledgers((), Counter({"m1": count}), frozenset(["m1.0.0."]))


KEYED, UNKEYED = RequestKind.KEYED_CALL, RequestKind.UNKEYED_CALL
JOINED_GENERATIONS = make_stream([COMPLETE])
JOINED_GENERATIONS.tokens[2] = ("b", 2)
CASES = [
    (make_stream([COMPLETE]), ONE_GENERATION, False, []),
    (make_stream([REPLY_LOST], indexes=(0, 1)), ONE_GENERATION, False, []),
    (make_stream([REFUSED], indexes=()), NO_RUNS, True, []),
    (make_call(UNKEYED, CUT), ledgers_with_calls(1), False, []),
    (make_call(KEYED, CUT, COMPLETE), ledgers_with_calls(1), False, []),
    (make_stream([CUT]), ONE_GENERATION, False, [BreachKind.NO_ANSWER]),
    (make_stream([SILENT]), ONE_GENERATION, False, [BreachKind.NO_ANSWER]),
    (
        make_stream([COMPLETE], indexes=(0, 1)),
        ONE_GENERATION,
        False,
        [BreachKind.INCOMPLETE],
    ),
    (
        make_stream([COMPLETE], reported_tokens=2),
        ONE_GENERATION,
        False,
        [BreachKind.INCOMPLETE],
    ),
    (
        make_stream([COMPLETE], indexes=(0, 2, 1)),
        ONE_GENERATION,
        False,
        ["tokens_wrong"],
    ),
    (
        make_stream([COMPLETE], indexes=(0, 1, 1)),
        ONE_GENERATION,
        False,
        ["tokens_wrong"],
    ),
    (JOINED_GENERATIONS, ONE_GENERATION, False, [BreachKind.TWO_GENERATIONS]),
    (make_stream([REFUSED], indexes=()), ONE_GENERATION, False, ["ran_though_refused"]),
    (
        make_call(UNKEYED, REFUSED),
        ledgers_with_calls(1),
        False,
        [BreachKind.RAN_THOUGH_REFUSED],
    ),
    (make_call(KEYED, COMPLETE), ledgers_with_calls(2), False, [BreachKind.RAN_TWICE]),
    (make_call(UNKEYED, CUT), ledgers_with_calls(2), False, [BreachKind.RAN_TWICE]),
    (make_call(KEYED, COMPLETE), NO_RUNS, False, [BreachKind.ANSWERED_UNRUN]),
    (
        make_stream([REPLY_LOST], indexes=(0, 1)),
        ONE_GENERATION,
        True,
        ["planned_stop_cut_off"],
    ),
]


@pytest.mark.parametrize(("record", "ledgers", "is_planned_only", "kinds"), CASES)
def test_verdict_reports_the_violated_guarantee(
    record, ledgers, is_planned_only, kinds
):
    breaches = check_guarantees([record], ledgers, is_planned_only)
    assert [breach.kind for breach in breaches] == [BreachKind(kind) for kind in kinds]


def test_seeds_cover_each_kind_alone_and_each_pair():
    schedules = {
        tuple(sorted(fault.kind for fault in generate_faults(seed)))
        for seed in range(135)
    }
    alone = {(kind,) for kind in FaultKind}
    pairs = {tuple(sorted((a, b))) for a in FaultKind for b in FaultKind}
    assert schedules == alone | pairs
    assert generate_faults(77) == generate_faults(77)
