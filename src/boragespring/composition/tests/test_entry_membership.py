"""Selection of the agents that an entry links to, and of duty candidates."""

import itertools

from attrs import evolve

from boragespring.composition.entry_membership import subset_selector
from boragespring.membership import duty_candidates
from boragespring.routing.subset import Placement, SubsetSettings
from boragespring.store.instances import Instance, InstanceRole, InstanceState

ZONES = {"north": ("n-a", "n-b", "n-c"), "south": ("s-a", "s-b")}
LOCATIONS = [(region, zone) for region, zones in ZONES.items() for zone in zones]


def make_instances(role, count):
    locations = itertools.islice(itertools.cycle(LOCATIONS), count)
    return [
        Instance(f"{role}-{index}", role, "pool", region, zone, "h", index, index)
        for index, (region, zone) in enumerate(locations)
    ]


ENTRIES = make_instances(InstanceRole.ENTRY, 20)
AGENTS = make_instances(InstanceRole.AGENT, 100)


def linked_agents(agents):
    select_agents = subset_selector(
        Placement("entry-0", "n-a"), "north", SubsetSettings(8, 4)
    )
    return [agent for agent in agents if agent.name in select_agents(ENTRIES, agents)]


def test_links_stay_in_region_while_it_has_agents():
    linked = linked_agents(AGENTS)
    assert {agent.region for agent in linked} == {"north"}
    assert sum(agent.availability_zone == "n-a" for agent in linked) == 8
    assert len({agent.availability_zone for agent in linked}) == 3
    south = [agent for agent in AGENTS if agent.region == "south"]
    assert {agent.region for agent in linked_agents(south)} == {"south"}


def test_loss_of_zone_changes_few_links_and_leaves_duty_candidates():
    before = {agent.name for agent in linked_agents(AGENTS)}
    remaining = [agent for agent in AGENTS if agent.availability_zone != "n-b"]
    after = {agent.name for agent in linked_agents(remaining)}
    retained = {agent.name for agent in remaining} & before
    assert len(retained - after) <= 2
    north = [entry for entry in ENTRIES if entry.region == "north"]
    for number in range(20):
        names = duty_candidates(f"orders/north/{number}", north)
        zones = {one.availability_zone for one in north if one.name in names}
        assert len(names) == len(zones) == 3
    leaving = [evolve(entry, state=InstanceState.LEAVING) for entry in north[1:]]
    assert duty_candidates("orders/x", [north[0], *leaving]) == {north[0].name}
