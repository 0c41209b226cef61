"""Deterministic subsetting: choose the agents that an entry links to.

Each pair of an entry and an agent is hashed, and links are assigned in the order of
the hashes until the entry or the agent has reached its maximum number of links. The
maximum per agent bounds the load imbalance. Adding or removing an entry or an agent
does not reorder the remaining pairs, so only a few links change.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import xxhash
from attrs import frozen

__all__ = ["Placement", "SubsetSettings", "select_subset"]


@frozen
class Placement:
    """Name and availability zone of an entry or an agent."""

    name: str
    availability_zone: str


@frozen
class SubsetSettings:
    """Number of links between entries and the agents of a service.

    Parameters
    ----------
    zone_links_max : int
        Maximum number of agents in the entry's availability zone to link to.
    spill_links_max : int
        Number of agents in all other availability zones to link to. It is
        split evenly between the zones, rounded up.
    imbalance_max : float
        Maximum number of entries linked to an agent, relative to the mean.
    """

    zone_links_max: int = 24
    spill_links_max: int = 12
    imbalance_max: float = 1.25


def select_subset(
    entry: Placement,
    entries: Iterable[Placement],
    agents: Iterable[Placement],
    settings: SubsetSettings,
) -> frozenset[str]:
    """Return the names of the agents of a service that an entry links to.

    All entries compute the same assignment if they have the same lists.

    Parameters
    ----------
    entry : Placement
        Entry to choose agents for.
    entries : iterable of Placement
        All entries; `entry` itself may be missing.
    agents : iterable of Placement
        All agents of the service.
    settings : SubsetSettings
        Maximum numbers of links.

    Returns
    -------
    frozenset of str
        Names of the chosen agents.
    """
    all_entries = {entry, *entries}
    by_zone: dict[str, list[str]] = defaultdict(list)
    for agent in agents:
        by_zone[agent.availability_zone].append(agent.name)
    chosen: set[str] = set()
    for zone, names in by_zone.items():
        wanted = _links_wanted(all_entries, zone, len(by_zone), settings)
        chosen |= _select_in_zone(entry.name, wanted, names, settings.imbalance_max)
    return frozenset(chosen)


def _links_wanted(
    entries: Iterable[Placement], zone: str, zone_count: int, settings: SubsetSettings
) -> dict[str, int]:
    """Return the number of agents in a zone that each entry should link to."""
    spill_links_per_zone = math.ceil(settings.spill_links_max / max(1, zone_count - 1))
    return {
        entry.name: settings.zone_links_max
        if entry.availability_zone == zone
        else spill_links_per_zone
        for entry in entries
    }


def _select_in_zone(
    entry: str, wanted: Mapping[str, int], agents: Sequence[str], imbalance_max: float
) -> set[str]:
    """Return the names of an entry's agents among the agents of one zone."""
    if wanted[entry] >= len(agents):
        return set(agents)
    total_links = sum(min(count, len(agents)) for count in wanted.values())
    agent_links_max = math.ceil(imbalance_max * total_links / len(agents))
    pairs = sorted(
        (xxhash.xxh64_intdigest(f"{name}/{agent}".encode()), name, agent)
        for name in wanted
        for agent in agents
    )
    links_of_entry: Counter[str] = Counter()
    links_of_agent: Counter[str] = Counter()
    chosen = set()
    for _, name, agent in pairs:
        if (
            links_of_entry[name] < wanted[name]
            and links_of_agent[agent] < agent_links_max
        ):
            links_of_entry[name] += 1
            links_of_agent[agent] += 1
            if name == entry:
                chosen.add(agent)
    return chosen
