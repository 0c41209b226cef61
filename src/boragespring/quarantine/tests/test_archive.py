"""Stored crashes that cannot be used."""

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
from boragespring.store import KeyValue

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
