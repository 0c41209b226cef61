"""Agents of an entry over real links, with a list that lags."""

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
    """The link side of an agent."""

    def __init__(self, name, incarnation, port=0):
        self.state = AgentState(False, 0, 0, 0, 0)
        self.notices = []
        dispatcher = Dispatcher()
        dispatcher.on(LeaveNotice, lambda _, notice: self.notices.append(notice))
        dispatcher.on_up(lambda link: link.send(self.state))
        dispatcher.on_tick(lambda link: link.send(self.state))
        own = Identity(PROTOCOL_VERSION, name, "agent", incarnation, "jihlava", POOL)
        address = AddressSettings("127.0.0.1", port)
        metrics = LinkMetrics(CollectorRegistry())
        self.server = LinkServer(address, LinkContext(own, dispatcher, LINKS, metrics))


class Bench:
    def __init__(self, stack):
        self.stack = stack
        self.list = FakeList()
        self.chosen = None
        own = Identity(PROTOCOL_VERSION, "entry-0", "entry", 1, "jihlava")
        self.metrics = LinkMetrics(CollectorRegistry())
        self.peers = AgentPeers(
            self.list,
            LinkContext(own, Dispatcher(), LINKS, self.metrics),
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

    def takers(self):
        return {peer.name for peer in self.peers.takers(POOL, frozenset())}


@pytest.fixture
async def bench():
    async with contextlib.AsyncExitStack() as stack:
        started = Bench(stack)
        task = asyncio.create_task(started.peers.run())
        yield started
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def test_agent_that_says_it_leaves_gets_no_work_while_the_list_says_live(bench):
    agent = await bench.agent("a", 1)
    await until(lambda: bench.takers() == {"a"})
    agent.state = AgentState(True, 0, 0, 0, 0)
    await until(lambda: not bench.takers())
    assert bench.list.instances["a"].state is InstanceState.LIVE


async def test_listed_leaver_is_told_until_it_says_so_itself(bench):
    agent = await bench.agent("a", 7)
    await until(lambda: bench.takers() == {"a"})
    bench.list.set_state("a", InstanceState.LEAVING)
    await until(lambda: agent.notices)
    assert not bench.takers()
    assert agent.notices[0].incarnation == 7
    agent.state = AgentState(True, 0, 0, 0, 0)
    await until(lambda: bench.peers.get("a").state.is_leaving)
    count = bench.peers.counters.leave_notices
    await asyncio.sleep(0.1)
    assert bench.peers.counters.leave_notices == count


async def test_instance_reborn_at_its_address_is_not_taken_for_the_old_one(bench):
    old = await bench.agent("a", 7)
    old.state = AgentState(True, 3, 0, 0, 0)
    await until(lambda: bench.peers.get("a") and bench.peers.get("a").is_leaving)
    bench.list.set_state("a", InstanceState.LEAVING)
    await until(lambda: bench.peers.get("a").is_listed_leaving)
    port = old.server.port
    await old.server.stop()
    new = await bench.agent("a", 6, port, listed=False)
    # The list still says that the old one leaves, which the new one does not.
    await until(lambda: bench.takers() == {"a"})
    peer = bench.peers.get("a")
    assert (peer.incarnation, peer.state.running) == (6, 0)
    assert peer.share < 1.0
    assert bench.peers.counters.replaced == 1
    assert not new.notices


async def test_other_instance_at_a_listed_address_gets_nothing(bench):
    old = await bench.agent("a", 1)
    await until(lambda: bench.takers() == {"a"})
    port = old.server.port
    await old.server.stop()
    await bench.agent("b", 2, port, listed=False)
    await until(lambda: bench.metrics.protocol_errors._value.get() > 0)
    assert not bench.takers()


async def test_unreadable_list_keeps_the_links(bench):
    await bench.agent("a", 1)
    await until(lambda: bench.takers() == {"a"})
    bench.list.is_down = True
    await until(lambda: bench.peers.view.counters.failed_reads > 2)
    assert bench.takers() == {"a"}


async def test_agent_outside_the_subset_is_reached_for_a_resume_only(bench):
    bench.chosen = {"a"}
    await bench.agent("a", 1)
    await bench.agent("b", 1)
    await until(lambda: bench.takers() == {"a"} and "b" in bench.peers.view.agents())
    assert bench.peers.get("b") is None
    peer = bench.peers.reach("b")
    await until(lambda: peer.link is not None)
    await asyncio.sleep(0.1)
    assert bench.peers.get("b") is peer
    assert bench.takers() == {"a"}
    assert bench.peers.reach("gone") is None


async def test_pinned_service_is_linked_whole_but_gets_no_more_work(bench):
    bench.chosen = {"a"}
    for name in "abc":
        await bench.agent(name, 1)
    await until(lambda: bench.takers() == {"a"})
    bench.peers.pin(frozenset({POOL}))
    linked = lambda: [peer.link for peer in bench.peers.pinned(POOL)]  # noqa: E731
    await until(lambda: len(linked()) == 3 and all(linked()))
    assert bench.takers() == {"a"}
    bench.peers.pin(frozenset())
    assert bench.peers.get("b") is None
