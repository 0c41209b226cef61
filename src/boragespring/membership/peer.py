"""State that an entry keeps for one linked agent."""

import asyncio
import time
from collections.abc import Callable

from boragespring.links import Link, LinkDialer
from boragespring.membership.messages import AgentState
from boragespring.store.instances import Instance, InstanceState

__all__ = ["AgentPeer"]

UNKNOWN_STATE = AgentState(False, 0, 0, 0, 0)
#: Time over which the share of a replaced agent grows to 1, from
#: `SLOW_START_MIN_SHARE`.
SLOW_START_S = 10.0
SLOW_START_MIN_SHARE = 0.1


class AgentPeer:
    """One agent, its link and the state that it last reported.

    Parameters
    ----------
    instance : Instance
        Record of the agent in the instance list.
    dialer : LinkDialer
        Dialer that maintains the link.
    clock : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    state : AgentState
        State that the agent last reported.
    in_flight : int
        Requests from this entry that are in progress at the agent.
    incarnation : int
        Incarnation that the agent reported when the link was opened; 0 before.
    """

    def __init__(
        self,
        instance: Instance,
        dialer: LinkDialer,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.instance = instance
        self.dialer = dialer
        self.state = UNKNOWN_STATE
        self.in_flight = 0
        self.task: asyncio.Task[None] | None = None
        self.incarnation = 0
        #: Monotonic time until which a link outside the subset is kept open.
        self.needed_until_s = float("-inf")
        self._clock = clock
        self._replaced_at_s = float("-inf")
        self._leaving_incarnation: int | None = None

    @property
    def name(self) -> str:
        """Name of the agent's instance."""
        return self.instance.name

    @property
    def link(self) -> Link | None:
        """The open link, or None if there is none."""
        return self.dialer.link

    @property
    def is_leaving(self) -> bool:
        """Whether the agent or the instance list says that it is leaving."""
        return self.state.is_leaving or self.is_listed_leaving

    @property
    def is_listed_leaving(self) -> bool:
        """Whether the list marks this incarnation of the agent as leaving.

        The list may be out of date: if the agent has been replaced since it was
        marked as leaving, the mark does not apply to its replacement.
        """
        if self.instance.state is not InstanceState.LEAVING:
            return False
        return self._leaving_incarnation in (None, 0, self.incarnation)

    @property
    def accepts_work(self) -> bool:
        """Whether the agent is linked and not leaving."""
        return not self.is_leaving and self.link is not None

    @property
    def is_suspect(self) -> bool:
        """Whether the agent is suspected to have failed because its link is silent."""
        link = self.link
        return link is not None and link.is_suspect

    @property
    def share(self) -> float:
        """Fraction of its full load that the agent gets; rises after replacement."""
        age_s = self._clock() - self._replaced_at_s
        return min(1.0, max(SLOW_START_MIN_SHARE, age_s / SLOW_START_S))

    def apply_listing(self, instance: Instance) -> None:
        """Update the agent's record in the instance list, at the same address."""
        is_leaving = instance.state is InstanceState.LEAVING
        if is_leaving and self._leaving_incarnation is None:
            self._leaving_incarnation = self.incarnation
        if not is_leaving:
            self._leaving_incarnation = None
        self.instance = instance

    def on_link_up(self, link: Link) -> bool:
        """Update the incarnation; return whether the agent was replaced."""
        incarnation = link.peer.incarnation
        # Incarnations are derived from the clocks of different machines. A different
        # value means that the agent was replaced, even if the value is smaller.
        was_replaced = self.incarnation not in (0, incarnation)
        self.incarnation = incarnation
        if was_replaced:
            self.state = UNKNOWN_STATE
            self._replaced_at_s = self._clock()
        return was_replaced

    def start(self) -> None:
        """Start the task that maintains the link."""
        self.task = asyncio.create_task(self.dialer.run())

    def stop(self) -> None:
        """Close the link."""
        if self.task is not None:
            self.task.cancel()
