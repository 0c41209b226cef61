"""Distribution of versions over real links, including store outages."""

import asyncio

import pytest
from prometheus_client import CollectorRegistry

from boragespring.links import Dispatcher, Identity, LinkContext, LinkServer
from boragespring.links.messages import PROTOCOL_VERSION
from boragespring.lists.changes import EntryChange, serialize_entry
from boragespring.lists.distribution import DistributionSettings, ListsDistribution
from boragespring.lists.editor import Edit, ListsEditor
from boragespring.lists.follower import (
    FollowerSettings,
    ListsFollower,
    select_upstreams,
    select_watchers,
)
from boragespring.lists.model import Allowance, ListKind
from boragespring.lists.replica import ListsReplica
from boragespring.lists.state import EMPTY_STATE, HISTORY_MAX_CHANGES, difference
from boragespring.lists.tests.fakes import make_document, wait_until
from boragespring.lists.watcher import ListsWatcher, WatcherSettings
from boragespring.membership.entry_peers import EntryPeers
from boragespring.metrics import LinkMetrics
from boragespring.settings import AddressSettings, LinkSettings
from boragespring.store import Keyspace, MemoryStore
from boragespring.store.instances import Instance, InstanceRole

LINK_SETTINGS = LinkSettings(
    heartbeat_interval_s=0.05, heartbeat_deadline_s=1.0, reconnect_delay_s=0.01
)
FOLLOWER_SETTINGS = FollowerSettings(
    watchers_per_zone=1, stale_after_s=0.3, read_interval_s=0.02, check_interval_s=0.01
)


class Node:
    """Components of one entry that follow the lists."""

    def __init__(self, name, zone, store):
        self.name, self.zone, self.store = name, zone, store
        dispatcher = Dispatcher()
        identity = Identity(PROTOCOL_VERSION, name, "entry", 1, zone)
        metrics = LinkMetrics(CollectorRegistry())
        address = AddressSettings("127.0.0.1")
        self.replica = ListsReplica()
        context = LinkContext(identity, dispatcher, LINK_SETTINGS, metrics)
        self.peers = EntryPeers(context)
        self.server = LinkServer(address, context)
        self.distribution = ListsDistribution(
            self.replica, dispatcher, True, DistributionSettings(0.05, 0.05, 1.0)
        )
        self.watcher = ListsWatcher(
            store,
            self.replica,
            WatcherSettings(0.01, 0.02),
            self.distribution.record_store_contact,
        )
        self.follower = ListsFollower(
            self.watcher, self.distribution, self.is_watcher, FOLLOWER_SETTINGS
        )
        self.peers.add_selector(
            lambda: select_upstreams(name, zone, self.peers.entries, 1)
        )

    def is_watcher(self):
        return self.name in select_watchers(self.peers.entries, self.zone, 1)

    async def start(self):
        await self.server.start()
        self.task = asyncio.create_task(self.follower.run())

    def instance(self):
        return Instance(
            self.name,
            InstanceRole.ENTRY,
            "",
            "r",
            self.zone,
            "127.0.0.1",
            self.server.port,
            0,
        )

    async def stop(self):
        self.task.cancel()
        self.peers.stop()
        self.distribution.stop()
        await self.server.stop()


class Fleet:
    def __init__(self):
        self.keyspace = Keyspace()
        self.store = MemoryStore(self.keyspace, progress_interval_s=0.05)
        self.editor = ListsEditor(MemoryStore(self.keyspace))
        self.nodes = {}

    async def add(self, name, zone, store=None):
        node = Node(name, zone, store or self.store)
        await node.start()
        self.nodes[name] = node
        return node

    async def remove(self, name):
        await self.nodes.pop(name).stop()

    def publish_instances(self):
        listed = tuple(node.instance() for node in self.nodes.values())
        for node in self.nodes.values():
            node.peers.apply_instances(listed)

    async def edit(self):
        state = (await self.editor.read()).state
        if not state.number:
            edit = difference(EMPTY_STATE, make_document())
        else:
            after = Allowance(services=["s"], note=f"version {state.number}")
            before = state.texts[ListKind.PLAN, "p0"]
            edit = (EntryChange(ListKind.PLAN, "p0", before, serialize_entry(after)),)
        return (await self.editor.submit(Edit(edit, "ops", "test"))).number

    async def wait_for_version(self, number):
        await wait_until(
            lambda: all(n.replica.state.number == number for n in self.nodes.values())
        )


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    for name in tuple(fleet.nodes):
        await fleet.remove(name)


async def test_one_watcher_per_zone_and_deltas_to_other_entries(fleet):
    await fleet.edit()
    for number in range(6):
        await fleet.add(f"e{number}", "ab"[number % 2])
    fleet.publish_instances()
    await fleet.wait_for_version(1)
    nodes = fleet.nodes.values()
    await wait_until(lambda: sum(n.watcher.counters.watches_opened for n in nodes) == 2)
    watchers = [n for n in nodes if n.watcher.counters.watches_opened]
    assert {n.zone for n in watchers} == {"a", "b"}
    await fleet.wait_for_version(await fleet.edit())
    others = [n for n in nodes if n not in watchers]
    assert all(n.distribution.counters.deltas_received == 1 for n in others)
    assert all(n.distribution.counters.snapshots_received <= 1 for n in others)


async def test_replacement_entries_get_lists_from_peers_while_store_is_down(fleet):
    await fleet.edit()
    for number in range(4):
        await fleet.add(f"e{number}", "ab"[number % 2])
    fleet.publish_instances()
    await fleet.wait_for_version(1)
    fleet.store.faults.down = True
    for generation in range(4):
        await fleet.remove(f"e{generation}")
        replacement = await fleet.add(f"f{generation}", "ab"[generation % 2])
        assert not replacement.replica.is_ready
        fleet.publish_instances()
        await fleet.wait_for_version(1)
    fleet.store.faults.down = False
    await fleet.wait_for_version(await fleet.edit())


async def test_entry_without_store_and_peers_is_not_ready(fleet):
    fleet.store.faults.down = True
    isolated = await fleet.add("e0", "a")
    fleet.publish_instances()
    await wait_until(lambda: isolated.watcher.counters.watches_lost > 0)
    assert not isolated.replica.is_ready
    fleet.store.faults.down = False
    await fleet.wait_for_version(await fleet.edit())


async def test_entry_behind_the_history_gets_a_snapshot(fleet):
    await fleet.edit()
    await fleet.add("e0", "a")
    fleet.publish_instances()
    await fleet.wait_for_version(1)
    without_store = MemoryStore(fleet.keyspace)
    without_store.faults.down = True
    lagging = await fleet.add("e1", "b", without_store)
    lagging.replica.offer((await fleet.editor.read()).state)
    for _ in range(HISTORY_MAX_CHANGES + 2):
        number = await fleet.edit()
    assert lagging.replica.state.number == 1
    fleet.publish_instances()
    await fleet.wait_for_version(number)
    counters = lagging.distribution.counters
    assert (counters.snapshots_received, counters.deltas_received) == (1, 0)


async def test_entry_reads_store_directly_when_its_watchers_lose_contact(fleet):
    await fleet.edit()
    failing_store = MemoryStore(fleet.keyspace, progress_interval_s=0.05)
    names = [f"e{number}" for number in range(3)]
    for name in names:
        await fleet.add(name, "a", failing_store)
    fleet.publish_instances()
    await fleet.wait_for_version(1)
    (watcher,) = select_watchers([n.instance() for n in fleet.nodes.values()], "a", 1)
    reader = next(node for name, node in fleet.nodes.items() if name != watcher)
    reader.watcher._store = fleet.store
    failing_store.faults.down = True
    number = await fleet.edit()
    await fleet.wait_for_version(number)
    assert reader.follower.direct_reads >= 2
