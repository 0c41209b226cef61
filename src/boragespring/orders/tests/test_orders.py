"""Tests of plans, and of orders under pauses, outages and restarts."""

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
    OrderRejectedError,
    PlanSettings,
    RefusalCode,
    ServerState,
    plan_orders,
)
from boragespring.orders.messages import OrderRequest
from boragespring.orders.tests.fakes import (
    DUTY,
    FakeDesiredState,
    FakeEntry,
    FakePeer,
    FakeServer,
    FakeWeightStore,
    ready_counts,
)
from boragespring.store import ConditionalWrite, Keyspace, MemoryStore

SETTINGS = PlanSettings()


def make_service(models, **fields):
    return ServiceEntry(
        "engine",
        {
            name: ModelEntry(version, servers_min=count)
            for name, (version, count) in models.items()
        },
        **fields,
    )


def make_states(count, **models):
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
def test_plan_keeps_enough_servers_of_each_model_in_service(loaded, count, fraction):
    servers = [ServerState(f"agent-{n}", models, {}) for n, models in enumerate(loaded)]
    settings = PlanSettings(loading_max_share=fraction)
    plan = plan_orders(
        make_service(dict.fromkeys("abc", ("2", count))), servers, settings
    )
    ordered = {order.server for order in plan.orders}
    assert len(ordered) == len(plan.orders) <= max(1, int(fraction * len(servers)))
    for name in "abc":
        with_model = [s for s in servers if name in s.models]
        ready = [s for s in with_model if s.name not in ordered]
        assert len(ready) >= min(len(with_model), max(1, len(with_model) / 2))


def test_single_server_keeps_its_version_and_gap_states_the_reason():
    plan = plan_orders(make_service({"a": ("2", 1)}), make_states(1, a="1"), SETTINGS)
    assert not plan.orders
    assert plan.gaps[0].reason is GapReason.MINIMUM_CAPACITY
    spare = [*make_states(1, a="1"), ServerState("spare", {}, {})]
    plan = plan_orders(make_service({"a": ("2", 1)}), spare, SETTINGS)
    assert [order.server for order in plan.orders] == ["spare"]


def test_roles_and_adapters_are_planned_one_server_at_a_time():
    desired = make_service({}, roles={"prefill": 2, "decode": 2})
    plan = plan_orders(desired, make_states(4), SETTINGS)
    assert [order.kind for order in plan.orders] == [OrderKind.SET_ROLE]
    assert {gap.name: gap.wanted - gap.actual for gap in plan.gaps} == {
        "decode": 2,
        "prefill": 2,
    }
    with_adapter = ServiceEntry("engine", {"a": ModelEntry("1", {"x": "7"}, 2)})
    plan = plan_orders(with_adapter, make_states(3, a="1"), SETTINGS)
    assert [order.name for order in plan.orders] == ["a/x"]


def acquire_duty(keyspace):
    keyspace.apply([ConditionalWrite(DUTY_PREFIX + DUTY, b"{}", 0)])
    return keyspace.get(DUTY_PREFIX + DUTY).item.create_revision


@pytest.mark.parametrize("server_checks_fencing", [False, True])
async def test_restarted_agent_rejects_orders_until_it_has_read_the_duty(
    server_checks_fencing,
):
    keyspace = Keyspace()
    fence = acquire_duty(keyspace)
    store = MemoryStore(keyspace)
    guard = FenceGuard(store, DUTY, server_checks_fencing)
    store.faults.down = True
    with pytest.raises(OrderRejectedError) as rejected:
        await guard.check(fence)
    assert rejected.value.code is RefusalCode.FENCE_UNKNOWN
    store.faults.down = False
    await guard.check(fence)
    store.faults.down = True
    if server_checks_fencing:
        await guard.check(fence)
    else:
        with pytest.raises(OrderRejectedError):
            await guard.check(fence)


async def test_expired_holder_is_rejected_before_a_new_one_is_known():
    keyspace = Keyspace()
    fence = acquire_duty(keyspace)
    item = keyspace.get(DUTY_PREFIX + DUTY).item
    guard = FenceGuard(MemoryStore(keyspace), DUTY, False)
    await guard.check(fence)
    keyspace.apply([ConditionalWrite(item.key, None, item.mod_revision)])
    with pytest.raises(OrderRejectedError, match="is below"):
        await guard.check(fence)
    await guard.check(acquire_duty(keyspace))


async def test_order_from_older_lists_is_rejected():
    keyspace = Keyspace()
    fence = acquire_duty(keyspace)
    applied = []
    server = FakeServer(False, 0.0, lambda _, order: applied.append(order.version))
    peer = FakePeer("agent-0", server, MemoryStore(keyspace))
    for lists_version, version, is_accepted in ((5, "2", True), (4, "1", False)):
        message = OrderRequest("load_model", "a", version, fence, lists_version)
        reply = await peer.call(message, None, 1.0)
        assert reply.is_accepted is is_accepted
        await asyncio.sleep(0.01)
    assert applied == ["2"]


class Fleet:
    """Entries, agents and the orders that their servers applied."""

    def __init__(
        self, checks_fencing, entries, servers, desired, load_s=2.0, weights_s=0.5
    ):
        loop = asyncio.get_running_loop()
        self.keyspace = Keyspace(loop.time)
        self.applied = []
        self.stale_orders = []
        self.lists = FakeDesiredState(desired)
        self.weights = FakeWeightStore(weights_s)
        self.peers = [
            FakePeer(
                f"agent-{n}",
                FakeServer(checks_fencing, load_s, self.record_applied),
                MemoryStore(self.keyspace),
            )
            for n in range(servers)
        ]
        self.entries = [
            FakeEntry(f"entry-{n}", self.keyspace, self.lists, self.peers, self.weights)
            for n in range(entries)
        ]

    def record_applied(self, server, order):
        item = self.keyspace.get(DUTY_PREFIX + DUTY).item
        current = item.create_revision if item is not None else None
        self.applied.append(order)
        if order.fencing_number != current:
            self.stale_orders.append((order, current))

    def versions(self, model):
        return [peer.server.loaded.get(model) for peer in self.peers]

    async def wait_until(self, condition, timeout_s=600):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.1)

    async def stop(self):
        for entry in self.entries:
            await entry.stop()


def run_with_fleet(body, *sizes, **options):
    async def main():
        fleet = Fleet(*sizes, **options)
        try:
            await body(fleet)
        finally:
            await fleet.stop()

    run_in_virtual_time(main())


def test_rollout_keeps_minimum_capacity_and_weight_store_rate():
    async def body(fleet):
        await fleet.wait_until(lambda: fleet.versions("a").count("1") == 6)
        fleet.lists.entry = make_service({"a": ("2", 6)})
        fleet.lists.version = 2
        fewest_ready = 6
        while fleet.versions("a").count("2") < 6:
            await asyncio.sleep(0.1)
            fewest_ready = min(fewest_ready, ready_counts(fleet.peers, ["a"])["a"])
        assert fewest_ready >= 5
        loads_s = [at_s for at_s, _ in fleet.weights.loads]
        intervals_s = [b - a for a, b in zip(loads_s, loads_s[1:], strict=False)]
        assert min(intervals_s) >= 0.5
        assert len(loads_s) == len(fleet.applied) == 12
        await asyncio.sleep(60)
        assert len(fleet.applied) == 12
        assert not any(entry.status.gaps for entry in fleet.entries)

    run_with_fleet(body, False, 2, 6, make_service({"a": ("1", 6)}))


def test_failing_server_is_retried_with_backoff_and_replaced():
    async def body(fleet):
        fleet.peers[0].server.failures_left = 10**6
        await fleet.wait_until(lambda: fleet.versions("a").count("1") == 2)
        sent = fleet.entries[0].status.sent
        await asyncio.sleep(100)
        assert fleet.entries[0].status.sent - sent < 10

    run_with_fleet(body, False, 1, 3, make_service({"a": ("1", 2)}))


@pytest.mark.parametrize("checks_fencing", [False, True])
@pytest.mark.parametrize("seed", range(6))
def test_only_orders_of_the_current_holder_take_effect(checks_fencing, seed):
    rng = random.Random(seed)
    random.seed(seed)

    async def inject_faults(fleet):
        while True:
            entry = rng.choice(fleet.entries)
            peer = rng.choice(fleet.peers)
            fault = rng.choice(("pause", "down", "lost", "restart", "cut", "lists"))
            match fault:
                case "pause":
                    entry.running.clear()
                case "down":
                    entry.faults.down = True
                case "lost":
                    entry.faults.lost_answers = 2
                case "restart":
                    peer.restart()
                case "cut":
                    peer.is_disconnected = True
                case "lists":
                    fleet.lists.version += 1
                    version = str(fleet.lists.version)
                    fleet.lists.entry = make_service({"a": (version, 4)})
            await asyncio.sleep(rng.uniform(0.5, 12.0))
            entry.running.set()
            entry.faults.down = peer.is_disconnected = False

    async def body(fleet):
        for entry in fleet.entries:
            entry.late_probability = 0.3
        fault_task = asyncio.create_task(inject_faults(fleet))
        required_ready = 0
        for _ in range(4000):
            await asyncio.sleep(0.1)
            ready = ready_counts(fleet.peers, ["a"])["a"]
            assert ready >= required_ready
            required_ready = max(required_ready, int(ready >= 2))
        fault_task.cancel()
        for entry in fleet.entries:
            entry.running.set()
            entry.faults.down = False
        for peer in fleet.peers:
            peer.is_disconnected = False
        assert not fleet.stale_orders
        assert len({order.fencing_number for order in fleet.applied}) > 1
        version = str(fleet.lists.version)
        await fleet.wait_until(lambda: fleet.versions("a").count(version) >= 4)

    run_with_fleet(body, checks_fencing, 3, 6, make_service({"a": ("1", 4)}))
