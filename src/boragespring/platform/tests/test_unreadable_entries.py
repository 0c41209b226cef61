"""Entries of other writers that cannot be read name no server; all others hold."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from boragespring.child_processes import free_ports
from boragespring.gateway.daemon import Gateway
from boragespring.json_document import DEPTH_MAX, NestingTooDeepError, parse_json
from boragespring.platform.registration_codec import (
    RegistrationUnreadableError,
    decode_registration,
)
from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    has_discovered_servers,
    recording_log,
    wait_until,
)

VALID_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:80",
    "zone": "zone-a",
    "state": "ready",
    "slots": 4,
}
BRACKETS = b"[" * 100_000
#: Just within what the interpreter parses.
DEEP_FIELD = b'{"slots": ' + b"[" * 900 + b"]" * 900 + b"}"


# Guards against an entry that opens many brackets and ends all that a gateway learns
# from the store, also after its restart.
@pytest.mark.parametrize("entry", [BRACKETS, DEEP_FIELD])
async def test_gateway_learns_on_after_an_unreadable_entry(session, entry):
    async with deployment(services=1) as platform:
        platform.store.put("servers/i-bad", entry)
        await platform.add_service("service-1")
        process = platform.gateways[0]
        await wait_until(lambda: has_discovered_servers(process, platform))
        # A gateway that starts reads the entry with its first snapshot.
        log, handler = recording_log()
        started = await platform.add_gateway("gateway-1", free_ports(4), log)
        started.metadata["lines"] = handler
        await wait_until(lambda: has_discovered_servers(started, platform))
        assert await fetch_status(session, started) == 200


@pytest.mark.parametrize("entry", [BRACKETS, DEEP_FIELD])
def test_deep_entry_is_unreadable(entry):
    with pytest.raises(RegistrationUnreadableError):
        decode_registration("servers/i-bad", entry)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda values: st.lists(values) | st.dictionaries(st.text(max_size=4), values),
    max_leaves=6,
)


@given(st.sampled_from(sorted(VALID_ENTRY)), JSON_VALUES)
def test_any_field_is_decoded_or_unreadable(name, value):
    entry = json.dumps({**VALID_ENTRY, name: value}).encode()
    try:
        registration = decode_registration("servers/i-1", entry)
    except RegistrationUnreadableError:
        return
    assert registration.server_id == "i-1"


def test_nesting_is_limited():
    assert parse_json("[" * DEPTH_MAX + "]" * DEPTH_MAX)
    with pytest.raises(NestingTooDeepError):
        parse_json("[" * (DEPTH_MAX + 1) + "]" * (DEPTH_MAX + 1))


# Guards against a gateway that stays ready after a background loop has ended.
async def test_failed_loop_is_started_again(session, monkeypatch):
    monkeypatch.setattr("boragespring.gateway.daemon.LOOP_RESTART_DELAY_S", 0.01)
    runs = []

    async def fail_once():
        runs.append(len(runs))
        if len(runs) == 1:
            raise RecursionError
        await asyncio.Event().wait()

    async with deployment() as platform:
        gateway: Gateway = platform.gateways[0].gateway
        task = asyncio.create_task(gateway._supervise(fail_once))
        await wait_until(lambda: len(runs) == 2)
        assert not task.done()
        task.cancel()
