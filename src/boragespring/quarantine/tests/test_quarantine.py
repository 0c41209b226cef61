"""Requests that are refused, and trials that end a quarantine."""

import itertools

from boragespring.decisions import DecisionLog
from boragespring.quarantine import (
    CrashEvidence,
    QuarantineSettings,
    RequestQuarantine,
)
from boragespring.quarantine.tests.support import SERVICE, Clock, make_crash

BAD = frozenset(["a", "bad"])
SETTINGS = QuarantineSettings(trial_interval_s=60.0, trial_interval_max_s=200.0)


def make_quarantine(clock, is_responsible=True, crashes=3):
    quarantine = RequestQuarantine(
        CrashEvidence(clock=clock),
        SETTINGS,
        lambda key: is_responsible,
        DecisionLog(),
        clock,
    )
    for number in range(crashes):
        quarantine.record_crash(make_crash(number, f"{number} bad", at_s=clock.now_s))
    return quarantine


def is_sent(quarantine, request_id, prompt=BAD):
    return quarantine.check(SERVICE, prompt, request_id) is None


def test_requests_with_the_part_are_refused_and_others_are_not():
    quarantine = make_quarantine(Clock())
    decision = quarantine.check(SERVICE, BAD, "r1")
    assert decision.trial_in_s == 60.0
    assert decision.culprit.traits == {"bad"}
    assert is_sent(quarantine, "r2", frozenset(["a", "rare"]))
    assert quarantine.check("other", BAD, "r3") is None


# Guards against a common part that is blamed as some servers crash at once, and that no
# answer can clear then, as all requests with it are refused.
def test_part_that_many_have_is_not_blamed_as_several_servers_crash_at_once():
    clock = Clock()
    quarantine = make_quarantine(clock, crashes=0)
    quarantine.record_sound_run(SERVICE, frozenset(["all"]), clock.now_s)
    clock.now_s += 1.0
    for number in range(4):
        crash = make_crash(number, f"{number} all", at_s=clock.now_s)
        quarantine.record_crash(crash)
    assert is_sent(quarantine, "r1", frozenset(["all", "rare"]))
    # An answer of a server of an earlier version says nothing about the next one.
    clock.now_s += 10.0
    for number in range(4, 7):
        crash = make_crash(number, f"{number} all", at_s=clock.now_s)
        quarantine.record_crash(crash)
    assert not is_sent(quarantine, "r2", frozenset(["all", "rare"]))


def test_crashes_on_a_part_that_was_sound_before_are_not_put_down_to_others():
    clock = Clock()
    quarantine = make_quarantine(clock, crashes=0)
    quarantine.record_sound_run(SERVICE, frozenset(["bad"]), clock.now_s)
    for number in range(8):
        clock.now_s += 0.5
        quarantine.record_crash(make_crash(number, "a bad", at_s=clock.now_s))
        quarantine.record_crash(make_crash(100 + number, "b bad", at_s=clock.now_s))
        assert is_sent(quarantine, f"r{number}", frozenset(["a", "rare"]))
    assert not is_sent(quarantine, "r9", frozenset(["c", "bad"]))


def test_run_is_not_repeated_after_two_crashes():
    quarantine = make_quarantine(Clock(), crashes=2)
    assert is_sent(quarantine, "r1")
    assert quarantine.suspects(SERVICE, BAD)
    assert not quarantine.suspects(SERVICE, frozenset(["0"]))


def test_one_gateway_sends_one_request_as_a_trial():
    clock = Clock()
    quarantine, other = make_quarantine(clock), make_quarantine(clock, False)
    clock.now_s += 59.0
    assert not is_sent(quarantine, "r1")
    clock.now_s += 2.0
    assert is_sent(quarantine, "r2")
    assert is_sent(quarantine, "r2")
    assert not is_sent(quarantine, "r3")
    assert not is_sent(other, "r4")


def test_answer_to_the_trial_ends_the_quarantine_everywhere():
    clock = Clock()
    quarantine, other = make_quarantine(clock), make_quarantine(clock, False)
    quarantine.news_hooks.append(other.merge)
    clock.now_s += 61.0
    assert is_sent(quarantine, "r1")
    quarantine.record_sound_run(SERVICE, BAD, clock.now_s)
    assert is_sent(quarantine, "r2")
    assert is_sent(other, "r3")


def test_trials_that_crash_servers_become_rarer():
    clock = Clock()
    quarantine = make_quarantine(clock)
    times_s = []
    for second in range(2000):
        clock.now_s += 1.0
        if is_sent(quarantine, f"r{second}"):
            times_s.append(second)
            crash = make_crash(100 + second, "x bad", at_s=clock.now_s)
            quarantine.record_crash(crash)
    pauses_s = [after - before for before, after in itertools.pairwise(times_s)]
    assert pauses_s[:2] == [120, 200]
    assert set(pauses_s[1:]) == {200}


def test_trials_that_get_no_answer_become_rarer_as_well():
    clock = Clock()
    quarantine = make_quarantine(clock)
    times_s = []
    for second in range(1, 1000):
        clock.now_s += 1.0
        if is_sent(quarantine, f"r{second}"):
            times_s.append(second)
    assert times_s == [60, 180, 380, 580, 780, 980]
