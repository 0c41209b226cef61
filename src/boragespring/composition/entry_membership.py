"""Build the links of an entry to agents."""

from collections.abc import Iterable

from boragespring.links import LinkContext
from boragespring.membership import AgentPeers
from boragespring.membership.peers import SubsetSelector
from boragespring.routing.subset import Placement, SubsetSettings, select_subset
from boragespring.settings import EntrySettings
from boragespring.store import Instance, InstanceList

__all__ = ["build_peers", "subset_selector"]


def build_peers(
    settings: EntrySettings,
    instances: InstanceList,
    context: LinkContext,
) -> AgentPeers:
    """Return the links of an entry to agents, without opening any.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    instances : InstanceList
        Source of the instance list.
    context : LinkContext
        Context shared by all links of the process.
    """
    local = Placement(settings.name, settings.placement.availability_zone)
    return AgentPeers(
        instances,
        context,
        settings.platform.instance_poll_interval_s,
        settings.placement.region,
        subset_selector(
            local,
            settings.placement.region,
            SubsetSettings(
                settings.routing.zone_links_max, settings.routing.spill_links_max
            ),
        ),
    )


def subset_selector(
    local: Placement, region: str, settings: SubsetSettings
) -> SubsetSelector:
    """Return a function that selects the agents of a service for an entry to link to.

    Connections between regions are lost from time to time. The entry therefore
    links to agents of other regions only if its own region has none for the
    service.

    Parameters
    ----------
    local : Placement
        Name and availability zone of the entry.
    region : str
        Region of the entry.
    settings : SubsetSettings
        Maximum numbers of links.
    """

    def select(
        entries: Iterable[Instance], agents: Iterable[Instance]
    ) -> frozenset[str]:
        all_agents = tuple(agents)
        region_agents = [agent for agent in all_agents if agent.region == region]
        if not region_agents:
            return select_subset(
                local, _placements(entries), _placements(all_agents), settings
            )
        region_entries = [entry for entry in entries if entry.region == region]
        return select_subset(
            local, _placements(region_entries), _placements(region_agents), settings
        )

    return select


def _placements(instances: Iterable[Instance]) -> list[Placement]:
    return [
        Placement(instance.name, instance.availability_zone) for instance in instances
    ]
