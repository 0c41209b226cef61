"""Entries whose values cannot be used name no server; all others hold."""

import asyncio
import gc
import json
import logging
from functools import partial

import pytest

from boragespring.child_processes import free_ports
from boragespring.fleet import Fleet, FleetSettings
from boragespring.platform.registration_codec import (
    RegistrationUnreadableError,
    decode_registration,
)
from boragespring.platform.store_feeds import FleetFeed
from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    has_discovered_servers,
    log_records,
    recording_log,
    wait_until,
)
from boragespring.store import KeyValue
from boragespring.store.store import WatchEvent

VALID_ENTRY = {"service": "desk", "address": "127.0.0.1:9", "zone": "zone-a"}
VALID_ENTRY |= {"state": "ready", "slots": 4, "sequence": 1, "born": 1}
KEY = "servers/i-odd"
#: Each names an address to which no connection can be opened.
ODD_ADDRESSES = ["[127.0.0.1:9", "127.0.0.1]:9", "127.0.0.1:70000", "127.0.0.1:-1"]
ODD_ADDRESSES += ["h" * 100_000 + ":9", "a..b:9", ":9", "a\ud800b:9", "a\r\nX: 1:9"]
#: Connections that they allow would go elsewhere.
MISLEADING_ADDRESSES = ["127.0.0.1:9/x:9", "user@127.0.0.1:9", "0.0.0.0:9", "[::]:9"]
MISLEADING_ADDRESSES += [
    "127.0.0.1:0",
    "127.0.0.1: 9",
    "127.0.0.1:\u0669",
    "127.1:9",
    "",
]
ODD_VALUES = {
    "address": [*ODD_ADDRESSES, *MISLEADING_ADDRESSES],
    "slots": [10**400, -1],
    "born": [10**30, -1],
    "sequence": [2**64],
    "cold_remaining_ms": [float("inf"), float("nan")],
    "zone": ["zone\ud800"],
    "service": ["", "s" * 300, "desk\n"],
}
ODD_FIELDS = [{name: each} for name, values in ODD_VALUES.items() for each in values]
ODD_KEYS = ["servers/", "servers/i\r\nX: 1", "servers/i\ud800", "servers/" + "i" * 500]


def entry(**fields):
    return json.dumps({**VALID_ENTRY, **fields}).encode()


@pytest.fixture
async def uncaught(caplog):
    """Errors that background tasks and the libraries' handlers have not caught."""
    # Errors of tasks that earlier tests left are reported as they are collected.
    gc.collect()
    caplog.clear()
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    yield lambda: [
        *errors,
        *(each for each in caplog.records if each.levelno >= logging.ERROR),
    ]


async def start_gateway(platform, name):
    log, handler = recording_log()
    started = await platform.add_gateway(name, free_ports(4), log)
    started.metadata["lines"] = handler
    await wait_until(lambda: has_discovered_servers(started, platform))
    return started


def has_read_odd_entry(process):
    joined = [record.server for record in log_records(process, "server_joined")]
    return "i-odd" in joined or log_records(process, "registration_unreadable")


async def statuses_of(session, process, count, prefix):
    return {
        await fetch_status(session, process, request_id=f"{prefix}-{number}")
        for number in range(count)
    }


# Guards against odd entries for which callers get 500 or 502, also after a restart.
@pytest.mark.parametrize("fields", ODD_FIELDS, ids=lambda fields: ascii(fields)[:40])
async def test_odd_registration_costs_no_request(session, uncaught, fields):
    async with deployment(services=2) as platform:
        process = platform.gateways[0]
        # The address is that of a server, so that only the odd field is wrong.
        port = platform.services["desk-0"].port
        platform.store.put(KEY, entry(**{"address": f"127.0.0.1:{port}", **fields}))
        await wait_until(lambda: has_read_odd_entry(process))
        assert await statuses_of(session, process, 8, "before") == {200}
        await platform.add_service("desk-2")
        await wait_until(lambda: has_discovered_servers(process, platform))
        started = await start_gateway(platform, "gateway-1")
        assert await statuses_of(session, started, 8, "after") == {200}
    assert not uncaught()
    assert len(log_records(process, "registration_unreadable")) == 1


# Guards against a key that ends the watch, or that no message between gateways carries.
@pytest.mark.parametrize("key", ODD_KEYS, ids=lambda key: ascii(key)[:20])
async def test_entry_with_an_odd_key_is_left_out(session, uncaught, key):
    async with deployment(services=1, gateways=2) as platform:
        platform.store.put(key, entry())
        await platform.add_service("desk-1")
        for process in platform.gateways:
            await wait_until(partial(has_discovered_servers, process, platform))
        started = await start_gateway(platform, "gateway-2")
        assert await statuses_of(session, started, 6, "after") == {200}
        assert len(log_records(started, "server_joined")) == 2
    assert not uncaught()


@pytest.mark.parametrize("key", ODD_KEYS, ids=lambda key: ascii(key)[:20])
def test_server_needs_a_usable_identifier(key):
    with pytest.raises(RegistrationUnreadableError):
        decode_registration(key, entry())


@pytest.mark.parametrize(
    "address", ["127.0.0.1:1", "[::1]:65535", "host-1.example:80", "a_b:8", "x.:9"]
)
def test_usable_address_is_decoded(address):
    decoded = decode_registration(KEY, entry(address=address))
    assert str(decoded.address) == address


# Guards against an odd entry that takes away the server known under the same key.
@pytest.mark.parametrize("comes_as", ["snapshot", "change"])
def test_odd_entry_under_the_key_of_a_server_does_not_remove_it(comes_as):
    log, handler = recording_log()
    fleet = Fleet(FleetSettings(), log)
    feed = FleetFeed(fleet, log)
    feed.on_snapshot([KeyValue(KEY, entry(), 1, 1)], False)
    odd = KeyValue(KEY, entry(address=":9"), 1, 2)
    if comes_as == "snapshot":
        feed.on_snapshot([odd], False)
    feed.on_change(WatchEvent(KEY, odd, 2))
    assert [server.server_id for server in fleet.candidates("desk")] == ["i-odd"]
    assert len(handler.records_of("registration_unreadable")) == 1
    assert feed.unusable_count == 1
    feed.on_change(WatchEvent(KEY, None, 3))
    assert not fleet.candidates("desk")
    assert feed.unusable_count == 0
