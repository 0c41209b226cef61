"""Entries and agents of orders without sockets, on virtual time."""

import asyncio
import contextlib
import itertools
import random

from boragespring.engines import OrderRefusedError
from boragespring.links import CallFailedError, Dispatcher, LinkClosedError
from boragespring.lists.model import ServiceEntry
from boragespring.membership import DutyRoster
from boragespring.orders import (
    FenceGuard,
    OrderReceiver,
    OrderReconciler,
    OrderSettings,
    RetrySettings,
    orders_duty_name,
)
from boragespring.orders.messages import SendOrder
from boragespring.store import MemoryStore, StoreFaults, WeightStoreBusyError

REGION, SERVICE = "vysocina", "model-pool"
DUTY = orders_duty_name(REGION, SERVICE)


class Server:
    """Backend server that may check fencing numbers."""

    def __init__(self, checks, load_s, on_applied):
        self.checks = checks
        self.load_s = load_s
        self.on_applied = on_applied
        self.highest = 0
        self.loaded = {}
        self.loading = False
        self.fails = 0

    async def models(self):
        return tuple(self.loaded)

    async def order(self, order):
        if self.fails:
            self.fails -= 1
            raise OrderRefusedError("no room")
        if self.checks and order.fencing_number < self.highest:
            raise OrderRefusedError("old fencing number")
        self.highest = max(self.highest, order.fencing_number)
        self.on_applied(self, order)
        self.loading = True
        await asyncio.sleep(self.load_s)
        self.loading = False
        if order.kind != "load_adapter":
            self.loaded[order.name] = order.version


class Peer:
    """Agent with its server, reached by calls without a socket."""

    is_suspect = False
    takes_work = True

    def __init__(self, name, server, store):
        self.name = name
        self.server = server
        self.store = store
        self.is_cut = False
        self.restart()

    def restart(self):
        self.dispatcher = Dispatcher()
        guard = FenceGuard(self.store, DUTY, self.server.checks)
        self.receiver = OrderReceiver(self.server, guard, self.dispatcher)

    @property
    def link(self):
        return None if self.is_cut else self

    async def call(self, message, reply_class, timeout_s):
        await asyncio.sleep(random.uniform(0.001, 0.01))
        if self.is_cut:
            raise LinkClosedError("cut")
        return await self.dispatcher.call_handlers[type(message)](self, message)


class Weights:
    """Weight store of one load each interval."""

    def __init__(self, interval_s):
        self.interval_s = interval_s
        self.next_s = 0.0
        self.loads = []

    async def start_load(self, name):
        now_s = asyncio.get_running_loop().time()
        if now_s < self.next_s:
            raise WeightStoreBusyError(self.next_s - now_s)
        self.next_s = now_s + self.interval_s
        self.loads.append((now_s, name))


class Targets:
    def __init__(self, peers):
        self.peers = peers

    def pin(self, services):
        self.services = services

    def pinned(self, service):
        return self.peers if service in self.services else []


class Lists:
    def __init__(self, entry):
        self.version = 1
        self.entry = entry

    def services(self):
        return {SERVICE: self.entry} if isinstance(self.entry, ServiceEntry) else {}


class Entry:
    """Entry whose calls hang while it is paused."""

    def __init__(self, name, keyspace, lists, peers, weights):
        self.awake = asyncio.Event()
        self.awake.set()
        self.faults = StoreFaults()
        self.late_share = 0.0
        self.late = []
        store = MemoryStore(keyspace, self.faults)
        real_enter = store._enter

        async def enter(kind):
            await self.awake.wait()
            await real_enter(kind)
            await self.awake.wait()

        store._enter = enter
        clock = asyncio.get_running_loop().time
        self.roster = DutyRoster(store, name, clock=clock)
        settings = OrderSettings(
            round_interval_s=1.0, retries=RetrySettings(delay_s=3.0, delay_max_s=20.0)
        )
        self.holder = OrderReconciler(
            REGION,
            lists,
            self.roster,
            Targets([PausedPeer(peer, self) for peer in peers]),
            weights,
            lambda _: True,
            settings,
            clock,
        )
        self.tasks = [
            asyncio.create_task(self.roster.run()),
            asyncio.create_task(self.holder.run()),
        ]

    @property
    def status(self):
        return self.holder.status()[0]

    async def stop(self):
        self.awake.set()
        for task in self.tasks + self.late:
            task.cancel()
        for task in self.tasks + self.late:
            with contextlib.suppress(asyncio.CancelledError):
                await task


class PausedPeer:
    """Peer as one entry has it: a paused entry neither sends nor receives."""

    def __init__(self, peer, entry):
        self.peer = peer
        self.entry = entry

    def __getattr__(self, name):
        return getattr(self.peer, name)

    @property
    def link(self):
        return None if self.peer.is_cut else self

    async def call(self, message, reply_class, timeout_s):
        if isinstance(message, SendOrder) and random.random() < self.entry.late_share:
            # The caller gives up, and the order arrives long after.
            self.entry.late.append(asyncio.create_task(self.deliver_late(message)))
            raise CallFailedError(f"no reply within {timeout_s} s")
        await self.entry.awake.wait()
        reply = await self.peer.call(message, reply_class, timeout_s)
        await self.entry.awake.wait()
        return reply

    async def deliver_late(self, message):
        await asyncio.sleep(random.uniform(0.0, 20.0))
        with contextlib.suppress(LinkClosedError):
            await self.peer.call(message, None, 1.0)


def ready_counts(peers, names):
    """Count by model the servers that have it and do not load."""
    pairs = itertools.product(names, peers)
    counts = dict.fromkeys(names, 0)
    for name, peer in pairs:
        counts[name] += name in peer.server.loaded and not peer.server.loading
    return counts
