"""Prompts with so many parts that not all of them can be kept."""

import random
import time
import tracemalloc

import pytest

from boragespring.quarantine import EvidenceSettings
from boragespring.quarantine.tests.support import SERVICE, Clock, make_crash
from boragespring.quarantine.tests.support import make_evidence as make
from boragespring.quarantine.tests.test_culprits import culprits_of
from boragespring.quarantine.tests.test_requests import make_quarantine

BAD = "bad"
#: As many parts as a head of 16 KiB has room for: with identifiers of eight characters
#: and two digits, and with a single character and digit.
PARTS_OF_HEAD = 1365
PARTS_OF_HEAD_MAX = 4096
#: Time between two tokens of other streams.
TOKEN_INTERVAL_S = 0.035
#: Half of what control may take at a node.
MEMORY_MAX_BYTES = 32 * 2**20


def made_up(rng, count):
    return [f"{rng.getrandbits(40):x}" for _ in range(count)]


def text_of(*parts):
    return " ".join(parts)


# Guards against a part that is found only among the first ones of a prompt.
@pytest.mark.parametrize("count", [PARTS_OF_HEAD, PARTS_OF_HEAD_MAX])
@pytest.mark.parametrize("place", [0, 31, 32, 33, 1000, -1])
def test_part_is_found_at_any_place_beside_made_up_ones(count, place):
    rng = random.Random(place)
    evidence = make()
    for number in range(3):
        parts = made_up(rng, count)
        parts[place] = BAD
        evidence.add_crash(make_crash(number, text_of(*parts)))
    assert culprits_of(evidence) == {BAD}


@pytest.mark.parametrize("count", [PARTS_OF_HEAD, PARTS_OF_HEAD_MAX])
def test_part_is_found_beside_ones_that_sound_prompts_share(count):
    rng = random.Random(count)
    shared = made_up(rng, 2 * count)
    evidence = make()
    for number in range(3):
        parts = [*rng.sample(shared, count - 1), BAD]
        evidence.add_crash(make_crash(number, text_of(*parts)))
        for _ in range(8):
            sound = frozenset(rng.sample(shared, count))
            list(evidence.clear(SERVICE, sound, number + 0.5))
    assert culprits_of(evidence) == {BAD}


def test_part_is_found_beside_other_runs_with_many_parts():
    rng = random.Random(3)
    evidence = make()
    for number in range(3):
        others = [text_of(*made_up(rng, 400)) for _ in range(12)]
        bad = text_of(*made_up(rng, PARTS_OF_HEAD), BAD)
        evidence.add_crash(make_crash(number, *others, bad))
    assert culprits_of(evidence) == {BAD}


# Guards against prompts that are made up to displace what is known of others.
def test_long_prompts_do_not_displace_a_short_one():
    rng = random.Random(4)
    evidence = make()
    evidence.add_crash(make_crash(0, f"a {BAD}"))
    for number in range(1, 40):
        evidence.add_crash(make_crash(number, text_of(*made_up(rng, 2000))))
    for number in (40, 41):
        evidence.add_crash(make_crash(number, f"a{number} {BAD}"))
    assert culprits_of(evidence) == {BAD}
    assert len(evidence.crashes) == 42


def test_parts_of_all_crashes_are_bounded_and_the_repeated_ones_stay():
    rng = random.Random(5)
    settings = EvidenceSettings(parts_max=1000, traits_max=10)
    evidence = make(settings=settings)
    for number in range(50):
        parts = made_up(rng, 400)
        evidence.add_crash(make_crash(number, text_of(*parts, BAD)))
        kept = sum(len(run) for crash in evidence.crashes for run in crash.starting)
        assert kept <= settings.parts_max + 50 * settings.traits_max
    assert culprits_of(evidence) == {BAD}
    assert len(evidence.crashes) == 50


def test_single_crash_with_too_many_parts_is_kept_in_part():
    settings = EvidenceSettings(parts_max=100, traits_max=10)
    evidence = make(settings=settings)
    parts = [f"{number:04d}" for number in range(500)]
    assert evidence.add_crash(make_crash(1, text_of(*parts)))
    (run,) = evidence.crashes[0].starting
    assert len(run) == settings.parts_max


# Guards against news that two gateways send each other without end.
def test_crash_whose_parts_were_dropped_is_no_news_when_it_comes_again():
    rng = random.Random(6)
    settings = EvidenceSettings(parts_max=1000, traits_max=10)
    evidence, other = make(settings=settings), make()
    crashes = [
        make_crash(number, text_of(*made_up(rng, 400), "x")) for number in range(6)
    ]
    for crash in crashes:
        evidence.add_crash(crash)
        other.add_crash(crash)
    assert not any(evidence.add_crash(crash) for crash in crashes)
    assert not any(other.add_crash(crash) for crash in evidence.crashes)
    assert not any(evidence.add_crash(crash) for crash in other.crashes)


def test_request_that_comes_late_is_added_to_a_crash_whose_parts_were_dropped():
    rng = random.Random(7)
    evidence = make(settings=EvidenceSettings(parts_max=500, traits_max=10))
    for number in range(3):
        evidence.add_crash(make_crash(number, text_of(*made_up(rng, 400))))
    late = [text_of(*made_up(rng, 400), "request:1.2") for _ in range(3)]
    for number, run in enumerate(late):
        assert evidence.add_crash(make_crash(number, run))
    assert culprits_of(evidence) == {"request:1.2"}


def test_clearances_of_dropped_parts_leave_room_for_others():
    rng = random.Random(8)
    settings = EvidenceSettings(parts_max=500, traits_max=10, cleared_max=500)
    evidence = make(settings=settings)
    for number in range(20):
        parts = made_up(rng, 400)
        evidence.add_crash(make_crash(number, text_of(*parts)))
        news = list(evidence.clear(SERVICE, frozenset(parts), number + 0.5))
        assert len(news) >= 100
    assert len(evidence.clearances) <= settings.cleared_max


@pytest.mark.parametrize("shared_count", [0, 2000])
def test_crashes_with_many_parts_hold_up_no_other_streams(shared_count):
    rng = random.Random(9)
    clock = Clock()
    quarantine = make_quarantine(clock)
    shared = made_up(rng, shared_count)
    times_s = []

    def draw():
        if shared:
            return rng.sample(shared, PARTS_OF_HEAD)
        return made_up(rng, PARTS_OF_HEAD)

    for number in range(30):
        crash = make_crash(number, text_of(*draw(), BAD), at_s=clock.now_s)
        began_s = time.thread_time()
        quarantine.record_crash(crash)
        times_s.append(time.thread_time() - began_s)
        clock.now_s += 0.1
        quarantine.record_sound_run(SERVICE, frozenset(draw()), clock.now_s)
    assert quarantine.check(SERVICE, frozenset([BAD]), "r") is not None
    assert sorted(times_s)[len(times_s) // 2] < TOKEN_INTERVAL_S


def test_memory_of_many_crashes_with_many_parts_is_bounded():
    rng = random.Random(10)
    clock = Clock()
    quarantine = make_quarantine(clock)
    tracemalloc.start()
    try:
        for number in range(30):
            parts = made_up(rng, PARTS_OF_HEAD_MAX)
            crash = make_crash(number, text_of(*parts, BAD), at_s=clock.now_s)
            quarantine.record_crash(crash)
            clock.now_s += 0.1
            quarantine.record_sound_run(SERVICE, frozenset(parts), clock.now_s)
        assert tracemalloc.get_traced_memory()[1] < MEMORY_MAX_BYTES
    finally:
        tracemalloc.stop()
    assert quarantine.check(SERVICE, frozenset([BAD]), "r") is not None
