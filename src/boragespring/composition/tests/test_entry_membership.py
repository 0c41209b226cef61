"""Which agents an entry links to, and who may hold a duty."""

import itertools

from attrs import evolve

from boragespring.composition.entry_membership import subset_of
from boragespring.membership import duty_candidates
from boragespring.routing.subset import Placement, SubsetSettings
from boragespring.store.instances import Instance, InstanceRole, InstanceState

ZONES = {"north": ("n-a", "n-b", "n-c"), "south": ("s-a", "s-b")}
PLACES = [(region, zone) for region, zones in ZONES.items() for zone in zones]


def fleet(role, count):
    places = itertools.islice(itertools.cycle(PLACES), count)
    return [
        Instance(f"{role}-{n}", role, "pool", region, zone, "h", n, n)
        for n, (region, zone) in enumerate(places)
    ]


ENTRIES = fleet(InstanceRole.ENTRY, 20)
AGENTS = fleet(InstanceRole.AGENT, 100)


def chosen(agents):
    choose = subset_of(Placement("entry-0", "n-a"), "north", SubsetSettings(8, 4))
    return [agent for agent in agents if agent.name in choose(ENTRIES, agents)]


def test_links_stay_in_the_region_while_it_has_the_service():
    linked = chosen(AGENTS)
    assert {agent.region for agent in linked} == {"north"}
    assert sum(agent.availability_zone == "n-a" for agent in linked) == 8
    assert len({agent.availability_zone for agent in linked}) == 3
    south = [agent for agent in AGENTS if agent.region == "south"]
    assert {agent.region for agent in chosen(south)} == {"south"}


def test_loss_of_a_zone_moves_few_links_and_leaves_a_candidate_for_each_duty():
    before = {agent.name for agent in chosen(AGENTS)}
    rest = [agent for agent in AGENTS if agent.availability_zone != "n-b"]
    after = {agent.name for agent in chosen(rest)}
    kept = {agent.name for agent in rest} & before
    assert len(kept - after) <= 2
    north = [entry for entry in ENTRIES if entry.region == "north"]
    for number in range(20):
        names = duty_candidates(f"orders/north/{number}", north)
        zones = {e.availability_zone for e in north if e.name in names}
        assert len(names) == len(zones) == 3
    leaving = [evolve(entry, state=InstanceState.LEAVING) for entry in north[1:]]
    assert duty_candidates("orders/x", [north[0], *leaving]) == {north[0].name}
