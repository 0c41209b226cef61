"""Memory and connections that all callers of a process share.

Each connection reports what it holds in memory, as the cost of its objects. Beyond the
limit, the connections that wait for their callers are evicted: first those that hold
most for longest. A request that a server works on is never evicted.
"""

import time
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from absl import logging
from attrs import define, field, frozen

from boragespring.settings import ProcessSettings

__all__ = [
    "BudgetUser",
    "CallerBudget",
    "CallerBudgetSettings",
    "CallerState",
    "Eviction",
    "EvictionReason",
    "budget_settings",
]

#: Memory that a process without callers takes.
PROGRAM_BYTES = 64 * 2**20
#: Part of the rest that callers may use; what remains is for fragmentation, copies in
#: progress and the state of the deployment.
CALLERS_SHARE = 0.5
#: Part of the descriptors that connections of callers may use.
DESCRIPTORS_SHARE = 0.5
BACKLOG_MAX = 128
#: Part of the budget down to which connections are evicted, so that it is done seldom.
LOW_WATER_SHARE = 0.9
#: Added to the time that a connection has waited, so that size counts from the start.
WAIT_OFFSET_S = 0.1


class CallerState(StrEnum):
    """What a connection waits for."""

    #: The next request.
    IDLE = "idle"
    #: The rest of a head.
    HEAD = "head"
    #: The rest of a body.
    BODY = "body"
    #: This process and the servers.
    RUNNING = "running"
    #: The caller, who does not take the reply.
    REPLY = "reply"
    #: The same, after which the connection ends.
    CLOSING = "closing"


class EvictionReason(StrEnum):
    """What there is too little of."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


@frozen
class CallerBudgetSettings:
    """Limits on what all callers use together.

    Parameters
    ----------
    memory_max_bytes : int
        Maximum memory in bytes.
    connections_max : int
        Maximum number of open connections.
    """

    memory_max_bytes: int
    connections_max: int

    @property
    def backlog(self) -> int:
        """Number of connections that are accepted at once."""
        return max(1, min(BACKLOG_MAX, self.connections_max // 4))


def budget_settings(process: ProcessSettings) -> CallerBudgetSettings:
    """Return what callers may use of the resources of a process."""
    free_bytes = max(process.memory_bytes - PROGRAM_BYTES, 0)
    return CallerBudgetSettings(
        memory_max_bytes=round(CALLERS_SHARE * free_bytes),
        connections_max=max(round(DESCRIPTORS_SHARE * process.file_descriptors), 1),
    )


class BudgetUser(Protocol):
    """Connection of a caller."""

    @property
    def state(self) -> CallerState:
        """What the connection waits for."""
        ...

    @property
    def waits_since_s(self) -> float:
        """Monotonic time in seconds since which it waits for that."""
        ...

    def evict(self, reason: EvictionReason) -> None:
        """Free what the connection holds; refuse its request, or close it."""
        ...


@frozen
class Eviction:
    """Eviction of one connection.

    Parameters
    ----------
    reason : EvictionReason
        What there was too little of.
    state : CallerState
        What the connection was waiting for.
    held_bytes : int
        Memory that it held.
    waited_s : float
        Time in seconds for which it had waited.
    """

    reason: EvictionReason
    state: CallerState
    held_bytes: int
    waited_s: float


@define(eq=False)
class CallerBudget:
    """Budget of all connections of callers.

    Parameters
    ----------
    settings : CallerBudgetSettings
        Limits.
    clock : callable, default=time.monotonic
        Source of monotonic time in seconds.
    eviction_hooks : list of callable
        Functions that are called with each eviction.
    held_bytes : int
        Memory that all connections hold together.
    """

    settings: CallerBudgetSettings
    clock: Callable[[], float] = time.monotonic
    eviction_hooks: list[Callable[[Eviction], None]] = field(factory=list)
    held_bytes: int = 0
    _largest_request_bytes: int = 0
    _users: dict[BudgetUser, int] = field(factory=dict)
    _is_evicting: bool = False

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._users)

    @property
    def memory_max_bytes(self) -> int:
        """Maximum memory in bytes, in which one largest request always has room."""
        return max(self.settings.memory_max_bytes, self._largest_request_bytes)

    @property
    def is_exhausted(self) -> bool:
        """Whether more is held than allowed, and nothing can be evicted."""
        return self.held_bytes > self.memory_max_bytes

    def allow_request(self, size_bytes: int) -> None:
        """Record that limits allow a request of the given cost in memory."""
        if size_bytes <= self._largest_request_bytes:
            return
        self._largest_request_bytes = size_bytes
        if size_bytes > self.settings.memory_max_bytes:
            logging.warning(
                "event=memory_tight callers_memory_bytes=%d largest_request_bytes=%d",
                self.settings.memory_max_bytes,
                size_bytes,
            )

    def add(self, user: BudgetUser) -> None:
        """Count a new connection; evict another one if there are too many."""
        if len(self._users) >= self.settings.connections_max:
            self._evict_longest_waiting()
        self._users[user] = 0

    def remove(self, user: BudgetUser) -> None:
        """Stop counting a connection that is closed."""
        self.held_bytes -= self._users.pop(user, 0)

    def update(self, user: BudgetUser, held_bytes: int) -> None:
        """Record what a connection holds, and evict others if that is too much."""
        before_bytes = self._users.get(user)
        if before_bytes is None:
            return
        self._users[user] = held_bytes
        self.held_bytes += held_bytes - before_bytes
        if self.is_exhausted and not self._is_evicting:
            self._make_room()

    def _make_room(self) -> None:
        self._is_evicting = True
        target_bytes = LOW_WATER_SHARE * self.memory_max_bytes
        try:
            for user in sorted(self._evictable(), key=self._weight, reverse=True):
                if self.held_bytes <= target_bytes:
                    return
                self._evict(user, EvictionReason.MEMORY)
        finally:
            self._is_evicting = False

    def _evict_longest_waiting(self) -> None:
        oldest = min(
            self._evictable(), key=lambda user: user.waits_since_s, default=None
        )
        if oldest is not None:
            self._evict(oldest, EvictionReason.CONNECTIONS)

    def _evictable(self) -> list[BudgetUser]:
        return [user for user in self._users if user.state is not CallerState.RUNNING]

    def _weight(self, user: BudgetUser) -> float:
        """Return the product of what a connection holds and how long it has waited."""
        waited_s = self.clock() - user.waits_since_s
        return self._users[user] * (waited_s + WAIT_OFFSET_S)

    def _evict(self, user: BudgetUser, reason: EvictionReason) -> None:
        eviction = Eviction(
            reason=reason,
            state=user.state,
            held_bytes=self._users[user],
            waited_s=round(self.clock() - user.waits_since_s, 3),
        )
        user.evict(reason)
        for hook in self.eviction_hooks:
            hook(eviction)
