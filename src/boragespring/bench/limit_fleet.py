"""Entries that share limits, in one process and on virtual time.

The holders, the askers and the meters are those of the product; links are
replaced by calls with a delay that can be cut or lose replies.
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

__all__ = ["LimitFleet", "LimitNode", "PlanLimits", "replica_of"]

WORKSPACE = "w0"
HOP_S = 0.002


@define
class PlanLimits:
    """Limits of the plan that the fleet shares."""

    concurrency: int = 30
    requests_per_s: float = 100.0
    request_burst: int = 10
    tokens_per_s: float = 1e6
    token_burst_s: float = 1.0


def replica_of(limits: PlanLimits, workspaces: int = 1) -> ListsReplica:
    """Return lists with workspaces ``w0``, ``w1``... on one plan."""
    data = {
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
    entries = difference(EMPTY_STATE, parse_document(json.dumps(data), "fleet"))
    replica = ListsReplica()
    replica.offer(EMPTY_STATE.with_change(Change(1, "c", "bench", "", 0.0, entries)))
    return replica


class LimitNode:
    """Holder and limiter of one entry."""

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
        """End the entry at once."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class LimitFleet:
    """Some entries with what they started.

    Attributes
    ----------
    cut : set
        Pairs of entries between which nothing passes.
    lost_replies : float
        Share of replies that are lost.
    starts, starts_by_entry : list
        Time of each started request, without and with its entry.
    charges : list
        Time and number of tokens of each charge.
    running, running_max : int
        Requests that run now, and the most that ever did.
    refused : int
        Requests that were refused.
    """

    def __init__(
        self, entries: int, limits: PlanLimits, settings: LimitSettings, seed: int = 0
    ) -> None:
        self.clock: Callable[[], float] = asyncio.get_running_loop().time
        self.rng = random.Random(seed)
        self.keyspace = Keyspace(self.clock)
        self.replica = replica_of(limits)
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
        """Return the listed entries."""
        return self._names

    async def send(self, source: str, target: str, request: ShareRequest) -> ShareReply:
        """Carry a request and its reply."""
        await asyncio.sleep(HOP_S)
        node = self.nodes.get(target)
        if node is None or self._is_broken(source, target):
            raise RequestNotSentError(f"no link to {target!r}")
        reply = node.holder.handle_request(source, 1, request)
        await asyncio.sleep(HOP_S)
        if self.rng.random() < self.reply_loss_probability or self._is_broken(
            source, target
        ):
            await asyncio.sleep(self.settings.call_timeout_s)
            raise LinkClosedError("reply lost")
        return reply

    async def request(self, name: str, duration_s: float, tokens: int = 0) -> bool:
        """Run one request at an entry; tell whether it was admitted."""
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
        """End all entries."""
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
