"""Choice of a server under several loads."""

import random

from boragespring.catalog import EngineProfile
from boragespring.fleet import BackendServer, Registration, ServerAddress
from boragespring.fleet.model import PeerLoad, RunLoad
from boragespring.forwarding.messages import PromptShape
from boragespring.forwarding.placement import (
    GenerationCall,
    PlacementSettings,
    PlacementView,
    ServiceCall,
    choose_server,
)

ENGINE = EngineProfile(slots=24, memory_tokens=34_000)
SETTINGS = PlacementSettings()
NOW_S = 50.0


def server(name, zone="a", slots=6, warm_up_s=0.0, joined_at_s=0.0):
    address = ServerAddress("10.0.0.1", 80)
    entry = Registration(name, "svc", address, zone, slots, warm_up_s=warm_up_s)
    return BackendServer(entry, joined_at_s)


def choose(load, servers, excluded=()):
    view = PlacementView(servers, "a", NOW_S, excluded)
    return choose_server(load, view, SETTINGS)


def draft(prompt_tokens=3000, output_tokens=900):
    return GenerationCall(PromptShape(prompt_tokens, output_tokens), ENGINE)


def give(target, count, prompt_tokens=3000, output_tokens=900, produced=4):
    for number in range(count):
        name = f"{target.server_id}-{number}"
        target.runs[name] = RunLoad(prompt_tokens, output_tokens, 0.0, produced)


def test_none_when_all_have_refused():
    one = server("one")
    assert choose(ServiceCall(), [one], excluded={"one"}) is None
    assert choose(ServiceCall(), []) is None


def test_calls_go_where_fewest_are_and_to_the_own_zone():
    near, far = server("near"), server("far", zone="b")
    assert choose(ServiceCall(), [far, near]) is near
    give(near, 1)
    assert choose(ServiceCall(), [far, near]) is far


def test_a_suspected_server_is_the_last_resort():
    good, bad = server("good"), server("bad")
    bad.suspected_until_s = NOW_S + 1
    give(good, 5)
    assert choose(ServiceCall(), [good, bad]) is good
    assert choose(ServiceCall(), [bad]) is bad


def test_long_prompts_avoid_an_engine_that_reads_one():
    reading, writing = server("reading"), server("writing")
    give(reading, 1, produced=0)
    give(writing, 2)
    assert choose(draft(), [reading, writing]) is writing


def test_what_other_gateways_sent_counts():
    mine, theirs = server("mine"), server("theirs")
    theirs.peer_loads["gateway-2"] = PeerLoad(8, 32_000.0, 0.0, NOW_S)
    give(mine, 3)
    assert choose(draft(), [mine, theirs]) is mine


def test_memory_goes_before_the_zone():
    near, far = server("near"), server("far", zone="b")
    give(near, 8)
    assert choose(draft(), [near, far]) is far


def test_a_server_that_warms_up_is_spared():
    cold = server("cold", warm_up_s=3.0, joined_at_s=NOW_S - 1.0)
    warm = server("warm")
    give(warm, 2)
    assert choose(draft(), [cold, warm]) is warm


def test_a_burst_spreads_over_the_engines():
    rng = random.Random(1)
    engines = [server(f"e{n}", zone="abc"[n % 3]) for n in range(6)]
    for number in range(36):
        shape = PromptShape(rng.randint(1000, 5000), rng.randint(50, 1500))
        target = choose(GenerationCall(shape, ENGINE), engines)
        run = RunLoad(shape.prompt_tokens, shape.output_tokens, 0.0)
        target.runs[str(number)] = run
    held = [one.load.memory_tokens for one in engines]
    assert max(held) < 1.35 * sum(held) / len(held)
