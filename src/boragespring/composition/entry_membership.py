"""Wire an entry's membership."""

from collections.abc import Iterable

from boragespring.links import LinkContext
from boragespring.membership import AgentPeers
from boragespring.membership.peers import SubsetSelector
from boragespring.routing.subset import Placement, SubsetSettings, select_subset
from boragespring.settings import EntrySettings
from boragespring.store import Instance, InstanceList

__all__ = ["build_peers", "subset_of"]


def build_peers(
    settings: EntrySettings,
    instances: InstanceList,
    context: LinkContext,
) -> AgentPeers:
    """Return the agents of an entry, not yet followed."""
    own = Placement(settings.name, settings.placement.availability_zone)
    return AgentPeers(
        instances,
        context,
        settings.platform.instance_poll_interval_s,
        settings.placement.region,
        subset_of(
            own,
            settings.placement.region,
            SubsetSettings(
                settings.routing.zone_links_max, settings.routing.spill_links_max
            ),
        ),
    )


def subset_of(own: Placement, region: str, settings: SubsetSettings) -> SubsetSelector:
    """Return the choice of agents of an entry: its own region's, if any.

    Regions lose each other now and then, so that an entry depends on another
    region's agents only for a service that its own has not.
    """

    def choose(
        entries: Iterable[Instance], agents: Iterable[Instance]
    ) -> frozenset[str]:
        all_agents = tuple(agents)
        near = [agent for agent in all_agents if agent.region == region]
        if not near:
            return select_subset(own, _places(entries), _places(all_agents), settings)
        neighbours = [entry for entry in entries if entry.region == region]
        return select_subset(own, _places(neighbours), _places(near), settings)

    return choose


def _places(instances: Iterable[Instance]) -> list[Placement]:
    return [Placement(each.name, each.availability_zone) for each in instances]
