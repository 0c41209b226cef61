"""A copy of the store's keys stays right over gaps and other copies."""

import asyncio
import contextlib

from boragespring.store.fan_out import PrefixFanOut
from boragespring.store.follower import FollowerSettings, PrefixFollower
from boragespring.store.keyspace import Keyspace
from boragespring.store.memory_store import MemoryStore
from boragespring.store.store import ConditionalWrite, KeyValue


class Target:
    def __init__(self):
        self.values = {}
        self.lapses = []
        self.contacts = 0
        self.lost = []

    def on_snapshot(self, items, has_lapsed):
        self.values = {item.key: item.value for item in items}
        self.lapses.append(has_lapsed)

    def on_change(self, event):
        if event.item is None:
            self.values.pop(event.key, None)
        else:
            self.values[event.key] = event.item.value

    def on_contact(self, complete_at_s):
        self.contacts += 1

    def on_lost(self, reason):
        self.lost.append(reason)

    def on_regained(self, away_s):
        self.lost.append("")


def put(keyspace, key, value):
    found = keyspace.get(key).item
    expected = found.mod_revision if found else 0
    return keyspace.apply([ConditionalWrite(key, value, expected)])[0].revision


@contextlib.asynccontextmanager
async def following(keyspace, prefix="", target=None):
    store = MemoryStore(keyspace, progress_interval_s=0.05)
    target = target or Target()
    settings = FollowerSettings(0.01, 0.02)
    follower = PrefixFollower(store, prefix, target, target, settings)
    task = asyncio.create_task(follower.run())
    await until(lambda: follower.revision)
    yield store, follower, target
    task.cancel()


async def until(check):
    async with asyncio.timeout(2.0):
        while not check():
            await asyncio.sleep(0.005)


async def test_changes_arrive_and_confirm_the_copy():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    async with following(keyspace) as (_, follower, target):
        assert target.values == {"a/1": b"x"}
        put(keyspace, "a/2", b"y")
        put(keyspace, "a/1", None)
        await until(lambda: target.values == {"a/2": b"y"})
        before = follower.complete_at_s
        await until(lambda: follower.complete_at_s > before)


async def test_an_outage_is_told_and_what_lapsed_is_marked():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    async with following(keyspace) as (store, _, target):
        store.faults.down = True
        keyspace.wake()
        await until(lambda: target.lost)
        put(keyspace, "a/1", None)
        keyspace.compact(keyspace.revision)
        store.faults.down = False
        await until(lambda: not target.values)
        assert target.lapses == [False, True]


async def test_a_copy_of_another_process_is_taken_unless_it_is_older():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    async with following(keyspace) as (_, follower, target):
        follower.take_copy([KeyValue("a/9", b"z", 1, 90)], 95, 90, 5.0)
        assert target.values == {"a/9": b"z"}
        follower.take_copy([KeyValue("a/1", b"x", 1, 2)], 3, 2, 6.0)
        assert target.values == {"a/9": b"z"}
        assert follower.revision == 95


async def test_events_from_before_a_copy_bring_nothing_back():
    keyspace = Keyspace()
    async with following(keyspace) as (_, follower, target):
        revision = put(keyspace, "a/1", b"x")
        # The copy is of a later revision, at which the key was removed.
        follower.take_copy([], revision + 1, revision + 1, 5.0)
        await asyncio.sleep(0.1)
        assert target.values == {}


async def test_readers_share_one_watch():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    first, second = Target(), Target()
    shared = PrefixFanOut({"a/": first, "b/": second})
    shared.on_lost = shared.on_regained = lambda _: None
    async with following(keyspace, target=shared) as (store, _, __):
        put(keyspace, "b/1", b"y")
        put(keyspace, "c/1", b"z")
        await until(lambda: second.values)
        assert (first.values, second.values) == ({"a/1": b"x"}, {"b/1": b"y"})
        assert store.calls["watch"] == 1


async def test_a_resting_follower_takes_what_another_hands_on():
    keyspace = Keyspace()
    put(keyspace, "a", b"1")
    async with following(keyspace) as (_, watching, _), following(keyspace) as found:
        _, resting, target = found
        is_handing_on = True
        handed = []

        def hand_on(after_revision, batch):
            if is_handing_on:
                handed.append(resting.take_batch(after_revision, batch))

        watching.batch_hooks.append(hand_on)
        resting.may_rest = lambda: True
        put(keyspace, "a", b"2")
        await until(lambda: handed and target.values == {"a": b"2"})
        put(keyspace, "b", b"1")
        keyspace.apply(
            [ConditionalWrite("a", None, keyspace.get("a").item.mod_revision)]
        )
        await until(lambda: target.values == {"b": b"1"})
        # What is missing in between is noticed, and an older put stays undone.
        is_handing_on = False
        put(keyspace, "c", b"1")
        revision = put(keyspace, "d", b"1")
        await until(lambda: watching.revision >= revision)
        is_handing_on = True
        put(keyspace, "e", b"1")
        await until(lambda: handed[-1] is False)
        assert "e" not in target.values
        resting.may_rest = lambda: False
        await until(lambda: target.values == dict.fromkeys("bcde", b"1"))
