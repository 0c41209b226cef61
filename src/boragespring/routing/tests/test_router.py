import random
from collections import Counter

import pytest

from boragespring.routing import (
    AgentLoad,
    CacheDigest,
    CacheIndex,
    LeastRequests,
    Placement,
    PredictedWait,
    RoundRobin,
    RouteOutcome,
    Router,
    RouteRefusedCode,
    RouteRefusedError,
    RouteRequest,
    RouterSettings,
    prefix_hashes,
)

REQUEST = RouteRequest(prompt_tokens=100, max_tokens=100)


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def make_router(count=6, policy=None, zone="z1"):
    settings = RouterSettings(policy=policy or PredictedWait())
    router = Router(zone, settings, random.Random(3), Clock())
    router.set_agents([Placement(f"a{i}", f"z{i % 3 + 1}") for i in range(count)])
    for name in router.candidates:
        router.update_load(name, make_load(0.3))
    return router


def make_load(pressure, waiting=0):
    return AgentLoad(
        running=10,
        waiting=waiting,
        committed_tokens=pressure * 10_000,
        memory_tokens=10_000,
        release_tokens_per_s=1_000.0,
        mean_output_tokens=100.0,
    )


def chosen(router, count, request=REQUEST):
    return Counter(router.choose(request) for _ in range(count))


@pytest.mark.parametrize("policy", [RoundRobin(), LeastRequests()])
def test_simple_policies_spread_evenly(policy):
    counts = chosen(make_router(policy=policy), 60)
    assert set(counts.values()) == {10}


def test_own_zone_takes_the_load_until_it_is_worse_off():
    router = make_router()
    near = {"a0", "a3"}
    counts = chosen(router, 20)
    assert sum(counts[name] for name in near) >= 18
    for name in near:
        router.update_load(name, make_load(1.5))
    counts = chosen(router, 20)
    assert sum(counts[name] for name in near) == 0


def test_what_was_sent_since_the_report_spreads_a_burst():
    counts = chosen(make_router(count=12), 120)
    # Without the entry's own count all would go to one of equal agents.
    assert max(counts.values()) <= 40


def test_many_entries_with_the_same_stale_load_do_not_herd():
    best_takes = 0
    for seed in range(200):
        router = make_router(count=20, zone="elsewhere")
        router.rng.seed(seed)
        router.update_load("a7", make_load(0.0))
        router.clock.now_s += 6.0
        best_takes += router.choose(REQUEST) == "a7"
    assert best_takes < 80


@pytest.mark.parametrize("state", ["frozen", "absent"])
def test_old_or_missing_load_is_no_reason_to_prefer_an_agent(state):
    router = make_router(count=3, zone="elsewhere")
    if state == "absent":
        router.set_agents([Placement(f"b{i}", "z1") for i in range(3)])
    router.clock.now_s += 60.0
    counts = chosen(router, 300)
    assert min(counts.values()) > 60


def test_lying_agent_that_fails_everything_is_ejected_within_the_bound():
    router = make_router(count=6, policy=RoundRobin())
    for _ in range(40):
        for name in [router.choose(REQUEST) for _ in range(6)]:
            is_bad = name in {"a0", "a1", "a2", "a3"}
            outcome = RouteOutcome.FAILED if is_bad else RouteOutcome.SERVED
            router.record_outcome(name, outcome)
    assert router.ejection.ejected_total == 2
    assert len(chosen(router, 60)) == 4
    assert set(router.ejected_agents()) == set(router.candidates) - set(
        chosen(router, 60)
    )
    router.clock.now_s += 3.0
    assert router.ejected_agents() == []
    assert len(chosen(router, 60)) == 6


def test_silent_and_leaving_agents_get_nothing_and_refusals_are_no_failures():
    router = make_router(count=3)
    router.set_linked("a0", False)
    router.set_linked("a1", False)
    for _ in range(30):
        assert router.choose(REQUEST) == "a2"
        router.record_outcome("a2", RouteOutcome.REFUSED)
    with pytest.raises(RouteRefusedError) as refused:
        router.choose(REQUEST, excluded=frozenset({"a2"}))
    assert refused.value.code is RouteRefusedCode.NO_AGENT
    assert router.candidates["a2"].open_requests == 0


def test_lost_zone_sheds_batch_before_interactive():
    router = make_router()
    for name in ("a0", "a3"):
        router.set_linked(name, False)
    for name in router.candidates:
        router.update_load(name, make_load(10.0))
    batch, interactive = (RouteRequest(rank, 100, 100) for rank in (2, 0))
    with pytest.raises(RouteRefusedError) as refused:
        router.choose(batch)
    assert refused.value.code is RouteRefusedCode.OVERLOADED
    assert refused.value.retry_after_s > 10
    assert router.choose(interactive)


def test_burst_before_the_first_report_is_not_shed():
    router = Router("z1", RouterSettings(), random.Random(3), Clock())
    router.set_agents([Placement("a0", "z1"), Placement("a1", "z2")])
    for _ in range(200):
        router.choose(REQUEST)
        router.clock.now_s += 0.01


def test_prefix_holder_is_chosen_until_it_is_loaded():
    prompt = "system prompt " * 600
    index = CacheIndex(capacity_tokens=100_000)
    index.record_prompt(prompt + "first question")
    prefixes = prefix_hashes(prompt + "another question")
    request = RouteRequest(1, 2_000, 50, prefixes)
    # Agents a2 and a5 are as near, so that the cache decides.
    router = make_router(zone="z3")
    router.update_digest("a5", index.digest())
    assert router.choose(request) == "a5"
    router.update_load("a5", make_load(1.2))
    assert router.choose(request) == "a2"
    router.update_digest("a5", CacheDigest(b"odd", b""))


def test_lost_events_make_the_digest_doubtful_and_eviction_empties_it():
    index = CacheIndex(capacity_tokens=1_000)
    index.record_prompt("a" * 1_024)
    index.record_gap()
    index.record_prompt("b" * 1_024)
    digest = index.digest()
    old, new = (prefix_hashes(c * 1_024)[0].digest for c in "ab")
    assert old in digest.unconfirmed_hashes() and new in digest.confirmed_hashes()
    index.record_eviction(256)
    assert old not in index.digest().unconfirmed_hashes()
    assert new in index.digest().confirmed_hashes()
    index.record_prompt("c" * 100_000)
    assert index._cached_tokens <= 1_000
    index.record_clear()
    assert index.digest() == CacheDigest()
