"""Choose the gateways that relay messages between the other gateways.

With a link between each two gateways, what a gateway pays for heartbeats and loads
grows with the number of gateways. Therefore a few gateways of each availability zone
act as relays: they link to the relays of all zones, and every other gateway links only
to the relays of its own zone.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from itertools import groupby

from attrs import frozen

from boragespring.store.instances import Instance

__all__ = [
    "SEED_NAME_PREFIX",
    "Topology",
    "TopologySettings",
    "build_topology",
    "is_seed",
]

#: Prefix of the names of gateways of which only the address is known yet.
SEED_NAME_PREFIX = "seed "


@frozen
class TopologySettings:
    """Number of relays.

    Parameters
    ----------
    relays_per_zone : int
        Relays of each availability zone. The second one takes over at once if the
        first one fails.
    """

    relays_per_zone: int = 2


@frozen
class Topology:
    """Relays of each availability zone, in order of preference.

    Parameters
    ----------
    relays : mapping of str to sequence of str
        Names of the reachable relays by zone.
    candidates : mapping of str to sequence of str
        Names of the relays by zone together with the unreachable gateways that would
        be relays. Links to those are still attempted, so that their return is noticed.
    """

    relays: Mapping[str, Sequence[str]]
    candidates: Mapping[str, Sequence[str]]

    def is_relay(self, name: str) -> bool:
        """Return whether a gateway is a relay."""
        return any(name in names for names in self.relays.values())

    def relay_names(self) -> list[str]:
        """Return the names of the relays of all zones."""
        return [name for names in self.relays.values() for name in names]

    def names_to_link(self, local: Instance) -> frozenset[str]:
        """Return the names of the gateways to which a gateway maintains links."""
        names = set(self.candidates.get(local.availability_zone, ()))
        if self.is_relay(local.name):
            names.update(*self.candidates.values())
        return frozenset(names - {local.name})

    def uplink_names(self, local: Instance) -> list[str]:
        """Return the relays through which a gateway that is none reaches the others."""
        if self.is_relay(local.name):
            return []
        return list(self.relays.get(local.availability_zone, ()))


def build_topology(
    gateways: Iterable[Instance],
    unreachable: Collection[str],
    settings: TopologySettings,
) -> Topology:
    """Return the topology of a set of gateways.

    The gateways with the most processing capacity are preferred. All gateways use the
    same order, so that a gateway never depends on one that depends on it.

    Parameters
    ----------
    gateways : iterable of Instance
        All known gateways, including the local one.
    unreachable : collection of str
        Names of the gateways to which no link can be opened.
    settings : TopologySettings
        Number of relays.
    """
    ordered = sorted(gateways, key=_preference)
    relays, candidates = {}, {}
    for zone, members in groupby(ordered, key=lambda item: item.availability_zone):
        names = [member.name for member in members]
        relays[zone] = _first_reachable(names, unreachable, settings)
        last = names.index(relays[zone][-1]) + 1 if relays[zone] else len(names)
        candidates[zone] = names[:last]
    return Topology(relays, candidates)


def is_seed(gateway: Instance) -> bool:
    """Return whether only the address of a gateway is known yet."""
    return gateway.name.startswith(SEED_NAME_PREFIX)


def _preference(gateway: Instance) -> tuple[str, float, str]:
    return gateway.availability_zone, -gateway.cpu_cores, gateway.name


def _first_reachable(
    names: Sequence[str], unreachable: Collection[str], settings: TopologySettings
) -> list[str]:
    reachable = [name for name in names if name not in unreachable]
    return reachable[: settings.relays_per_zone]
