"""View of the platform's instance list that tolerates implausible reads."""

import time
from collections import Counter
from collections.abc import Callable, Iterable

from absl import logging
from attrs import define, frozen

from boragespring.store.instances import Instance, InstanceRole, InstanceState

__all__ = ["InstanceView", "ViewCounters", "ViewSettings"]


@frozen
class ViewSettings:
    """Settings for agents that vanish from the instance list together.

    Parameters
    ----------
    vanished_max_share : float
        Fraction of a service's agents that has to vanish between two reads for
        the agents to be held.
    vanished_min : int
        Minimum number of vanished agents for which agents are held.
    hold_s : float
        Maximum time in seconds for which vanished agents are held.
    """

    vanished_max_share: float = 0.5
    vanished_min: int = 2
    hold_s: float = 300.0


@define(eq=False)
class ViewCounters:
    """Numbers of reads of the instance list and of their results.

    Parameters
    ----------
    reads : int
        Successful reads.
    failed_reads : int
        Failed reads.
    held_views : int
        Times that agents which vanished together were held.
    expired_holds : int
        Holds that expired before all of their agents were listed again.
    """

    reads: int = 0
    failed_reads: int = 0
    held_views: int = 0
    expired_holds: int = 0


@define
class _Hold:
    """Agents of a service that vanished from the list, kept for a limited time."""

    instances: dict[str, Instance]
    until_s: float


class InstanceView:
    """Instances according to the last plausible lists.

    A single agent that vanishes from the list is removed at once. If half of
    the agents of a service vanish between two reads, a faulty list is more
    likely than so many failures. They are then held until they are listed again
    or the hold expires. Meanwhile the heartbeats on their links show which of
    them are alive.

    Parameters
    ----------
    settings : ViewSettings or None
        Thresholds and duration of a hold; None for the defaults.
    clock : callable
        Monotonic clock in seconds.
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
        """Whether the list has been read since the process started."""
        return self.counters.reads > 0

    @property
    def instances(self) -> dict[str, Instance]:
        """Instances by name, including held agents."""
        return self._instances

    @property
    def held(self) -> frozenset[str]:
        """Names of the agents that are held although they are not listed."""
        return frozenset(
            name for hold in self._holds.values() for name in hold.instances
        )

    def agents(self) -> dict[str, Instance]:
        """Return the agents by name, including held ones."""
        return self._by_role[InstanceRole.AGENT]

    def entries(self) -> dict[str, Instance]:
        """Return the entries by name."""
        return self._by_role[InstanceRole.ENTRY]

    def apply_instances(self, instances: Iterable[Instance]) -> None:
        """Apply an instance list that was read."""
        self.counters.reads += 1
        listed = {instance.name: instance for instance in instances}
        self._expire_holds(listed)
        self._merge()
        previous = self._instances
        self._listed = listed
        vanished = [
            instance
            for name, instance in previous.items()
            if name not in self._listed and instance.role is InstanceRole.AGENT
        ]
        agent_counts = Counter(
            instance.service
            for instance in previous.values()
            if instance.role is InstanceRole.AGENT
        )
        for service in {instance.service for instance in vanished}:
            vanished_agents = [agent for agent in vanished if agent.service == service]
            self._check_vanished(service, vanished_agents, agent_counts[service])
        self._merge()

    def _check_vanished(
        self, service: str, vanished_agents: list[Instance], agent_count: int
    ) -> None:
        hold = self._holds.get(service)
        newly_vanished = [
            agent
            for agent in vanished_agents
            if hold is None or agent.name not in hold.instances
        ]
        allowed = self._settings.vanished_max_share * agent_count
        if len(newly_vanished) < max(self._settings.vanished_min, allowed):
            return
        # Agents that the platform marked as leaving are expected to vanish.
        newly_held = {
            agent.name: agent
            for agent in newly_vanished
            if agent.state is InstanceState.LIVE
        }
        if not newly_held:
            return
        self.counters.held_views += 1
        logging.warning(
            "event=instances_held service=%s vanished=%d of=%d",
            service,
            len(newly_vanished),
            agent_count,
        )
        if hold is None:
            until_s = self._clock() + self._settings.hold_s
            self._holds[service] = _Hold(newly_held, until_s)
        else:
            hold.instances.update(newly_held)

    def _expire_holds(self, listed: dict[str, Instance]) -> None:
        """End the hold of agents that are listed again or held for too long."""
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
        """Combine listed and held instances.

        The result is stored because it is read much more often than it changes.
        """
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
