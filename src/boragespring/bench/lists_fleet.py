"""Entries and agents that replicate the lists over real links in one process."""

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Iterator

from prometheus_client import CollectorRegistry

from boragespring.links import Dispatcher, Identity, LinkContext, LinkDialer, LinkServer
from boragespring.links.messages import PROTOCOL_VERSION
from boragespring.lists import (
    ListsDocument,
    ListsReplica,
    hash_api_key,
    parse_document,
)
from boragespring.lists.changes import EntryChange
from boragespring.lists.distribution import ListsDistribution
from boragespring.lists.editor import Edit, ListsEditor
from boragespring.lists.follower import (
    FollowerSettings,
    ListsFollower,
    select_upstreams,
    select_watchers,
)
from boragespring.lists.model import ListKind
from boragespring.lists.planning import entry_edit
from boragespring.lists.state import EMPTY_STATE, ListsState, difference
from boragespring.lists.watcher import ListsWatcher
from boragespring.membership.entry_peers import EntryPeers
from boragespring.metrics import LinkMetrics
from boragespring.settings import AddressSettings, LinkSettings
from boragespring.standins.store import StoreStandIn
from boragespring.store import EtcdSettings, EtcdStore
from boragespring.store.instances import Instance, InstanceRole

__all__ = ["EntryNode", "ListsFleet", "large_document"]

LOOPBACK = "127.0.0.1"
SILENCE_TIMEOUT_S = 4.0
LINKS = LinkSettings()


def large_document(workspaces: int) -> ListsDocument:
    """Return a document with that many workspaces, ten plans and eight models."""
    models = {f"model-{i}": {"version": "1"} for i in range(8)}
    document = {
        "format": 2,
        "plan_list": {
            "workspaces": {
                f"workspace-{i:03}": {
                    "plan": f"plan-{i % 10}",
                    "key_hashes": [hash_api_key(f"{i}-a"), hash_api_key(f"{i}-b")],
                    "contacts": [f"office-{i}@example.org"],
                }
                for i in range(workspaces)
            }
        },
        "allowance_list": {
            "plans": {
                f"plan-{i}": {"services": ["engines"], "models": list(models)}
                for i in range(10)
            },
            "services": {"engines": {"kind": "engine", "models": models}},
        },
    }
    return parse_document(json.dumps(document), "large")


class EntryNode:
    """Components of an entry that replicate the lists.

    Parameters
    ----------
    fleet : ListsFleet
        Fleet to which the entry belongs.
    name : str
        Name of the entry.
    zone : str
        Availability zone of the entry.
    """

    def __init__(self, fleet: "ListsFleet", name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self._fleet = fleet
        dispatcher = Dispatcher()
        identity = Identity(PROTOCOL_VERSION, name, "entry", 1, zone)
        metrics = LinkMetrics(CollectorRegistry())
        self.replica = ListsReplica()
        self.replica.on_change(fleet.record_activation)
        context = LinkContext(identity, dispatcher, LINKS, metrics)
        self.peers = EntryPeers(context)
        self.server = LinkServer(AddressSettings(LOOPBACK), context)
        self.distribution = ListsDistribution(self.replica, dispatcher, is_entry=True)
        self.store = EtcdStore(
            EtcdSettings((fleet.store.url,), silence_timeout_s=SILENCE_TIMEOUT_S)
        )
        self.watcher = ListsWatcher(
            self.store,
            self.replica,
            on_store_contact=self.distribution.record_store_contact,
        )
        self.follower = ListsFollower(
            self.watcher, self.distribution, self._is_watcher, FollowerSettings()
        )
        self.peers.add_selector(self._upstreams)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen for links and follow the lists."""
        await self.server.start()
        self._task = asyncio.create_task(self.follower.run())

    async def stop(self) -> None:
        """Stop all components."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.peers.stop()
        self.distribution.stop()
        await self.server.stop()
        await self.store.close()

    def instance(self) -> Instance:
        """Return the item of the entry in the instance list."""
        return Instance(
            self.name,
            InstanceRole.ENTRY,
            "",
            "region",
            self.zone,
            LOOPBACK,
            self.server.port,
            0,
        )

    def _is_watcher(self) -> bool:
        return self.name in select_watchers(self.peers.entries, self.zone, 2)

    def _upstreams(self) -> frozenset[str]:
        return select_upstreams(self.name, self.zone, self.peers.entries, 2)


class AgentNode:
    """Components of an agent that replicate the lists.

    Parameters
    ----------
    fleet : ListsFleet
        Fleet to which the agent belongs.
    name : str
        Name of the agent.
    entries : list of EntryNode
        Entries to which the agent connects.
    """

    def __init__(
        self, fleet: "ListsFleet", name: str, entries: list[EntryNode]
    ) -> None:
        dispatcher = Dispatcher()
        identity = Identity(PROTOCOL_VERSION, name, "agent", 1, entries[0].zone)
        metrics = LinkMetrics(CollectorRegistry())
        self.replica = ListsReplica()
        self.replica.on_change(fleet.record_activation)
        self.distribution = ListsDistribution(self.replica, dispatcher, is_entry=False)
        context = LinkContext(identity, dispatcher, LINKS, metrics)
        self.dialers = [
            LinkDialer(LOOPBACK, entry.server.port, context) for entry in entries
        ]
        self.tasks = [asyncio.create_task(dialer.run()) for dialer in self.dialers]

    async def stop(self) -> None:
        """Stop all components."""
        self.distribution.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class ListsFleet:
    """Fleet of entries and agents with a store, which times the changes of the lists.

    Parameters
    ----------
    processes : int
        Number of entries and agents together; a third of them are entries.
    zones : int
        Number of availability zones.
    workspaces : int
        Number of workspaces in the document.
    """

    def __init__(self, processes: int, zones: int, workspaces: int) -> None:
        self._processes = processes
        self._zones = zones
        self._workspaces = workspaces
        self._stack = contextlib.AsyncExitStack()
        self._activation_times_s: list[float] = []
        self._activated = asyncio.Event()
        self.store = StoreStandIn()
        self.entries: list[EntryNode] = []
        self.agents: list[AgentNode] = []

    async def __aenter__(self) -> "ListsFleet":
        await self.store.start()
        self._stack.push_async_callback(self.store.stop)
        self._editor_store = EtcdStore(EtcdSettings((self.store.url,)))
        self._stack.push_async_callback(self._editor_store.close)
        self.editor = ListsEditor(self._editor_store)
        document = large_document(self._workspaces)
        await self.editor.submit(Edit(difference(EMPTY_STATE, document), "bench", ""))
        entries = max(self._processes // 3, 1)
        for number in range(entries):
            entry = EntryNode(self, f"entry-{number}", f"zone-{number % self._zones}")
            await entry.start()
            self._stack.push_async_callback(entry.stop)
            self.entries.append(entry)
        instances = tuple(entry.instance() for entry in self.entries)
        for entry in self.entries:
            entry.peers.apply_instances(instances)
        entry_cycle = itertools.cycle(self.entries)
        for number in range(self._processes - entries):
            upstreams = (
                [next(entry_cycle), next(entry_cycle)]
                if entries > 1
                else [next(entry_cycle)]
            )
            agent = AgentNode(self, f"agent-{number}", upstreams)
            self._stack.push_async_callback(agent.stop)
            self.agents.append(agent)
        await self.wait_for_version(1)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    @property
    def replicas(self) -> Iterator[ListsReplica]:
        """Replicas of all entries and agents."""
        entries = (entry.replica for entry in self.entries)
        return itertools.chain(entries, (agent.replica for agent in self.agents))

    def record_activation(self, _: ListsState) -> None:
        """Record that a version became active in one process."""
        self._activation_times_s.append(time.monotonic())
        self._activated.set()

    async def wait_for_version(self, version: int) -> None:
        """Wait until a version is active in every process."""
        while any(replica.version < version for replica in self.replicas):
            self._activated.clear()
            await self._activated.wait()

    async def change(self) -> list[float]:
        """Make one change and return the times, in seconds, until it was active.

        There is one time for each process.
        """
        state = (await self.editor.read()).state
        name = f"workspace-{state.number % self._workspaces:03}"
        fields = {"note": f"changed by version {state.number}"}
        entries: tuple[EntryChange, ...] = entry_edit(
            state, ListKind.WORKSPACE, name, fields
        )
        self._activation_times_s.clear()
        started_s = time.monotonic()
        accepted = await self.editor.submit(Edit(entries, "bench", "measure"))
        await self.wait_for_version(accepted.number)
        return [time_s - started_s for time_s in self._activation_times_s]
