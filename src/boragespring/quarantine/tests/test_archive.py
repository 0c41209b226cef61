"""Stored crashes that cannot be used."""

import asyncio
import json
import logging

import pytest

from boragespring.decisions import DecisionLog
from boragespring.quarantine import (
    CRASHES_KEY,
    CrashArchive,
    CrashArchiveSettings,
    CrashEvidence,
    QuarantineSettings,
    RequestQuarantine,
)
from boragespring.quarantine.tests.test_requests import (
    SERVICE,
    crash,
    is_refused,
    look_up,
    make_quarantine,
    run_of,
)
from boragespring.store import Keyspace, KeyValue, MemoryStore

VALID_ROW = {
    "server": "i-1",
    "started_at_ms": 1,
    "service": "m",
    "runs": [["request:1"]],
}
ODD_VALUES = {
    "started_at_ms": [10**30, -1, 1.5],
    "server": ["i\ud800", 7],
    "service": ["m\n"],
    "runs": [[[7]], 7],
}
ODD_FIELDS = [{name: each} for name, values in ODD_VALUES.items() for each in values]


# Guards against stored crashes that no message between gateways can carry.
@pytest.mark.parametrize("fields", ODD_FIELDS, ids=lambda each: ascii(each)[:40])
def test_odd_crash_in_the_store_is_unreadable(caplog, fields):
    caplog.set_level(logging.INFO)
    log = DecisionLog(logger=logging.getLogger("test"))
    quarantine = RequestQuarantine(
        CrashEvidence(), QuarantineSettings(), lambda key: False, log
    )
    archive = CrashArchive(
        None, quarantine, lambda key: False, CrashArchiveSettings(), log
    )
    value = json.dumps({"crashes": [VALID_ROW, {**VALID_ROW, **fields}]}).encode()
    archive.on_snapshot([KeyValue(CRASHES_KEY, value, 1, 1)], False)
    assert "crashes_unreadable" in caplog.messages
    assert not quarantine.evidence.crashes


def make_archive(store, quarantine):
    settings = CrashArchiveSettings(interval_s=0.01)
    return CrashArchive(store, quarantine, lambda key: True, settings, DecisionLog())


async def restart_all(quarantine):
    """Return the quarantine of a gateway that knows only what the store holds."""
    store = MemoryStore(Keyspace())
    archive = make_archive(store, quarantine)
    archive.on_snapshot([], False)
    writing = asyncio.create_task(archive.run())
    async with asyncio.timeout(2.0):
        while (found := await store.get(CRASHES_KEY)).item is None:
            await asyncio.sleep(0.01)
    writing.cancel()
    restarted = make_quarantine()
    make_archive(store, restarted).on_snapshot([found.item], False)
    return restarted


# Guards against a quarantine that covers more after a restart, as clearances are not
# stored.
async def test_stored_quarantine_covers_no_more_than_the_one_before():
    quarantine = make_quarantine()
    for number in range(3):
        quarantine.record_answer(SERVICE, look_up(5))
        crash(quarantine, number, silent=[run_of(look_up(13), "part")])
    restarted = await restart_all(quarantine)
    for each in (quarantine, restarted):
        assert is_refused(each, look_up(13), "part")
        assert not is_refused(each, look_up(7), "part")
