"""The soak's schedule and verdict, and short runs of it."""

import itertools

import pytest

from boragespring.platform.emulator import EmulatedPlatform, EmulatedService
from boragespring.platform.soak import run_soak
from boragespring.platform.soak.callers import Received, RequestKind
from boragespring.platform.soak.schedule import PLANNED_KINDS, SoakKind, draw_faults
from boragespring.platform.soak.verdict import KeyRemoval, SoakBreachKind, judge

#: All killed after a key was taken; planned stops in turn with changes; a gateway
#: that stands still while the store resets connections.
SEEDS = (22, 44, 35)
NEVER_S = float("inf")


def book(**more):
    fields = {
        "request_id": "r1",
        "kind": RequestKind.BOOK,
        "key": "key-1",
        "gateway": None,
        "sent_at_s": 10.0,
        "ended_at_s": 10.1,
        "status": 200,
        "body": b"answer of desk-0",
        "answered_id": "r1",
        "is_complete": True,
        "is_ended": True,
    }
    one = Received(**{**fields, **more})
    one.gateway = type("Gateway", (), {"name": "gateway-0"})()
    return one


def draft(numbers, due, **more):
    body = b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)
    return book(kind=RequestKind.DRAFT, body=body, events_due=due, **more)


def breaches(one, runs=1, removals=(), is_planned=False):
    service = EmulatedService("desk-0")
    service.runs += [one.request_id] * runs
    platform = EmulatedPlatform(services={"desk-0": service})
    return {found.kind for found in judge([one], platform, removals, is_planned)}


def removal(known_at_s):
    return KeyRemoval("key-1", 5.0, known_at_s)


CASES = [
    (SoakBreachKind.RAN_TOO_OFTEN, book(), {"runs": 2}),
    (SoakBreachKind.RAN_TOO_OFTEN, book(kind=RequestKind.LOOK), {"runs": 3}),
    (SoakBreachKind.RAN_THOUGH_REFUSED, book(status=503), {}),
    (SoakBreachKind.RAN_THOUGH_REFUSED, draft([], 5, status=429), {}),
    (SoakBreachKind.WRONG_ANSWER, book(answered_id="r2"), {}),
    (SoakBreachKind.WRONG_ANSWER, book(body=b"answer of"), {}),
    (SoakBreachKind.WRONG_EVENTS, draft([1, 2], 3), {}),
    (SoakBreachKind.WRONG_EVENTS, draft([1, 3], 3, is_complete=False), {}),
    (SoakBreachKind.WRONG_EVENTS, draft([1, 1], 3, is_complete=False), {}),
    (SoakBreachKind.SERVED_REMOVED_KEY, book(), {"removals": [removal(8.0)]}),
    (SoakBreachKind.DENIED, book(status=401), {"runs": 0}),
    (SoakBreachKind.NO_END, book(is_ended=False, status=0), {}),
    (
        SoakBreachKind.CUT_BY_PLANNED_WORK,
        book(is_complete=False, status=0),
        {"is_planned": True},
    ),
]


@pytest.mark.parametrize(("kind", "one", "more"), CASES)
def test_the_verdict_notices_each_broken_promise(kind, one, more):
    assert breaches(one, **more) == {kind}


def test_what_is_allowed_is_no_breach():
    assert not breaches(book())
    assert not breaches(book(kind=RequestKind.LOOK), runs=2)
    assert not breaches(book(status=503), runs=0)
    assert not breaches(draft([1, 2, 3], 3))
    assert not breaches(draft([1, 2], 3, is_complete=False))
    assert not breaches(book(status=401), runs=0, removals=[removal(NEVER_S)])
    assert not breaches(book(), removals=[removal(NEVER_S)])
    assert not breaches(book(is_complete=False, left=True), is_planned=True)


def test_seeds_draw_every_kind_and_planned_work_alone():
    drawn = [draw_faults(seed) for seed in range(200)]
    kinds = {fault.kind for fault in itertools.chain.from_iterable(drawn)}
    assert kinds == set(SoakKind)
    for faults in drawn[::4]:
        assert {fault.kind for fault in faults} <= PLANNED_KINDS
    assert draw_faults(7) == draw_faults(7)


@pytest.mark.parametrize("seed", SEEDS)
async def test_gateways_keep_their_promises(tmp_path, seed):
    report = await run_soak(seed, tmp_path, network=seed)
    assert not report.breaches, report.describe()
    assert report.endings["status_200"] > 0.5 * report.endings.total()
