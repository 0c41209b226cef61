"""One agent as an entry knows it."""

import asyncio
import time
from collections.abc import Callable

from boragespring.links import Link, LinkDialer
from boragespring.membership.messages import AgentState
from boragespring.store.instances import Instance, InstanceState

__all__ = ["AgentPeer"]

UNKNOWN_STATE = AgentState(False, 0, 0, 0, 0)
#: Time in which the share of a replaced agent grows to the whole.
SLOW_START_S = 10.0
SLOW_START_MIN_SHARE = 0.1


class AgentPeer:
    """Instance of an agent, its link and what it last said of itself.

    Parameters
    ----------
    instance : Instance
        The agent as the list has it.
    dialer : LinkDialer
        Keeps up the link.
    clock : callable
        Monotonic time in seconds.
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
        #: Monotonic time until which the peer is kept outside the subset.
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
        """The open link, or None."""
        return self.dialer.link

    @property
    def is_leaving(self) -> bool:
        """Whether the agent itself or the list says that it leaves."""
        return self.state.is_leaving or self.is_listed_leaving

    @property
    def is_listed_leaving(self) -> bool:
        """Whether the list says that this start of the agent leaves.

        The list lags: what it says of an agent that has been replaced since
        does not hold for the new one.
        """
        if self.instance.state is not InstanceState.LEAVING:
            return False
        return self._leaving_incarnation in (None, 0, self.incarnation)

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent there."""
        return not self.is_leaving and self.link is not None

    @property
    def is_suspect(self) -> bool:
        """Whether the link is silent for suspiciously long."""
        link = self.link
        return link is not None and link.is_suspect

    @property
    def share(self) -> float:
        """Part of its full load that the agent gets; grows after a replacement."""
        age_s = self._clock() - self._replaced_at_s
        return min(1.0, max(SLOW_START_MIN_SHARE, age_s / SLOW_START_S))

    def apply_listing(self, instance: Instance) -> None:
        """Take in what the list says at the same address."""
        is_leaving = instance.state is InstanceState.LEAVING
        if is_leaving and self._leaving_incarnation is None:
            self._leaving_incarnation = self.incarnation
        if not is_leaving:
            self._leaving_incarnation = None
        self.instance = instance

    def on_link_up(self, link: Link) -> bool:
        """Take in a link that came up; return whether the agent was replaced."""
        incarnation = link.peer.incarnation
        # Clocks of machines differ, so that only a difference tells of a new
        # start, not the order of the two numbers.
        was_replaced = self.incarnation not in (0, incarnation)
        self.incarnation = incarnation
        if was_replaced:
            self.state = UNKNOWN_STATE
            self._replaced_at_s = self._clock()
        return was_replaced

    def start(self) -> None:
        """Start to keep up the link."""
        self.task = asyncio.create_task(self.dialer.run())

    def stop(self) -> None:
        """Close the link."""
        if self.task is not None:
            self.task.cancel()
