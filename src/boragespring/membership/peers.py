"""Links between an entry and agents."""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable, Iterable

from absl import logging
from attrs import define

from boragespring.links import (
    Link,
    LinkClosedError,
    LinkContext,
    LinkDialer,
)
from boragespring.membership.messages import AgentState, LeaveNotice
from boragespring.membership.peer import AgentPeer
from boragespring.membership.view import InstanceView
from boragespring.store.instances import (
    Instance,
    InstanceList,
    InstanceListError,
    InstanceRole,
)

__all__ = ["AgentPeers", "PeerCounters", "PeerStatus", "SubsetSelector"]

#: Range of the random factor applied to the poll interval.
POLL_JITTER_LOW, POLL_JITTER_HIGH = 0.75, 1.0
#: Time after the first list read at which an entry becomes ready even if some
#: service has no linked agent.
READY_TIMEOUT_S = 5.0
#: Time for which a link outside the subset is kept open after its last use.
TEMPORARY_LINK_TTL_S = 60.0
#: Maximum number of such links.
TEMPORARY_LINKS_MAX = 64

#: Returns the names of the agents to link to, given all entries and the agents of
#: one service.
SubsetSelector = Callable[[Iterable[Instance], Iterable[Instance]], frozenset[str]]

#: Names, regions and availability zones of the instances that a subset was chosen
#: from.
Locations = frozenset[tuple[str, str, str]]


def _all_agents(_: Iterable[Instance], agents: Iterable[Instance]) -> frozenset[str]:
    return frozenset(agent.name for agent in agents)


@define(eq=False)
class PeerCounters:
    """Numbers of membership events.

    Parameters
    ----------
    replaced : int
        Agents that were replaced, as shown by another incarnation.
    subset_changes : int
        Times that the subset of a service was chosen again.
    leave_notices : int
        Notices sent to agents that the list marks as leaving.
    """

    replaced: int = 0
    subset_changes: int = 0
    leave_notices: int = 0


@define
class PeerStatus:
    """State of one agent as shown on the status page.

    Parameters
    ----------
    name, service, availability_zone : str
        Name, service and availability zone of the agent.
    incarnation : int
        Incarnation that the agent reported; 0 if it was never linked.
    is_linked : bool
        Whether there is an open link.
    is_suspect : bool
        Whether the agent is suspected to have failed.
    is_leaving : bool
        Whether the agent or the instance list says that it is leaving.
    is_held : bool
        Whether the agent is kept although the list no longer contains it.
    silence_s : float
        Time since the last message in seconds; -1 without a link.
    share : float
        Fraction of its full load that the agent gets.
    in_flight : int
        Requests from this entry that are in progress at the agent.
    """

    name: str
    service: str
    availability_zone: str
    incarnation: int
    is_linked: bool
    is_suspect: bool
    is_leaving: bool
    is_held: bool
    silence_s: float
    share: float
    in_flight: int


class AgentPeers:
    """Maintain links to a subset of the agents in the platform's instance list.

    Parameters
    ----------
    instances : InstanceList
        The platform's instance list.
    context : LinkContext
        Context shared by all links of the process.
    poll_interval_s : float
        Maximum time between two reads of the list in seconds.
    region : str
        Region of this process.
    subset : callable
        Chooses the agents of each service to link to; all of them by default.
    view : InstanceView or None
        View that filters implausible lists; None for the default settings.

    Attributes
    ----------
    counters : PeerCounters
        Numbers of membership events.
    """

    def __init__(
        self,
        instances: InstanceList,
        context: LinkContext,
        poll_interval_s: float,
        region: str = "",
        subset: SubsetSelector = _all_agents,
        view: InstanceView | None = None,
    ) -> None:
        self._instances = instances
        self._context = context
        self._poll_interval_s = poll_interval_s
        self._region = region
        self._subset = subset
        self._pinned_services: frozenset[str] = frozenset()
        self._peers: dict[str, AgentPeer] = {}
        self._subsets: dict[str, tuple[Locations, frozenset[str]]] = {}
        self._subset_names: frozenset[str] = frozenset()
        self._first_read_at_s = float("inf")
        self.view = view or InstanceView()
        self.counters = PeerCounters()
        context.dispatcher.on(AgentState, self._on_agent_state)
        context.dispatcher.on_up(self._on_link_up)

    @property
    def is_ready(self) -> bool:
        """Whether each service has a linked agent, or the timeout has passed.

        The list has been read in either case.
        """
        if time.monotonic() - self._first_read_at_s > READY_TIMEOUT_S:
            return True
        services = {peer.instance.service for peer in self._peers.values()}
        linked = {peer.instance.service for peer in self._peers.values() if peer.link}
        return self.view.has_been_read and services == linked

    def get(self, name: str) -> AgentPeer | None:
        """Return the agent with a given name if links to it are maintained."""
        return self._peers.get(name)

    def get_or_connect(self, name: str) -> AgentPeer | None:
        """Return the agent with a given name, opening a link if necessary.

        It is used to resume an answer. The link to an agent outside the subset
        is kept open for some time after its last use. None is returned if the
        agent is unknown or if there are too many such links.
        """
        peer = self._peers.get(name)
        if peer is None:
            instance = self.view.agents().get(name)
            outside_subset = self._peers.keys() - self._subset_names
            if instance is None or len(outside_subset) >= TEMPORARY_LINKS_MAX:
                return None
            peer = self._start_peer(instance)
        peer.needed_until_s = time.monotonic() + TEMPORARY_LINK_TTL_S
        return peer

    def of_service(self, service: str) -> list[AgentPeer]:
        """Return the agents of a service in this entry's subset."""
        return [
            peer
            for name, peer in self._peers.items()
            if peer.instance.service == service and name in self._subset_names
        ]

    def available_agents(
        self, service: str, excluded: frozenset[str]
    ) -> list[AgentPeer]:
        """Return the agents of the subset that accept new work.

        Agents suspected to have failed are left out unless all of them are.
        """
        candidates = [
            peer
            for peer in self.of_service(service)
            if peer.accepts_work and peer.name not in excluded
        ]
        return [peer for peer in candidates if not peer.is_suspect] or candidates

    def pin(self, services: frozenset[str]) -> None:
        """Maintain links to all agents of the given services in the local region.

        They replace the services of an earlier call.
        """
        self._pinned_services = services
        self._update_links(self.view.agents())

    def pinned(self, service: str) -> list[AgentPeer]:
        """Return all agents of a pinned service in the local region."""
        return [
            peer
            for peer in self._peers.values()
            if peer.instance.service == service and self._is_pinned(peer.instance)
        ]

    def status(self) -> list[PeerStatus]:
        """Return the state of each agent, in order of name."""
        return [self._status_of(peer) for _, peer in sorted(self._peers.items())]

    async def run(self) -> None:
        """Poll the instance list until cancelled, then close all links."""
        try:
            while True:
                try:
                    await self._poll()
                except Exception:
                    # One malformed list must not end the polling.
                    logging.exception("event=instance_poll_failed")
                jitter = random.uniform(POLL_JITTER_LOW, POLL_JITTER_HIGH)
                await asyncio.sleep(self._poll_interval_s * jitter)
        finally:
            for peer in self._peers.values():
                peer.stop()

    async def _poll(self) -> None:
        try:
            instances = await self._instances.fetch()
        except InstanceListError as error:
            self.view.counters.failed_reads += 1
            logging.log_first_n(
                logging.WARNING, "event=instance_list_unreadable error=%s", 3, error
            )
            return
        if not self.view.has_been_read:
            self._first_read_at_s = time.monotonic()
        self.view.apply_instances(instances)
        await self._update_subsets()
        self._update_links(self.view.agents())
        self._notify_leaving_agents()

    async def _update_subsets(self) -> None:
        """Choose the subset again for each service whose instances changed."""
        instances = tuple(self.view.instances.values())
        entries = [
            instance for instance in instances if instance.role is InstanceRole.ENTRY
        ]
        agents: dict[str, list[Instance]] = defaultdict(list)
        for instance in instances:
            if instance.role is InstanceRole.AGENT:
                agents[instance.service].append(instance)
        entry_locations = _locations(entries)
        for service in self._subsets.keys() - agents.keys():
            del self._subsets[service]
        for service, service_agents in agents.items():
            locations = entry_locations | _locations(service_agents)
            existing = self._subsets.get(service)
            if existing is not None and existing[0] == locations:
                continue
            self._subsets[service] = (locations, self._subset(entries, service_agents))
            self.counters.subset_changes += 1
            # With many instances each choice blocks the event loop for
            # milliseconds. Yielding in between lets tokens be relayed.
            await asyncio.sleep(0)
        chosen = [names for _, names in self._subsets.values()]
        self._subset_names = frozenset().union(*chosen)

    def _update_links(self, agents: dict[str, Instance]) -> None:
        """Open links to the selected agents and close those not needed."""
        now_s = time.monotonic()
        for name, peer in tuple(self._peers.items()):
            is_needed = self._is_wanted(peer.instance) or self._is_in_use(peer, now_s)
            if name not in agents or not is_needed:
                self._peers.pop(name).stop()
        for name, instance in agents.items():
            existing = self._peers.get(name)
            if existing is not None and _same_address(existing.instance, instance):
                existing.apply_listing(instance)
            elif existing is not None:
                existing.stop()
                self._start_peer(instance)
            elif self._is_wanted(instance):
                self._start_peer(instance)

    def _is_wanted(self, instance: Instance) -> bool:
        return instance.name in self._subset_names or self._is_pinned(instance)

    def _is_pinned(self, instance: Instance) -> bool:
        is_local_region = instance.region == self._region
        return is_local_region and instance.service in self._pinned_services

    def _is_in_use(self, peer: AgentPeer, now_s: float) -> bool:
        return peer.in_flight > 0 or now_s < peer.needed_until_s

    def _start_peer(self, instance: Instance) -> AgentPeer:
        dialer = LinkDialer(
            instance.host,
            instance.link_port,
            self._context,
            instance.name,
        )
        peer = AgentPeer(instance, dialer)
        peer.apply_listing(instance)
        peer.start()
        self._peers[instance.name] = peer
        return peer

    def _notify_leaving_agents(self) -> None:
        """Notify agents that the list marks as leaving, as they do not read it."""
        for peer in self._peers.values():
            link = peer.link
            if link is None or not peer.is_listed_leaving or peer.state.is_leaving:
                continue
            try:
                link.send(LeaveNotice(peer.incarnation))
            except LinkClosedError:
                continue
            self.counters.leave_notices += 1

    def _on_link_up(self, link: Link) -> None:
        peer = self._peers.get(link.peer.name)
        if peer is None or peer.link is not link:
            return
        if peer.on_link_up(link):
            self.counters.replaced += 1
            logging.info(
                "event=agent_replaced name=%s incarnation=%d",
                peer.name,
                peer.incarnation,
            )

    def _on_agent_state(self, link: Link, state: AgentState) -> None:
        peer = self._peers.get(link.peer.name)
        if peer is None or peer.link is not link:
            return
        if state.is_leaving and not peer.state.is_leaving:
            logging.info("event=agent_leaving name=%s", peer.name)
        peer.state = state

    def _status_of(self, peer: AgentPeer) -> PeerStatus:
        link = peer.link
        return PeerStatus(
            name=peer.name,
            service=peer.instance.service,
            availability_zone=peer.instance.availability_zone,
            incarnation=peer.incarnation,
            is_linked=link is not None,
            is_suspect=peer.is_suspect,
            is_leaving=peer.is_leaving,
            is_held=peer.name in self.view.held,
            silence_s=round(link.silence_s, 3) if link is not None else -1.0,
            share=round(peer.share, 2),
            in_flight=peer.in_flight,
        )


def _locations(instances: Iterable[Instance]) -> Locations:
    return frozenset(
        (instance.name, instance.region, instance.availability_zone)
        for instance in instances
    )


def _same_address(one: Instance, other: Instance) -> bool:
    return (one.host, one.link_port) == (other.host, other.link_port)
