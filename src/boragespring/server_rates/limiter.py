"""Keep the rates that servers name, together with the other gateways."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Protocol

from attrs import define, frozen

from boragespring.background_tasks import start_background_task
from boragespring.decisions import DecisionLog
from boragespring.fleet import BackendServer, Permit, ServerProcess
from boragespring.server_rates.issuer import PermitIssuer, Reservation

__all__ = [
    "PermitQuery",
    "PermitSource",
    "RateLimiterSettings",
    "ServerRateLimiter",
]


@frozen
class RateLimiterSettings:
    """Times of queries and permits, in seconds.

    Parameters
    ----------
    rate_floor_per_s : float
        Rate that is kept for a server that names a lower one, so that its replies show
        when it takes requests again.
    permit_ttl_s : float
        Time for which a permit can be used.
    prefetch_wait_s : float
        Maximum time until a permit that no request waits for.
    wait_max_s : float
        Maximum time for which a request waits for its permit, unless the next one is
        due later at that rate. Permits that are reserved far ahead would still be used
        while another gateway has begun to grant them.
    reply_timeout_s : float
        Time after which a query for a permit counts as lost.
    cold_permit_s : float
        Time for which a permit of a cold server can be used, and the maximum time for
        which a request waits for it. A cold server crashes if it gets too many requests
        within one second, also when another gateway begins to grant its permits.
    """

    rate_floor_per_s: float = 0.1
    permit_ttl_s: float = 1.0
    prefetch_wait_s: float = 0.2
    wait_max_s: float = 1.0
    reply_timeout_s: float = 0.5
    cold_permit_s: float = 0.2


@frozen
class PermitQuery:
    """Query for a permit to send one request to a server.

    Parameters
    ----------
    number : int
        Number of the query at the gateway that asks.
    process : ServerProcess
        Server.
    rate_per_s : float
        Requests per second that it takes, as known to that gateway.
    max_wait_s : float
        Maximum time in seconds until the permit.
    """

    number: int
    process: ServerProcess
    rate_per_s: float
    max_wait_s: float


class PermitSource(Protocol):
    """Way to the gateway that grants the permits of a server."""

    def ask(self, query: PermitQuery) -> bool:
        """Pass a query on; return False if that gateway cannot be reached."""
        ...


@define(eq=False)
class _ServerState:
    """What this gateway has asked for one server.

    Parameters
    ----------
    is_asking : bool
        Whether a query for a permit that no request waits for is open.
    ask_after_s : float
        Monotonic time in seconds before which no such permit is asked for.
    owed : int
        Number of requests that were sent without a permit.
    """

    is_asking: bool = False
    ask_after_s: float = float("-inf")
    owed: int = 0


@define(eq=False)
class _Waiter:
    """Request that waits for a permit of any server of its service."""

    urgency: int
    number: int
    turn: "asyncio.Future[BackendServer]"

    @property
    def rank(self) -> tuple[int, int]:
        """Position among the waiting requests; lower ones go first."""
        return self.urgency, self.number


#: Waiting requests of a service that may be sent to the same servers.
_WaitersKey = tuple[str, frozenset[str]]


class ServerRateLimiter:
    """Hold permits for servers that name a rate, and ask for more of them.

    One gateway grants the permits of a server, so that the sum over all gateways stays
    within the rate, and one that needs more than others gets more. A gateway that
    cannot reach it keeps an equal share of the rate. While other servers take the
    requests, permits are prefetched and no request waits for them.

    Parameters
    ----------
    source : PermitSource
        Way to the gateways that grant permits.
    gateway_count : callable
        Returns the number of gateways.
    settings : RateLimiterSettings
        Times of queries and permits.
    log : DecisionLog
        Log of queries without a reply.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        source: PermitSource,
        gateway_count: Callable[[], int],
        settings: RateLimiterSettings,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._source = source
        self._gateway_count = gateway_count
        self._settings = settings
        self._log = log
        self._clock = clock
        # The shares of gateways that start to count at the same time are spread.
        self._local_issuer = PermitIssuer(lambda s: random.uniform(0.0, s), clock)
        self._numbers = itertools.count(1)
        self._queries: dict[int, asyncio.Future[Reservation]] = {}
        self._states: dict[BackendServer, _ServerState] = {}
        self._waiters: dict[_WaitersKey, list[_Waiter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def take(
        self,
        server: BackendServer,
        *,
        is_forced: bool = False,
        starts_run: bool = True,
    ) -> bool:
        """Use a permit for a call to a server; return whether the call may be made.

        Parameters
        ----------
        server : BackendServer
            Server to call.
        is_forced : bool, default=False
            Whether the call is made in any case. Without a permit, the next one is
            then given up for it.
        starts_run : bool, default=True
            Whether the call starts or resumes a run. Other calls do not count towards
            the rate of a cold server.
        """
        now_s = self._clock()
        limit = server.rate_per_s(now_s) if starts_run else server.rate_limit_per_s
        if limit is None or server.use_permit(now_s):
            return True
        if is_forced:
            self._state(server).owed += 1
        self.prefetch([server])
        return is_forced

    def prefetch(self, servers: Iterable[BackendServer]) -> None:
        """Ask for a permit for each server that has none and could be used now."""
        now_s = self._clock()
        for server in servers:
            if not server.is_rate_limited(now_s) or server.permits:
                continue
            state = self._state(server)
            if state.is_asking or now_s < state.ask_after_s:
                continue
            state.is_asking = True
            start_background_task(self._prefetch(server, state), self._tasks)

    async def wait_for_permit(
        self,
        servers: Sequence[BackendServer],
        excluded: Collection[str],
        max_wait_s: float,
        urgency: int,
    ) -> BackendServer | float:
        """Wait until a request may be sent to one of several servers.

        Waiting requests of a service go by their urgency, then in order.

        Parameters
        ----------
        servers : sequence of BackendServer
            Servers of one service that have named rates; at least one.
        excluded : collection of str
            Identifiers of servers that the request must not be sent to.
        max_wait_s : float
            Maximum time in seconds until the permit.
        urgency : int
            Priority, 0 being the most urgent.

        Returns
        -------
        BackendServer or float
            Server that may be sent the request at once, or the time in seconds until
            a permit would be free.
        """
        waits_s = []
        for server in sorted(servers, key=lambda each: self._state(each).ask_after_s):
            reservation = await self._ask(server, max_wait_s)
            if reservation.is_granted:
                return await self._wait_turn(
                    server, excluded, reservation.in_s, urgency
                )
            self._state(server).ask_after_s = self._clock() + reservation.in_s
            waits_s.append(reservation.in_s)
        return min(waits_s)

    def on_reply(self, number: int, reservation: Reservation) -> None:
        """Apply the reply to a query; one that comes too late has no effect."""
        query = self._queries.get(number)
        if query is not None and not query.done():
            query.set_result(reservation)

    async def _ask(self, server: BackendServer, max_wait_s: float) -> Reservation:
        limit_per_s = server.rate_per_s(self._clock())
        if limit_per_s is None:
            return Reservation(True, 0.0)
        rate_per_s = max(limit_per_s, self._settings.rate_floor_per_s)
        wait_max_s = (
            self._settings.cold_permit_s
            if self._is_held_back_as_cold(server)
            else self._settings.wait_max_s
        )
        max_wait_s = min(max_wait_s, max(wait_max_s, 1.0 / rate_per_s))
        number = next(self._numbers)
        process = ServerProcess.of(server)
        reply: asyncio.Future[Reservation]
        reply = asyncio.get_running_loop().create_future()
        self._queries[number] = reply
        try:
            if self._source.ask(PermitQuery(number, process, rate_per_s, max_wait_s)):
                async with asyncio.timeout(self._settings.reply_timeout_s):
                    return await reply
        except TimeoutError:
            self._log.state_change("permit_issuer_silent", server=server.server_id)
        finally:
            del self._queries[number]
        share_per_s = rate_per_s / max(1, self._gateway_count())
        return self._local_issuer.reserve(process, share_per_s, max_wait_s)

    async def _prefetch(self, server: BackendServer, state: _ServerState) -> None:
        try:
            reservation = await self._ask(server, self._settings.prefetch_wait_s)
        finally:
            state.is_asking = False
        if not reservation.is_granted:
            state.ask_after_s = self._clock() + reservation.in_s
            return
        if state.owed:
            state.owed -= 1
            return
        self._add_permit(server, reservation.in_s)

    async def _wait_turn(
        self,
        server: BackendServer,
        excluded: Collection[str],
        in_s: float,
        urgency: int,
    ) -> BackendServer:
        loop = asyncio.get_running_loop()
        key = server.registration.service, frozenset(excluded)
        waiter = _Waiter(urgency, next(self._numbers), loop.create_future())
        self._waiters.setdefault(key, []).append(waiter)
        loop.call_later(in_s, self._hand_out, server, key)
        try:
            chosen = await waiter.turn
        finally:
            self._remove_waiter(key, waiter)
        # Added only now, so that no request that came later can use it.
        self._add_permit(chosen, 0.0)
        return chosen

    def _hand_out(self, server: BackendServer, key: _WaitersKey) -> None:
        """Give a permit that is due to the most urgent of the waiting requests."""
        waiters = self._waiters.get(key, [])
        first = min(waiters, key=lambda waiter: waiter.rank, default=None)
        if first is None:
            self._add_permit(server, 0.0)
            return
        self._remove_waiter(key, first)
        if not first.turn.done():
            first.turn.set_result(server)

    def _remove_waiter(self, key: _WaitersKey, waiter: _Waiter) -> None:
        waiters = self._waiters.get(key, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(key, None)

    def _add_permit(self, server: BackendServer, in_s: float) -> None:
        from_s = self._clock() + in_s
        ttl_s = (
            self._settings.cold_permit_s
            if self._is_held_back_as_cold(server)
            else self._settings.permit_ttl_s
        )
        server.permits.append(Permit(from_s, from_s + ttl_s))

    def _is_held_back_as_cold(self, server: BackendServer) -> bool:
        """Return whether the rate of a server is the one that it takes while cold."""
        now_s = self._clock()
        is_limited = server.cold_rate_per_s is not None
        return is_limited and server.cold_left_s(now_s) > 0

    def _state(self, server: BackendServer) -> _ServerState:
        return self._states.setdefault(server, _ServerState())

    def retain(self, servers: Iterable[BackendServer]) -> None:
        """Forget all servers but the given ones; called periodically."""
        if self._states:
            for server in self._states.keys() - set(servers):
                del self._states[server]
