"""Simulate entries that share limits, in one process and in virtual time.

The holders, share clients and meters are the production classes. Function calls
with a delay replace the links, and can be interrupted or lose replies.
"""

import asyncio
import json
import random
from collections.abc import Callable

from attrs import define

from boragespring.limits import Limiter, LimitExceededError, LimitHolder, LimitSettings
from boragespring.limits.errors import RequestNotSentError
from boragespring.limits.messages import ShareReply, ShareRequest
from boragespring.links import Dispatcher, LinkClosedError
from boragespring.lists import ListsReplica, hash_api_key, parse_document
from boragespring.lists.changes import Change
from boragespring.lists.state import EMPTY_STATE, difference
from boragespring.membership import DutyManager
from boragespring.store import Keyspace, MemoryStore

__all__ = ["LimitFleet", "LimitNode", "PlanLimits", "create_replica"]

WORKSPACE = "w0"
LINK_DELAY_S = 0.002


@define
class PlanLimits:
    """Limits of the plan that the entries of the fleet share.

    Parameters
    ----------
    concurrency : int
        Maximum number of running requests.
    requests_per_s, tokens_per_s : float
        Rate limits for requests and tokens, per second.
    request_burst : int
        Largest burst of requests.
    token_burst_s : float
        Largest burst of tokens, in seconds of the token rate.
    """

    concurrency: int = 30
    requests_per_s: float = 100.0
    request_burst: int = 10
    tokens_per_s: float = 1e6
    token_burst_s: float = 1.0


def create_replica(limits: PlanLimits, workspaces: int = 1) -> ListsReplica:
    """Return a replica of lists with workspaces ``w0``, ``w1``, ... on one plan.

    Parameters
    ----------
    limits : PlanLimits
        Limits of the plan.
    workspaces : int
        Number of workspaces.
    """
    document = {
        "format": 2,
        "plan_list": {
            "workspaces": {
                f"w{i}": {"plan": "p", "key_hashes": [hash_api_key(f"k{i}")]}
                for i in range(workspaces)
            }
        },
        "allowance_list": {
            "plans": {
                "p": {
                    "services": ["s"],
                    "concurrency_max": limits.concurrency,
                    "requests_per_s": limits.requests_per_s,
                    "request_burst": limits.request_burst,
                    "tokens_per_s": limits.tokens_per_s,
                    "token_burst_s": limits.token_burst_s,
                }
            },
            "services": {"s": {"kind": "engine"}},
        },
    }
    entries = difference(EMPTY_STATE, parse_document(json.dumps(document), "fleet"))
    replica = ListsReplica()
    replica.offer(EMPTY_STATE.with_change(Change(1, "c", "bench", "", 0.0, entries)))
    return replica


class LimitNode:
    """Limit holder and limiter of one entry.

    Parameters
    ----------
    fleet : LimitFleet
        Fleet to which the entry belongs.
    name : str
        Name of the entry.
    """

    def __init__(self, fleet: "LimitFleet", name: str) -> None:
        clock = asyncio.get_running_loop().time
        self.name = name
        self.store = MemoryStore(fleet.keyspace)
        self.duty_manager = DutyManager(self.store, name, clock=clock)
        self.holder = LimitHolder(
            name,
            self.duty_manager,
            fleet.replica,
            fleet.entries,
            lambda: False,
            Dispatcher(),
            fleet.settings,
            clock,
        )

        async def send(target: str, request: ShareRequest) -> ShareReply:
            return await fleet.send(name, target, request)

        self.limiter = Limiter(
            name, fleet.replica, send, fleet.entries, fleet.settings, clock
        )
        self.tasks = [
            asyncio.create_task(self.duty_manager.run()),
            asyncio.create_task(self.limiter.run()),
        ]

    async def stop(self) -> None:
        """Stop the entry at once by cancelling its tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class LimitFleet:
    """Simulated entries and a record of the requests that they admitted.

    Parameters
    ----------
    entries : int
        Number of entries.
    limits : PlanLimits
        Limits that the entries share.
    settings : LimitSettings
        Settings of holders and limiters.
    seed : int
        Seed of the random numbers.

    Attributes
    ----------
    broken_links : set of frozenset of str
        Pairs of entries that cannot reach each other.
    reply_loss_probability : float
        Probability that a reply is lost.
    starts, starts_by_entry : list
        Time, in seconds, of each started request, without and with its entry.
    charges : list
        Time, in seconds, and number of tokens of each charge.
    running, running_max : int
        Current and maximum number of running requests.
    refused : int
        Number of refused requests.
    """

    def __init__(
        self, entries: int, limits: PlanLimits, settings: LimitSettings, seed: int = 0
    ) -> None:
        self.clock: Callable[[], float] = asyncio.get_running_loop().time
        self.rng = random.Random(seed)
        self.keyspace = Keyspace(self.clock)
        self.replica = create_replica(limits)
        self.settings = settings
        self.broken_links: set[frozenset[str]] = set()
        self.reply_loss_probability = 0.0
        self.starts: list[float] = []
        self.starts_by_entry: list[tuple[str, float]] = []
        self.charges: list[tuple[float, int]] = []
        self.running = 0
        self.running_max = 0
        self.refused = 0
        self._names = tuple(f"e{i}" for i in range(entries))
        self.nodes = {name: LimitNode(self, name) for name in self._names}

    def entries(self) -> tuple[str, ...]:
        """Return the names of all entries, including stopped ones."""
        return self._names

    async def send(self, source: str, target: str, request: ShareRequest) -> ShareReply:
        """Deliver a request to the holder of another entry and return its reply.

        Raises
        ------
        RequestNotSentError
            If there is no link to the entry.
        LinkClosedError
            If the reply is lost.
        """
        await asyncio.sleep(LINK_DELAY_S)
        node = self.nodes.get(target)
        if node is None or self._is_broken(source, target):
            raise RequestNotSentError(f"no link to {target!r}")
        reply = node.holder.handle_request(source, 1, request)
        await asyncio.sleep(LINK_DELAY_S)
        if self.rng.random() < self.reply_loss_probability or self._is_broken(
            source, target
        ):
            await asyncio.sleep(self.settings.call_timeout_s)
            raise LinkClosedError("the reply was lost")
        return reply

    async def request(self, name: str, duration_s: float, tokens: int = 0) -> bool:
        """Run one request at an entry and return whether it was admitted.

        Parameters
        ----------
        name : str
            Name of the entry.
        duration_s : float
            Duration, in seconds, of the request.
        tokens : int
            Tokens that the request produces.
        """
        try:
            permit = await self.nodes[name].limiter.admit(WORKSPACE)
        except LimitExceededError:
            self.refused += 1
            return False
        with permit:
            self.starts.append(self.clock())
            self.starts_by_entry.append((name, self.clock()))
            self.running += 1
            self.running_max = max(self.running_max, self.running)
            try:
                await self._produce(permit.charge, duration_s, tokens)
            finally:
                self.running -= 1
        return True

    async def stop(self) -> None:
        """Stop all entries."""
        for node in self.nodes.values():
            await node.stop()

    async def _produce(
        self, charge: Callable[[int], None], duration_s: float, tokens: int
    ) -> None:
        steps = max(min(tokens, 20), 1)
        for step in range(steps):
            await asyncio.sleep(duration_s / steps)
            count = tokens // steps + (step < tokens % steps)
            if count:
                charge(count)
                self.charges.append((self.clock(), count))

    def _is_broken(self, source: str, target: str) -> bool:
        return frozenset((source, target)) in self.broken_links
