"""The snapshot of a follower stays correct across outages and peer snapshots.

Two failures are guarded against: a change is missed while the store is unreachable or
while peers watch on the follower's behalf, and an old change is applied twice, so that
a deleted key returns.
"""

import asyncio
import contextlib

from boragespring.store.fan_out import PrefixFanOut
from boragespring.store.follower import PrefixFollower, PrefixFollowerSettings
from boragespring.store.keyspace import Keyspace
from boragespring.store.memory_store import MemoryStore
from boragespring.store.position import StorePosition
from boragespring.store.store import ConditionalWrite, KeyValue, WatchBatch, WatchEvent


class RecordingListener:
    def __init__(self):
        self.values = {}
        self.outage_flags = []
        self.confirmations = 0
        self.contact_changes = []

    def on_snapshot(self, items, is_after_outage):
        self.values = {item.key: item.value for item in items}
        self.outage_flags.append(is_after_outage)

    def on_change(self, event):
        if event.item is None:
            self.values.pop(event.key, None)
        else:
            self.values[event.key] = event.item.value

    def on_confirmed(self, complete_at_s):
        self.confirmations += 1

    def on_lost(self, reason):
        self.contact_changes.append(reason)

    def on_regained(self, away_s):
        self.contact_changes.append("")

    def on_restored(self, era_before, era):
        self.contact_changes.append((era_before, era))


def put(keyspace, key, value):
    stored = keyspace.get(key).item
    expected = stored.mod_revision if stored else 0
    return keyspace.apply([ConditionalWrite(key, value, expected)])[0].revision


def at(revision, era=0):
    return StorePosition(era, revision)


@contextlib.asynccontextmanager
async def running_follower(keyspace, prefix="", listener=None):
    store = MemoryStore(keyspace, progress_interval_s=0.05)
    listener = listener or RecordingListener()
    settings = PrefixFollowerSettings(0.01, 0.02)
    follower = PrefixFollower(store, prefix, listener, listener, settings)
    task = asyncio.create_task(follower.run())
    await wait_until(lambda: follower.position.revision)
    yield store, follower, listener
    task.cancel()


async def wait_until(condition):
    async with asyncio.timeout(2.0):
        while not condition():
            await asyncio.sleep(0.005)


async def test_changes_are_applied_and_confirm_the_snapshot():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    async with running_follower(keyspace) as (_, follower, listener):
        assert listener.values == {"a/1": b"x"}
        put(keyspace, "a/2", b"y")
        put(keyspace, "a/1", None)
        await wait_until(lambda: listener.values == {"a/2": b"y"})
        before = follower.complete_at_s
        await wait_until(lambda: follower.complete_at_s > before)


async def test_outage_is_reported_and_next_snapshot_is_flagged():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    async with running_follower(keyspace) as (store, _, listener):
        store.faults.down = True
        keyspace.wake()
        await wait_until(lambda: listener.contact_changes)
        put(keyspace, "a/1", None)
        keyspace.compact(keyspace.revision)
        store.faults.down = False
        await wait_until(lambda: not listener.values)
        assert listener.outage_flags == [False, True]


async def test_peer_snapshot_is_applied_unless_it_is_older():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    async with running_follower(keyspace) as (_, follower, listener):
        newer, older = [KeyValue("a/9", b"z", 1, 90)], [KeyValue("a/1", b"x", 1, 2)]
        follower.apply_peer_snapshot(newer, at(95), at(90), 5.0)
        assert listener.values == {"a/9": b"z"}
        follower.apply_peer_snapshot(older, at(3), at(2), 6.0)
        assert listener.values == {"a/9": b"z"}
        assert follower.position == at(95)


async def test_events_older_than_a_snapshot_do_not_restore_deleted_keys():
    keyspace = Keyspace()
    async with running_follower(keyspace) as (_, follower, listener):
        revision = put(keyspace, "a/1", b"x")
        # The snapshot is of a later revision, at which the key was deleted.
        follower.apply_peer_snapshot([], at(revision + 1), at(revision + 1), 5.0)
        await asyncio.sleep(0.1)
        assert listener.values == {}


async def test_listeners_share_one_watch():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    first, second = RecordingListener(), RecordingListener()
    shared = PrefixFanOut({"a/": first, "b/": second})
    shared.on_lost = shared.on_regained = lambda _: None
    async with running_follower(keyspace, listener=shared) as (store, _, __):
        put(keyspace, "b/1", b"y")
        put(keyspace, "c/1", b"z")
        await wait_until(lambda: second.values)
        assert (first.values, second.values) == ({"a/1": b"x"}, {"b/1": b"y"})
        assert store.calls["watch"] == 1


async def test_standby_follower_applies_batches_from_a_peer():
    keyspace = Keyspace()
    put(keyspace, "a", b"1")
    async with (
        running_follower(keyspace) as (_, watcher, _),
        running_follower(keyspace) as running,
    ):
        _, standby, listener = running
        is_forwarding = True
        applied_batches = []

        def forward(after_position, batch):
            if is_forwarding:
                applied_batches.append(standby.apply_peer_batch(after_position, batch))

        watcher.batch_hooks.append(forward)
        standby.is_on_standby = lambda: True
        put(keyspace, "a", b"2")
        await wait_until(lambda: applied_batches and listener.values == {"a": b"2"})
        put(keyspace, "b", b"1")
        keyspace.apply(
            [ConditionalWrite("a", None, keyspace.get("a").item.mod_revision)]
        )
        await wait_until(lambda: listener.values == {"b": b"1"})
        # The follower detects missing changes, and older puts do not restore keys.
        is_forwarding = False
        put(keyspace, "c", b"1")
        revision = put(keyspace, "d", b"1")
        await wait_until(lambda: watcher.position >= at(revision))
        is_forwarding = True
        put(keyspace, "e", b"1")
        await wait_until(lambda: applied_batches[-1] is False)
        assert "e" not in listener.values
        standby.is_on_standby = lambda: False
        await wait_until(lambda: listener.values == dict.fromkeys("bcde", b"1"))


async def test_a_store_without_its_last_changes_replaces_the_snapshot():
    keyspace = Keyspace()
    copied_at = put(keyspace, "a/1", b"old")
    async with running_follower(keyspace) as (_, follower, listener):
        put(keyspace, "a/1", b"lost")
        put(keyspace, "a/2", b"lost")
        await wait_until(lambda: len(listener.values) == 2)
        # The revisions of the lost changes are given out again at once.
        keyspace.restore(copied_at)
        put(keyspace, "a/3", b"new")
        put(keyspace, "a/1", b"newer")
        expected = {"a/1": b"newer", "a/3": b"new"}
        await wait_until(lambda: listener.values == expected)
        assert (0, 1) in listener.contact_changes
        assert listener.outage_flags[-1] is True
        put(keyspace, "a/1", b"newest")
        await wait_until(lambda: listener.values["a/1"] == b"newest")
        assert follower.position.era == 1


async def test_a_second_loss_before_the_first_was_noticed_is_noticed():
    keyspace = Keyspace()
    copied_at = put(keyspace, "a/1", b"old")
    async with running_follower(keyspace) as (store, follower, listener):
        store.faults.down = True
        put(keyspace, "a/2", b"lost")
        keyspace.restore(copied_at)
        put(keyspace, "a/3", b"lost too")
        keyspace.restore(copied_at)
        put(keyspace, "a/4", b"new")
        keyspace.compact(keyspace.revision)
        store.faults.down = False
        await wait_until(lambda: listener.values == {"a/1": b"old", "a/4": b"new"})
        assert follower.position.era == 2


async def test_changes_of_an_earlier_era_that_arrive_late_are_ignored():
    keyspace = Keyspace()
    copied_at = put(keyspace, "a/1", b"old")
    async with running_follower(keyspace) as (_, follower, listener):
        keyspace.restore(copied_at)
        put(keyspace, "a/1", b"new")
        await wait_until(lambda: listener.values == {"a/1": b"new"})
        late = KeyValue("a/1", b"lost", 1, 40)
        batch = WatchBatch(40, (WatchEvent("a/1", late, 40),), era=0)
        assert follower.apply_peer_batch(at(copied_at), batch)
        follower.apply_peer_snapshot([late], at(41), at(40), 5.0)
        assert listener.values == {"a/1": b"new"}
        # A peer that has not noticed the loss does not confirm the local snapshot.
        before = listener.confirmations
        follower.confirm_snapshot(at(follower.content_position.revision), 1e12)
        assert listener.confirmations == before


async def test_a_snapshot_of_a_later_era_is_taken_from_a_peer():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    async with running_follower(keyspace) as (_, follower, listener):
        restored = [KeyValue("a/2", b"y", 1, 1)]
        follower.apply_peer_snapshot(restored, at(1, era=1), at(1, era=1), 5.0)
        assert listener.values == {"a/2": b"y"}
        assert listener.outage_flags[-1] is True
        # A reply of the earlier era that arrives now confirms nothing.
        before_s = follower.complete_at_s
        put(keyspace, "a/9", b"late")
        await asyncio.sleep(0.1)
        assert listener.values == {"a/2": b"y"}
        assert follower.complete_at_s == before_s


class FailingListener(RecordingListener):
    def on_change(self, event):
        raise RecursionError

    def on_snapshot(self, items, is_after_outage):
        raise RecursionError


# Guards against one entry that cannot be processed ending all that a process learns.
async def test_failing_listener_does_not_end_the_watch():
    keyspace = Keyspace()
    put(keyspace, "a/1", b"x")
    sound = RecordingListener()
    shared = PrefixFanOut({"a/": FailingListener(), "b/": sound})
    store = MemoryStore(keyspace, progress_interval_s=0.05)
    settings = PrefixFollowerSettings(0.01, 0.02)
    follower = PrefixFollower(store, "", shared, sound, settings)
    task = asyncio.create_task(follower.run())
    await wait_until(lambda: follower.position.revision)
    put(keyspace, "a/2", b"x")
    put(keyspace, "b/1", b"y")
    await wait_until(lambda: sound.values == {"b/1": b"y"})
    assert not task.done()
    task.cancel()
