"""Test agent peers over real links with an out-of-date instance list."""

import asyncio
import contextlib

import pytest
from attrs import evolve
from prometheus_client import CollectorRegistry

from boragespring.links import Dispatcher, Identity, LinkContext, LinkServer
from boragespring.links.messages import PROTOCOL_VERSION
from boragespring.membership import AgentPeers, AgentState, LeaveNotice
from boragespring.metrics import LinkMetrics
from boragespring.settings import AddressSettings, LinkSettings
from boragespring.store.instances import (
    Instance,
    InstanceListError,
    InstanceRole,
    InstanceState,
)

LINKS = LinkSettings(
    heartbeat_interval_s=0.05, heartbeat_deadline_s=0.5, reconnect_delay_s=0.01
)
POOL = "model-pool"


class FakeList:
    def __init__(self):
        self.instances = {}
        self.is_down = False

    async def fetch(self):
        if self.is_down:
            raise InstanceListError("down")
        return tuple(self.instances.values())

    def set_state(self, name, state):
        self.instances[name] = evolve(self.instances[name], state=state)


class Agent:
    """Agent that only serves links."""

    def __init__(self, name, incarnation, port=0):
        self.state = AgentState(False, 0, 0, 0, 0)
        self.notices = []
        dispatcher = Dispatcher()
        dispatcher.on(LeaveNotice, lambda _, notice: self.notices.append(notice))
        dispatcher.on_up(lambda link: link.send(self.state))
        dispatcher.on_tick(lambda link: link.send(self.state))
        identity = Identity(
            PROTOCOL_VERSION, name, "agent", incarnation, "jihlava", POOL
        )
        address = AddressSettings("127.0.0.1", port)
        metrics = LinkMetrics(CollectorRegistry())
        self.server = LinkServer(
            address, LinkContext(identity, dispatcher, LINKS, metrics)
        )


class Harness:
    def __init__(self, stack):
        self.stack = stack
        self.list = FakeList()
        self.chosen = None
        identity = Identity(PROTOCOL_VERSION, "entry-0", "entry", 1, "jihlava")
        self.metrics = LinkMetrics(CollectorRegistry())
        self.peers = AgentPeers(
            self.list,
            LinkContext(identity, Dispatcher(), LINKS, self.metrics),
            0.02,
            "vysocina",
            self.subset,
        )

    def subset(self, entries, agents):
        names = frozenset(agent.name for agent in agents)
        return names if self.chosen is None else names & self.chosen

    async def agent(self, name, incarnation, port=0, listed=True):
        agent = Agent(name, incarnation, port)
        await agent.server.start()
        self.stack.push_async_callback(agent.server.stop)
        if listed:
            self.list.instances[name] = Instance(
                name,
                InstanceRole.AGENT,
                POOL,
                "vysocina",
                "jihlava",
                "127.0.0.1",
                agent.server.port,
                0,
            )
        return agent

    def available(self):
        return {peer.name for peer in self.peers.available_agents(POOL, frozenset())}


@pytest.fixture
async def harness():
    async with contextlib.AsyncExitStack() as stack:
        started = Harness(stack)
        task = asyncio.create_task(started.peers.run())
        yield started
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def test_leaving_agent_is_unavailable_even_if_listed_as_live(harness):
    agent = await harness.agent("a", 1)
    await wait_until(lambda: harness.available() == {"a"})
    agent.state = AgentState(True, 0, 0, 0, 0)
    await wait_until(lambda: not harness.available())
    assert harness.list.instances["a"].state is InstanceState.LIVE


async def test_listed_leaving_agent_is_notified_until_it_reports_leaving(harness):
    agent = await harness.agent("a", 7)
    await wait_until(lambda: harness.available() == {"a"})
    harness.list.set_state("a", InstanceState.LEAVING)
    await wait_until(lambda: agent.notices)
    assert not harness.available()
    assert agent.notices[0].incarnation == 7
    agent.state = AgentState(True, 0, 0, 0, 0)
    await wait_until(lambda: harness.peers.get("a").state.is_leaving)
    count = harness.peers.counters.leave_notices
    await asyncio.sleep(0.1)
    assert harness.peers.counters.leave_notices == count


async def test_replacement_at_the_same_address_is_not_taken_for_the_old_agent(harness):
    old = await harness.agent("a", 7)
    old.state = AgentState(True, 3, 0, 0, 0)
    await wait_until(
        lambda: harness.peers.get("a") and harness.peers.get("a").is_leaving
    )
    harness.list.set_state("a", InstanceState.LEAVING)
    await wait_until(lambda: harness.peers.get("a").is_listed_leaving)
    port = old.server.port
    await old.server.stop()
    new = await harness.agent("a", 6, port, listed=False)
    # The list still marks the old agent as leaving; its replacement is not.
    await wait_until(lambda: harness.available() == {"a"})
    peer = harness.peers.get("a")
    assert (peer.incarnation, peer.state.running) == (6, 0)
    assert peer.share < 1.0
    assert harness.peers.counters.replaced == 1
    assert not new.notices


async def test_other_instance_at_a_listed_address_gets_no_work(harness):
    old = await harness.agent("a", 1)
    await wait_until(lambda: harness.available() == {"a"})
    port = old.server.port
    await old.server.stop()
    await harness.agent("b", 2, port, listed=False)
    await wait_until(lambda: harness.metrics.protocol_errors._value.get() > 0)
    assert not harness.available()


async def test_failed_list_reads_keep_the_links(harness):
    await harness.agent("a", 1)
    await wait_until(lambda: harness.available() == {"a"})
    harness.list.is_down = True
    await wait_until(lambda: harness.peers.view.counters.failed_reads > 2)
    assert harness.available() == {"a"}


async def test_agent_outside_the_subset_is_linked_only_on_request(harness):
    harness.chosen = {"a"}
    await harness.agent("a", 1)
    await harness.agent("b", 1)
    await wait_until(
        lambda: harness.available() == {"a"} and "b" in harness.peers.view.agents()
    )
    assert harness.peers.get("b") is None
    peer = harness.peers.get_or_connect("b")
    await wait_until(lambda: peer.link is not None)
    await asyncio.sleep(0.1)
    assert harness.peers.get("b") is peer
    assert harness.available() == {"a"}
    assert harness.peers.get_or_connect("gone") is None


async def test_pinned_service_is_fully_linked_but_work_stays_in_the_subset(harness):
    harness.chosen = {"a"}
    for name in "abc":
        await harness.agent(name, 1)
    await wait_until(lambda: harness.available() == {"a"})
    harness.peers.pin(frozenset({POOL}))
    linked = lambda: [peer.link for peer in harness.peers.pinned(POOL)]  # noqa: E731
    await wait_until(lambda: len(linked()) == 3 and all(linked()))
    assert harness.available() == {"a"}
    harness.peers.pin(frozenset())
    assert harness.peers.get("b") is None
