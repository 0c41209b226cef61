"""Replies of the store whose values cannot be used."""

import pytest

from boragespring.platform.store_client import PlatformStore, PlatformStoreSettings
from boragespring.platform.tests.test_odd_replies import replying_server
from boragespring.store import StoreUnavailableError
from boragespring.store.store import ConditionalWrite, WriteOutcomeUnknownError

ITEM = '"key": "servers/i-1", "value": "", "revision"'


async def read_items(store):
    return await store.range("servers/")


async def read_changes(store):
    async for batch in store.watch("servers/", 1):
        return batch


async def grant(store):
    return await store.grant_lease(1.0)


# Guards against a reply that ends the loop which follows the store.
@pytest.mark.parametrize(
    ("read", "body"),
    [
        (read_items, '{"items": [{' + ITEM + ": 1e400}]}"),
        (read_items, '{"items": [{' + ITEM + ": []}]}"),
        (read_items, '{"items": [{"key": "servers/i-1"}]}'),
        (read_items, '{"items": [], "current_rev": 1' + "0" * 30 + "}"),
        (read_changes, '{"events": [{"key": "k", "revision": -1}]}'),
        (read_items, '{"items": [7]}'),
        (read_items, '{"items": [{"key": "\\ud800"}], "has_more": true}'),
        (read_items, '{"items": [], "current_rev": NaN}'),
        (read_changes, '{"events": [{"key": "k"}]}'),
        (read_changes, '{"current_rev": {}}'),
        (grant, "{}"),
        (grant, '{"lease": 1, "ttl_ms": "long"}'),
        (grant, '{"lease": 1, "ttl_ms": NaN}'),
    ],
)
async def test_odd_reply_of_the_store_counts_as_none(read, body):
    async with replying_server(200, body.encode()) as (_, server):
        store = PlatformStore(PlatformStoreSettings(f"http://{server.address}"))
        try:
            with pytest.raises(StoreUnavailableError):
                await read(store)
        finally:
            await store.close()


async def test_entries_beside_an_odd_key_are_read():
    body = '{"items": [{"key": "a\\ud800", "revision": 1}, {' + ITEM + ": 2}]}"
    async with replying_server(200, body.encode()) as (_, server):
        store = PlatformStore(PlatformStoreSettings(f"http://{server.address}"))
        found = await store.range("")
        await store.close()
    assert [item.key for item in found.items] == ["servers/i-1"]


# Guards against a reply to a write that ends the task which writes.
@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (200, '{"revision": "new"}', WriteOutcomeUnknownError),
        (200, '{"revision": []}', WriteOutcomeUnknownError),
        (200, '{"revision": 1e400}', WriteOutcomeUnknownError),
        (412, '{"items": [], "current_rev": []}', StoreUnavailableError),
    ],
)
async def test_odd_reply_to_a_write_does_not_tell_its_result(status, body, error):
    async with replying_server(status, body.encode()) as (_, server):
        store = PlatformStore(PlatformStoreSettings(f"http://{server.address}"))
        try:
            with pytest.raises(error):
                await store.write(ConditionalWrite("k", b"v", 0))
        finally:
            await store.close()
