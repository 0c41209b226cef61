from collections import Counter

from boragespring.routing import Placement, SubsetSettings, select_subset

SETTINGS = SubsetSettings(zone_links_max=8, spill_links_max=4)
ZONES = ("z1", "z2", "z3")


def make_placements(kind, count):
    return [Placement(f"{kind}{i}", ZONES[i % 3]) for i in range(count)]


def select_subsets(entries, agents):
    return {e.name: select_subset(e, entries, agents, SETTINGS) for e in entries}


def test_local_zone_is_preferred_and_load_is_even():
    entries, agents = make_placements("e", 30), make_placements("a", 90)
    zones = {agent.name: agent.availability_zone for agent in agents}
    chosen = select_subsets(entries, agents)
    for entry in entries:
        in_zone = sum(zones[n] == entry.availability_zone for n in chosen[entry.name])
        assert in_zone == 8 and len(chosen[entry.name]) == 12
    counts = Counter(name for names in chosen.values() for name in names)
    assert len(counts) == 90 and max(counts.values()) <= 5


def test_few_links_change_when_an_agent_or_entry_is_removed():
    entries, agents = make_placements("e", 30), make_placements("a", 90)
    before = select_subsets(entries, agents)
    fewer_agents = select_subsets(entries, agents[1:])
    fewer_entries = select_subsets(entries[1:], agents)
    total = sum(map(len, before.values()))
    removed = sum("a0" in names for names in before.values())
    moved = sum(len(before[e] - fewer_agents[e]) for e in before) - removed
    assert moved <= 0.03 * total
    moved = sum(len(before[e] - fewer_entries[e]) for e in fewer_entries)
    assert moved <= 0.03 * total


def test_small_service_is_fully_linked():
    entries, agents = make_placements("e", 3), make_placements("a", 6)
    assert all(len(names) == 6 for names in select_subsets(entries, agents).values())
