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


def count_choices(router, count, request=REQUEST):
    return Counter(router.choose(request) for _ in range(count))


@pytest.mark.parametrize("policy", [RoundRobin(), LeastRequests()])
def test_simple_policies_spread_evenly(policy):
    counts = count_choices(make_router(policy=policy), 60)
    assert set(counts.values()) == {10}


def test_services_that_share_settings_are_spread_independently():
    settings = RouterSettings(policy=RoundRobin())
    routers = [Router("z1", settings, random.Random(3), Clock()) for _ in range(2)]
    for router in routers:
        router.set_agents([Placement("a0", "z1"), Placement("a1", "z1")])
    chosen = [[router.choose(REQUEST) for router in routers] for _ in range(10)]
    for names in zip(*chosen, strict=True):
        assert Counter(names) == {"a0": 5, "a1": 5}


def test_local_zone_is_preferred_until_overloaded():
    router = make_router()
    local_agents = {"a0", "a3"}
    counts = count_choices(router, 20)
    assert sum(counts[name] for name in local_agents) >= 18
    for name in local_agents:
        router.update_load(name, make_load(1.5))
    counts = count_choices(router, 20)
    assert sum(counts[name] for name in local_agents) == 0


def test_unreported_requests_spread_a_burst():
    counts = count_choices(make_router(count=12), 120)
    # All reported loads are equal; only the unreported requests differ.
    assert max(counts.values()) <= 40


def test_stale_loads_do_not_cause_herding():
    best_choices = 0
    for seed in range(200):
        router = make_router(count=20, zone="elsewhere")
        router.rng.seed(seed)
        router.update_load("a7", make_load(0.0))
        router.clock.now_s += 6.0
        best_choices += router.choose(REQUEST) == "a7"
    assert best_choices < 80


@pytest.mark.parametrize("state", ["frozen", "absent"])
def test_stale_or_missing_load_does_not_attract_requests(state):
    router = make_router(count=3, zone="elsewhere")
    if state == "absent":
        router.set_agents([Placement(f"b{i}", "z1") for i in range(3)])
    router.clock.now_s += 60.0
    counts = count_choices(router, 300)
    assert min(counts.values()) > 60


def test_failing_agents_are_ejected_up_to_the_limit():
    router = make_router(count=6, policy=RoundRobin())
    for _ in range(40):
        for name in [router.choose(REQUEST) for _ in range(6)]:
            is_failing = name in {"a0", "a1", "a2", "a3"}
            outcome = RouteOutcome.FAILED if is_failing else RouteOutcome.SERVED
            router.record_outcome(name, outcome)
    assert router.ejection.ejected_total == 2
    assert len(count_choices(router, 60)) == 4
    assert set(router.ejected_agents()) == set(router.candidates) - set(
        count_choices(router, 60)
    )
    router.clock.now_s += 3.0
    assert router.ejected_agents() == []
    assert len(count_choices(router, 60)) == 6


def test_unlinked_agents_are_skipped_and_refusals_are_not_failures():
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


def test_overload_after_zone_loss_sheds_batch_before_interactive():
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


def test_burst_before_the_first_load_report_is_not_shed():
    router = Router("z1", RouterSettings(), random.Random(3), Clock())
    router.set_agents([Placement("a0", "z1"), Placement("a1", "z2")])
    for _ in range(200):
        router.choose(REQUEST)
        router.clock.now_s += 0.01


def test_agent_with_cached_prefix_is_preferred_until_overloaded():
    prompt = "system prompt " * 600
    index = CacheIndex(capacity_tokens=100_000)
    index.record_prompt(prompt + "first question")
    prefixes = prefix_hashes(prompt + "another question")
    request = RouteRequest(1, 2_000, 50, prefixes)
    # Both a2 and a5 are in the local zone, so the cached prefix decides.
    router = make_router(zone="z3")
    router.update_digest("a5", index.digest())
    assert router.choose(request) == "a5"
    router.update_load("a5", make_load(1.2))
    assert router.choose(request) == "a2"
    router.update_digest("a5", CacheDigest(b"odd", b""))


def test_lost_events_leave_prefixes_unconfirmed_until_evicted():
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
