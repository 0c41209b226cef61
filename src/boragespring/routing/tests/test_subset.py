from collections import Counter

from boragespring.routing import Placement, SubsetSettings, select_subset

SETTINGS = SubsetSettings(zone_links_max=8, spill_links_max=4)
ZONES = ("z1", "z2", "z3")


def fleet(kind, count):
    return [Placement(f"{kind}{i}", ZONES[i % 3]) for i in range(count)]


def links(entries, agents):
    return {e.name: select_subset(e, entries, agents, SETTINGS) for e in entries}


def test_own_zone_comes_first_and_load_is_even():
    entries, agents = fleet("e", 30), fleet("a", 90)
    zones = {agent.name: agent.availability_zone for agent in agents}
    chosen = links(entries, agents)
    for entry in entries:
        own = sum(zones[n] == entry.availability_zone for n in chosen[entry.name])
        assert own == 8 and len(chosen[entry.name]) == 12
    counts = Counter(name for names in chosen.values() for name in names)
    assert len(counts) == 90 and max(counts.values()) <= 5


def test_little_moves_when_an_agent_or_entry_goes():
    entries, agents = fleet("e", 30), fleet("a", 90)
    before = links(entries, agents)
    fewer_agents = links(entries, agents[1:])
    fewer_entries = links(entries[1:], agents)
    total = sum(map(len, before.values()))
    lost = sum("a0" in names for names in before.values())
    moved = sum(len(before[e] - fewer_agents[e]) for e in before) - lost
    assert moved <= 0.03 * total
    moved = sum(len(before[e] - fewer_entries[e]) for e in fewer_entries)
    assert moved <= 0.03 * total


def test_small_service_is_linked_whole():
    entries, agents = fleet("e", 3), fleet("a", 6)
    assert all(len(names) == 6 for names in links(entries, agents).values())
