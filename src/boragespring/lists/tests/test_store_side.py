"""Editors, replicas and watchers under concurrent edits and store failures."""

import asyncio
import random
from collections import Counter

import attrs
import pytest

from boragespring.lists.changes import EntryChange, invert_changes, serialize_entry
from boragespring.lists.codec import (
    VALUE_MAX_BYTES,
    decode_state,
    encode_changes,
    encode_state,
    truncate_to_fit,
)
from boragespring.lists.editor import LISTS_KEY, Edit, ListsEditor
from boragespring.lists.errors import (
    ChangeOutcomeUnknownError,
    EditConflictError,
    ListsCorruptError,
    ListsInvalidError,
    ListsTooLargeError,
    ListsUnavailableError,
)
from boragespring.lists.lineage import VersionOrder
from boragespring.lists.model import ListKind
from boragespring.lists.replica import ListsReplica
from boragespring.lists.state import EMPTY_STATE, ListsState, difference
from boragespring.lists.tests.fakes import (
    FaultInjectingStore,
    make_document,
    wait_until,
)
from boragespring.lists.watcher import ListsWatcher, WatcherSettings
from boragespring.store import (
    ConditionalWrite,
    Keyspace,
    MemoryStore,
    WriteResolutionSettings,
)

FAST_RESOLUTION = WriteResolutionSettings(timeout_s=5.0, retry_interval_s=0.0)
FAST_RETRY = WatcherSettings(retry_delay_s=0.005, retry_delay_max_s=0.01)


async def create_lists(keyspace):
    editor = ListsEditor(MemoryStore(keyspace))
    await editor.submit(
        Edit(difference(EMPTY_STATE, make_document()), "setup", "first")
    )
    return editor


def append_note(state, key, note):
    """Return the change that appends text to the note of an entry."""
    entry = {
        ListKind.WORKSPACE: state.document.plan_list.workspaces,
        ListKind.PLAN: state.document.allowance_list.plans,
    }[key[0]][key[1]]
    changed = attrs.evolve(entry, note=f"{entry.note}{note},")
    return (EntryChange(*key, state.texts[key], serialize_entry(changed)),)


def count_notes(state):
    entries = [
        *state.document.plan_list.workspaces.values(),
        *state.document.allowance_list.plans.values(),
    ]
    return Counter(n for entry in entries for n in entry.note.split(",") if n)


async def edit_repeatedly(editor, rng, name, accepted, unknown):
    keys = [(ListKind.WORKSPACE, f"w{i}") for i in range(3)]
    keys += [(ListKind.PLAN, f"p{i}") for i in range(2)]
    for number in range(4):
        note, key = f"{name}-{number}", rng.choice(keys)
        while True:
            try:
                state = (await editor.read()).state
                await editor.submit(Edit(append_note(state, key, note), name, note))
                accepted.add(note)
                break
            except (EditConflictError, ListsUnavailableError):
                await asyncio.sleep(0.001 * rng.random())
            except ChangeOutcomeUnknownError:
                unknown.add(note)
                break


@pytest.mark.parametrize("seed", range(3))
async def test_concurrent_edits_are_applied_exactly_once(seed):
    rng, keyspace = random.Random(seed), Keyspace()
    await create_lists(keyspace)
    store = FaultInjectingStore(keyspace, rng)
    replica, seen = ListsReplica(), []
    replica.on_change(seen.append)
    watcher = asyncio.create_task(
        ListsWatcher(MemoryStore(keyspace, store.faults), replica, FAST_RETRY).run()
    )
    accepted, unknown = set(), set()
    editors = asyncio.gather(
        *(
            edit_repeatedly(
                ListsEditor(store, FAST_RESOLUTION), rng, f"e{i}", accepted, unknown
            )
            for i in range(20)
        )
    )
    while not editors.done():
        await asyncio.sleep(0.02)
        store.faults.down = not store.faults.down
    store.faults.down = False
    await editors
    final = (await ListsEditor(MemoryStore(keyspace)).read()).state
    await wait_until(lambda: replica.state.number == final.number)
    watcher.cancel()

    notes = count_notes(final)
    assert set(notes.values()) == {1}
    assert accepted <= set(notes) <= accepted | unknown
    assert len(accepted) + len(unknown) == 80
    assert final.number == 1 + len(notes)
    assert [c.number for c in final.history] == list(
        range(final.number - len(final.history) + 1, final.number + 1)
    )
    numbers = [state.number for state in seen]
    assert numbers == sorted(set(numbers))
    assert replica.counters.forks_refused == 0


async def test_conflict_error_shows_the_conflicting_change():
    editor = await create_lists(Keyspace())
    state = (await editor.read()).state
    await editor.submit(
        Edit(append_note(state, (ListKind.PLAN, "p0"), "a"), "ana", "more")
    )
    with pytest.raises(EditConflictError, match="ana: more") as exc_info:
        await editor.submit(
            Edit(append_note(state, (ListKind.PLAN, "p0"), "b"), "ben", "x")
        )
    assert exc_info.value.other_changes[0].author == "ana"
    merged = await editor.submit(
        Edit(append_note(state, (ListKind.PLAN, "p1"), "c"), "ben", "other entry")
    )
    assert set(count_notes(merged)) == {"a", "c"}


async def test_rollback_is_a_new_change_and_invalid_documents_are_rejected():
    editor = await create_lists(Keyspace())
    state = (await editor.read()).state
    change = append_note(state, (ListKind.PLAN, "p0"), "a")
    await editor.submit(Edit(change, "ana", "more"))
    undone = await editor.submit(Edit(invert_changes(change), "ana", "undo"))
    assert (undone.number, undone.digest) == (3, state.digest)
    plan = (ListKind.PLAN, "p0")
    removal = EntryChange(*plan, state.texts[plan], "")
    with pytest.raises(ListsInvalidError):
        await editor.submit(Edit((removal,), "ana", "still referred to"))
    assert (await editor.read()).state.number == 3


async def test_edit_raises_unavailable_error_while_store_is_down():
    keyspace = Keyspace()
    editor = await create_lists(keyspace)
    state = (await editor.read()).state
    editor._store.faults.down = True
    with pytest.raises(ListsUnavailableError):
        await editor.submit(
            Edit(append_note(state, (ListKind.PLAN, "p0"), "a"), "a", "b")
        )
    editor._store.faults.down = False
    assert (await editor.read()).state.number == 1


async def test_replica_rejects_stale_and_forked_versions():
    keyspace = Keyspace()
    editor = await create_lists(keyspace)
    first = (await editor.read()).state
    change = append_note(first, (ListKind.PLAN, "p0"), "a")
    second = await editor.submit(Edit(change, "a", "b"))
    replica = ListsReplica()
    assert replica.offer(second) is VersionOrder.NEWER
    assert replica.offer(first) is VersionOrder.STALE
    assert replica.offer(second) is VersionOrder.SAME
    keyspace.restore(2)
    other = await editor.submit(Edit(change, "x", "y"))
    assert other.number == second.number
    assert replica.offer(other) is VersionOrder.FORK
    longer = await editor.submit(Edit(invert_changes(change), "x", "y"))
    assert replica.offer(longer) is VersionOrder.FORK
    assert replica.state is second
    assert replica.counters.stale_refused == 1
    assert replica.counters.forks_refused == 2


@pytest.fixture
async def watched_store():
    """Provide a store with three versions and a replica that follows it."""
    keyspace = Keyspace()
    editor = await create_lists(keyspace)
    store = MemoryStore(keyspace, silence_timeout_s=0.05, progress_interval_s=0.01)
    replica = ListsReplica()
    watcher = ListsWatcher(store, replica, FAST_RETRY)
    task = asyncio.create_task(watcher.run())
    for note in "ab":
        state = (await editor.read()).state
        await editor.submit(
            Edit(append_note(state, (ListKind.PLAN, "p0"), note), "x", note)
        )
    await wait_until(lambda: replica.state.number == 3)
    yield keyspace, editor, store, replica, watcher
    task.cancel()


async def test_changes_lost_by_failover_to_older_data_are_restored(watched_store):
    keyspace, editor, _, replica, watcher = watched_store
    keyspace.restore(2)
    await wait_until(lambda: watcher.counters.restores_written == 1)
    assert (await editor.read()).state.number == 3
    assert replica.state.number == 3
    assert watcher.counters.revision_decreases >= 1


async def test_edits_on_older_data_are_merged_with_lost_changes(watched_store):
    keyspace, editor, _, replica, watcher = watched_store
    keyspace.restore(3)
    stale = (await editor.read()).state
    await editor.submit(
        Edit(append_note(stale, (ListKind.PLAN, "p1"), "free"), "x", "free")
    )
    state = (await editor.read()).state
    await editor.submit(
        Edit(append_note(state, (ListKind.PLAN, "p0"), "lost"), "x", "clash")
    )
    await wait_until(lambda: replica.state.number > 4)
    final = (await editor.read()).state
    assert set(count_notes(final)) == {"a", "b", "free"}
    assert "without effect" in final.history[-1].reason
    assert final.digest == replica.state.digest
    assert watcher.counters.restores_written == 1


async def test_watcher_recovers_from_silent_watch_and_deleted_key(watched_store):
    keyspace, editor, store, replica, watcher = watched_store
    store.faults.silent_watches = True
    state = (await editor.read()).state
    await editor.submit(Edit(append_note(state, (ListKind.PLAN, "p1"), "c"), "x", "c"))
    await wait_until(lambda: replica.state.number == 4)
    assert watcher.counters.watches_lost >= 1
    store.faults.silent_watches = False
    item = (await store.get(LISTS_KEY)).item
    await store.write(ConditionalWrite(LISTS_KEY, None, item.mod_revision))
    await wait_until(lambda: watcher.counters.restores_written == 1)
    assert (await editor.read()).state.number == 4


async def test_corrupt_value_leaves_the_active_version_unchanged(watched_store):
    _, editor, store, replica, watcher = watched_store
    item = (await store.get(LISTS_KEY)).item
    await store.write(ConditionalWrite(LISTS_KEY, b"garbage", item.mod_revision))
    await wait_until(lambda: watcher.counters.watches_lost >= 1)
    assert replica.state.number == 3
    with pytest.raises(ListsCorruptError):
        await editor.read()


def test_codec_rejects_corrupt_and_oversized_values():
    rng = random.Random(7)
    keys = [(ListKind.WORKSPACE, f"w{i}") for i in range(900)]
    texts = {key: rng.randbytes(1200).hex() for key in keys}
    state = ListsState(1, "id", texts, ())
    value = encode_state(state)
    assert decode_state(value).texts == texts
    for damaged in (
        value[:-9],
        encode_state(attrs.evolve(state, digest=0)),
        b"",
        encode_changes(()),
    ):
        with pytest.raises(ListsCorruptError):
            decode_state(damaged)
    assert len(value) > VALUE_MAX_BYTES
    with pytest.raises(ListsTooLargeError):
        truncate_to_fit(state)
