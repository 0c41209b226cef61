"""Fake entries, agents and stores for tests of orders, without sockets."""

import asyncio
import contextlib
import itertools
import random

from boragespring.engines import OrderRefusedError
from boragespring.links import CallFailedError, Dispatcher, LinkClosedError
from boragespring.lists.model import ServiceEntry
from boragespring.membership import DutyManager
from boragespring.orders import (
    FenceGuard,
    OrderReceiver,
    OrderReconciler,
    OrderSettings,
    RetrySettings,
    orders_duty_name,
)
from boragespring.orders.messages import OrderRequest
from boragespring.store import MemoryStore, StoreFaults, WeightStoreBusyError

REGION, SERVICE = "vysocina", "model-pool"
DUTY = orders_duty_name(REGION, SERVICE)


class FakeServer:
    """Backend server that checks fencing numbers if `checks_fencing` is set."""

    def __init__(self, checks_fencing, load_s, on_applied):
        self.checks_fencing = checks_fencing
        self.load_s = load_s
        self.on_applied = on_applied
        self.highest_fence = 0
        self.loaded = {}
        self.loading = False
        self.failures_left = 0

    async def models(self):
        return tuple(self.loaded)

    async def order(self, order):
        if self.failures_left:
            self.failures_left -= 1
            raise OrderRefusedError("not enough memory")
        if self.checks_fencing and order.fencing_number < self.highest_fence:
            raise OrderRefusedError("old fencing number")
        self.highest_fence = max(self.highest_fence, order.fencing_number)
        self.on_applied(self, order)
        self.loading = True
        await asyncio.sleep(self.load_s)
        self.loading = False
        if order.kind != "load_adapter":
            self.loaded[order.name] = order.version


class FakePeer:
    """Agent with its server; calls reach its handlers without a socket."""

    is_suspect = False
    accepts_work = True

    def __init__(self, name, server, store):
        self.name = name
        self.server = server
        self.store = store
        self.is_disconnected = False
        self.restart()

    def restart(self):
        self.dispatcher = Dispatcher()
        guard = FenceGuard(self.store, DUTY, self.server.checks_fencing)
        self.receiver = OrderReceiver(self.server, guard, self.dispatcher)

    @property
    def link(self):
        return None if self.is_disconnected else self

    async def call(self, message, reply_class, timeout_s):
        await asyncio.sleep(random.uniform(0.001, 0.01))
        if self.is_disconnected:
            raise LinkClosedError("cut")
        return await self.dispatcher.call_handlers[type(message)](self, message)


class FakeWeightStore:
    """Weight store that allows one load per interval."""

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


class FakeTargets:
    def __init__(self, peers):
        self.peers = peers

    def pin(self, services):
        self.services = services

    def pinned(self, service):
        return self.peers if service in self.services else []


class FakeDesiredState:
    def __init__(self, entry):
        self.version = 1
        self.entry = entry

    def services(self):
        return {SERVICE: self.entry} if isinstance(self.entry, ServiceEntry) else {}


class FakeEntry:
    """Entry whose calls block while it is paused."""

    def __init__(self, name, keyspace, lists, peers, weights):
        self.running = asyncio.Event()
        self.running.set()
        self.faults = StoreFaults()
        self.late_probability = 0.0
        self.late_deliveries = []
        store = MemoryStore(keyspace, self.faults)
        original_begin_call = store._begin_call

        async def begin_call(kind):
            await self.running.wait()
            await original_begin_call(kind)
            await self.running.wait()

        store._begin_call = begin_call
        clock = asyncio.get_running_loop().time
        self.duty_manager = DutyManager(store, name, clock=clock)
        settings = OrderSettings(
            round_interval_s=1.0, retries=RetrySettings(delay_s=3.0, delay_max_s=20.0)
        )
        self.reconciler = OrderReconciler(
            REGION,
            lists,
            self.duty_manager,
            FakeTargets([PausablePeer(peer, self) for peer in peers]),
            weights,
            lambda _: True,
            settings,
            clock,
        )
        self.tasks = [
            asyncio.create_task(self.duty_manager.run()),
            asyncio.create_task(self.reconciler.run()),
        ]

    @property
    def status(self):
        return self.reconciler.status()[0]

    async def stop(self):
        self.running.set()
        for task in self.tasks + self.late_deliveries:
            task.cancel()
        for task in self.tasks + self.late_deliveries:
            with contextlib.suppress(asyncio.CancelledError):
                await task


class PausablePeer:
    """Peer as seen by one entry, which neither sends nor receives while paused."""

    def __init__(self, peer, entry):
        self.peer = peer
        self.entry = entry

    def __getattr__(self, name):
        return getattr(self.peer, name)

    @property
    def link(self):
        return None if self.peer.is_disconnected else self

    async def call(self, message, reply_class, timeout_s):
        if (
            isinstance(message, OrderRequest)
            and random.random() < self.entry.late_probability
        ):
            # The call times out, and the order arrives much later.
            self.entry.late_deliveries.append(
                asyncio.create_task(self.deliver_late(message))
            )
            raise CallFailedError(f"no reply within {timeout_s} s")
        await self.entry.running.wait()
        reply = await self.peer.call(message, reply_class, timeout_s)
        await self.entry.running.wait()
        return reply

    async def deliver_late(self, message):
        await asyncio.sleep(random.uniform(0.0, 20.0))
        with contextlib.suppress(LinkClosedError):
            await self.peer.call(message, None, 1.0)


def ready_counts(peers, names):
    """Return, by model, how many servers have it and are not loading."""
    pairs = itertools.product(names, peers)
    counts = dict.fromkeys(names, 0)
    for name, peer in pairs:
        counts[name] += name in peer.server.loaded and not peer.server.loading
    return counts
