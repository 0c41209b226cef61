"""Orders under pauses, outages and restarts, and what a plan may do."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.engines import OrderKind
from boragespring.lists.model import ModelEntry, ServiceEntry
from boragespring.membership.duties import DUTY_PREFIX
from boragespring.orders import (
    FenceGuard,
    GapReason,
    OrderNotTakenError,
    PlanSettings,
    RefusalCode,
    ServerState,
    plan_orders,
)
from boragespring.orders.messages import SendOrder
from boragespring.orders.tests.fakes import (
    DUTY,
    Entry,
    Lists,
    Peer,
    Server,
    Weights,
    ready_counts,
)
from boragespring.store import ConditionalWrite, Keyspace, MemoryStore

SETTINGS = PlanSettings()


def engine(models, **fields):
    return ServiceEntry(
        "engine",
        {
            name: ModelEntry(version, servers_min=count)
            for name, (version, count) in models.items()
        },
        **fields,
    )


def states(count, **models):
    return [ServerState(f"agent-{n}", dict(models), {}) for n in range(count)]


@given(
    st.lists(
        st.dictionaries(st.sampled_from("abc"), st.sampled_from(("1", "2"))),
        min_size=1,
        max_size=12,
    ),
    st.integers(1, 6),
    st.floats(0.05, 1.0),
)
def test_a_plan_never_takes_the_last_servers_of_a_model(loaded, count, share):
    servers = [ServerState(f"agent-{n}", models, {}) for n, models in enumerate(loaded)]
    settings = PlanSettings(loading_max_share=share)
    plan = plan_orders(engine(dict.fromkeys("abc", ("2", count))), servers, settings)
    ordered = {order.server for order in plan.orders}
    assert len(ordered) == len(plan.orders) <= max(1, int(share * len(servers)))
    for name in "abc":
        having = [s for s in servers if name in s.models]
        ready = [s for s in having if s.name not in ordered]
        assert len(ready) >= min(len(having), max(1, len(having) / 2))


def test_single_server_keeps_its_version_and_the_status_says_why():
    plan = plan_orders(engine({"a": ("2", 1)}), states(1, a="1"), SETTINGS)
    assert not plan.orders
    assert plan.gaps[0].reason is GapReason.MINIMUM_CAPACITY
    spare = [*states(1, a="1"), ServerState("spare", {}, {})]
    plan = plan_orders(engine({"a": ("2", 1)}), spare, SETTINGS)
    assert [order.server for order in plan.orders] == ["spare"]


def test_roles_and_adapters_are_planned_one_server_at_a_time():
    desired = engine({}, roles={"prefill": 2, "decode": 2})
    plan = plan_orders(desired, states(4), SETTINGS)
    assert [order.kind for order in plan.orders] == [OrderKind.SET_ROLE]
    assert {gap.name: gap.wanted - gap.actual for gap in plan.gaps} == {
        "decode": 2,
        "prefill": 2,
    }
    with_adapter = ServiceEntry("engine", {"a": ModelEntry("1", {"x": "7"}, 2)})
    plan = plan_orders(with_adapter, states(3, a="1"), SETTINGS)
    assert [order.name for order in plan.orders] == ["a/x"]


def hold_duty(keyspace):
    keyspace.apply([ConditionalWrite(DUTY_PREFIX + DUTY, b"{}", 0)])
    return keyspace.get(DUTY_PREFIX + DUTY).item.create_revision


@pytest.mark.parametrize("server_checks", [False, True])
async def test_restarted_agent_refuses_until_it_has_read_the_number(server_checks):
    keyspace = Keyspace()
    fence = hold_duty(keyspace)
    store = MemoryStore(keyspace)
    guard = FenceGuard(store, DUTY, server_checks)
    store.faults.down = True
    with pytest.raises(OrderNotTakenError) as refused:
        await guard.check(fence)
    assert refused.value.code is RefusalCode.FENCE_UNKNOWN
    store.faults.down = False
    await guard.check(fence)
    store.faults.down = True
    if server_checks:
        await guard.check(fence)
    else:
        with pytest.raises(OrderNotTakenError):
            await guard.check(fence)


async def test_number_of_a_lapsed_holder_is_refused_before_a_new_one_comes():
    keyspace = Keyspace()
    fence = hold_duty(keyspace)
    item = keyspace.get(DUTY_PREFIX + DUTY).item
    guard = FenceGuard(MemoryStore(keyspace), DUTY, False)
    await guard.check(fence)
    keyspace.apply([ConditionalWrite(item.key, None, item.mod_revision)])
    with pytest.raises(OrderNotTakenError, match="is below"):
        await guard.check(fence)
    await guard.check(hold_duty(keyspace))


async def test_order_from_older_lists_is_refused():
    keyspace = Keyspace()
    fence = hold_duty(keyspace)
    applied = []
    server = Server(False, 0.0, lambda _, order: applied.append(order.version))
    peer = Peer("agent-0", server, MemoryStore(keyspace))
    for lists_version, version, is_taken in ((5, "2", True), (4, "1", False)):
        message = SendOrder("load_model", "a", version, fence, lists_version)
        reply = await peer.call(message, None, 1.0)
        assert reply.is_taken is is_taken
        await asyncio.sleep(0.01)
    assert applied == ["2"]


class Fleet:
    """Entries, agents and what their servers applied."""

    def __init__(self, checks, entries, servers, desired, load_s=2.0, weights_s=0.5):
        loop = asyncio.get_running_loop()
        self.keyspace = Keyspace(loop.time)
        self.applied = []
        self.wrong = []
        self.lists = Lists(desired)
        self.weights = Weights(weights_s)
        self.peers = [
            Peer(
                f"agent-{n}",
                Server(checks, load_s, self.note),
                MemoryStore(self.keyspace),
            )
            for n in range(servers)
        ]
        self.entries = [
            Entry(f"entry-{n}", self.keyspace, self.lists, self.peers, self.weights)
            for n in range(entries)
        ]

    def note(self, server, order):
        item = self.keyspace.get(DUTY_PREFIX + DUTY).item
        current = item.create_revision if item is not None else None
        self.applied.append(order)
        if order.fencing_number != current:
            self.wrong.append((order, current))

    def versions(self, model):
        return [peer.server.loaded.get(model) for peer in self.peers]

    async def until(self, condition, timeout_s=600):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.1)

    async def stop(self):
        for entry in self.entries:
            await entry.stop()


def virtual(body, *sizes, **options):
    async def main():
        fleet = Fleet(*sizes, **options)
        try:
            await body(fleet)
        finally:
            await fleet.stop()

    run_in_virtual_time(main())


def test_new_version_rolls_out_with_the_capacity_and_weight_rate_kept():
    async def body(fleet):
        await fleet.until(lambda: fleet.versions("a").count("1") == 6)
        fleet.lists.entry = engine({"a": ("2", 6)})
        fleet.lists.version = 2
        least = 6
        while fleet.versions("a").count("2") < 6:
            await asyncio.sleep(0.1)
            least = min(least, ready_counts(fleet.peers, ["a"])["a"])
        assert least >= 5
        loads_s = [at_s for at_s, _ in fleet.weights.loads]
        pauses = [b - a for a, b in zip(loads_s, loads_s[1:], strict=False)]
        assert min(pauses) >= 0.5
        assert len(loads_s) == len(fleet.applied) == 12
        await asyncio.sleep(60)
        assert len(fleet.applied) == 12
        assert not any(entry.status.gaps for entry in fleet.entries)

    virtual(body, False, 2, 6, engine({"a": ("1", 6)}))


def test_failing_server_is_retried_slowly_and_another_takes_its_place():
    async def body(fleet):
        fleet.peers[0].server.fails = 10**6
        await fleet.until(lambda: fleet.versions("a").count("1") == 2)
        sent = fleet.entries[0].status.sent
        await asyncio.sleep(100)
        assert fleet.entries[0].status.sent - sent < 10

    virtual(body, False, 1, 3, engine({"a": ("1", 2)}))


@pytest.mark.parametrize("checks", [False, True])
@pytest.mark.parametrize("seed", range(6))
def test_only_the_present_holder_has_an_effect(checks, seed):
    chance = random.Random(seed)
    random.seed(seed)

    async def disturb(fleet):
        while True:
            entry = chance.choice(fleet.entries)
            peer = chance.choice(fleet.peers)
            fault = chance.choice(("pause", "down", "lost", "restart", "cut", "lists"))
            match fault:
                case "pause":
                    entry.awake.clear()
                case "down":
                    entry.faults.down = True
                case "lost":
                    entry.faults.lost_answers = 2
                case "restart":
                    peer.restart()
                case "cut":
                    peer.is_cut = True
                case "lists":
                    fleet.lists.version += 1
                    version = str(fleet.lists.version)
                    fleet.lists.entry = engine({"a": (version, 4)})
            await asyncio.sleep(chance.uniform(0.5, 12.0))
            entry.awake.set()
            entry.faults.down = peer.is_cut = False

    async def body(fleet):
        for entry in fleet.entries:
            entry.late_share = 0.3
        disturber = asyncio.create_task(disturb(fleet))
        least = 0
        for _ in range(4000):
            await asyncio.sleep(0.1)
            ready = ready_counts(fleet.peers, ["a"])["a"]
            assert ready >= least
            least = max(least, int(ready >= 2))
        disturber.cancel()
        for entry in fleet.entries:
            entry.awake.set()
            entry.faults.down = False
        for peer in fleet.peers:
            peer.is_cut = False
        assert not fleet.wrong
        assert len({order.fencing_number for order in fleet.applied}) > 1
        version = str(fleet.lists.version)
        await fleet.until(lambda: fleet.versions("a").count(version) >= 4)

    virtual(body, checks, 3, 6, engine({"a": ("1", 4)}))
