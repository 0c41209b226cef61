"""The platform's instance list, as far as it can be believed."""

import time
from collections import Counter
from collections.abc import Callable, Iterable

from absl import logging
from attrs import define, frozen

from boragespring.store.instances import Instance, InstanceRole, InstanceState

__all__ = ["InstanceView", "ViewCounters", "ViewSettings"]


@frozen
class ViewSettings:
    """When a list that has lost instances is not believed at once.

    Parameters
    ----------
    vanished_max_share : float
        Share of the agents of a service that may vanish between two reads.
    vanished_min : int
        Fewer vanished agents are always believed.
    hold_s : float
        Longest time for which vanished agents are kept.
    """

    vanished_max_share: float = 0.5
    vanished_min: int = 2
    hold_s: float = 300.0


@define(eq=False)
class ViewCounters:
    """Counts of what the list did."""

    reads: int = 0
    failed_reads: int = 0
    held_views: int = 0
    expired_holds: int = 0


@define
class _Hold:
    """Agents of a service that vanished together, kept for some time."""

    instances: dict[str, Instance]
    until_s: float


class InstanceView:
    """Last good view of the instances.

    An agent that vanishes from the list alone is gone. When half of a
    service's agents vanish between two reads, the list is more likely wrong
    than they are: they are kept, as a link's own heartbeats tell which of them
    still answer, until they are listed again or the hold ends.

    Parameters
    ----------
    settings : ViewSettings or None
        Bounds; None for the defaults.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        settings: ViewSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings or ViewSettings()
        self._clock = clock
        self._listed: dict[str, Instance] = {}
        self._holds: dict[str, _Hold] = {}
        self._instances: dict[str, Instance] = {}
        self._by_role: dict[InstanceRole, dict[str, Instance]] = {
            role: {} for role in InstanceRole
        }
        self.counters = ViewCounters()

    @property
    def has_been_read(self) -> bool:
        """Whether the list was read since the start."""
        return self.counters.reads > 0

    @property
    def instances(self) -> dict[str, Instance]:
        """Instances by name, with those that are held."""
        return self._instances

    @property
    def held(self) -> frozenset[str]:
        """Names of the agents that are held against the list."""
        return frozenset(
            name for hold in self._holds.values() for name in hold.instances
        )

    def agents(self) -> dict[str, Instance]:
        """Return the agents by name."""
        return self._by_role[InstanceRole.AGENT]

    def entries(self) -> dict[str, Instance]:
        """Return the entries by name."""
        return self._by_role[InstanceRole.ENTRY]

    def apply_instances(self, instances: Iterable[Instance]) -> None:
        """Take in a list that was read."""
        self.counters.reads += 1
        listed = {instance.name: instance for instance in instances}
        self._expire_holds(listed)
        self._merge()
        before = self._instances
        self._listed = listed
        vanished = [
            instance
            for name, instance in before.items()
            if name not in self._listed and instance.role is InstanceRole.AGENT
        ]
        sizes = Counter(
            instance.service
            for instance in before.values()
            if instance.role is InstanceRole.AGENT
        )
        for service in {instance.service for instance in vanished}:
            vanished_agents = [agent for agent in vanished if agent.service == service]
            self._check_vanished(service, vanished_agents, sizes[service])
        self._merge()

    def _check_vanished(
        self, service: str, vanished_agents: list[Instance], size: int
    ) -> None:
        hold = self._holds.get(service)
        newly_vanished = [
            agent
            for agent in vanished_agents
            if hold is None or agent.name not in hold.instances
        ]
        allowed = self._settings.vanished_max_share * size
        if len(newly_vanished) < max(self._settings.vanished_min, allowed):
            return
        # What the platform has said to be leaving may well be gone.
        kept = {
            agent.name: agent
            for agent in newly_vanished
            if agent.state is InstanceState.LIVE
        }
        if not kept:
            return
        self.counters.held_views += 1
        logging.warning(
            "event=instances_held service=%s vanished=%d of=%d",
            service,
            len(newly_vanished),
            size,
        )
        if hold is None:
            until_s = self._clock() + self._settings.hold_s
            self._holds[service] = _Hold(kept, until_s)
        else:
            hold.instances.update(kept)

    def _expire_holds(self, listed: dict[str, Instance]) -> None:
        now_s = self._clock()
        for service, hold in tuple(self._holds.items()):
            for name in hold.instances.keys() & listed.keys():
                del hold.instances[name]
            if now_s >= hold.until_s and hold.instances:
                self.counters.expired_holds += 1
                logging.warning(
                    "event=instances_hold_ended service=%s dropped=%d",
                    service,
                    len(hold.instances),
                )
            if now_s >= hold.until_s or not hold.instances:
                del self._holds[service]

    def _merge(self) -> None:
        """Join what is listed and what is held; asked often, changed seldom."""
        held = {
            name: instance
            for hold in self._holds.values()
            for name, instance in hold.instances.items()
        }
        self._instances = held | self._listed
        self._by_role = {
            role: {
                name: instance
                for name, instance in self._instances.items()
                if instance.role is role
            }
            for role in InstanceRole
        }
