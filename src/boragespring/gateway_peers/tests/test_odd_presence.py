"""Entries of gateways that cannot be used; a gateway that is known stays."""

import json
import logging

import pytest

from boragespring.decisions import DecisionLog
from boragespring.gateway_peers import Presence, PresenceSettings
from boragespring.gateway_peers.presence import PRESENCE_PREFIX
from boragespring.store import KeyValue
from boragespring.store.store import WatchEvent

KEY = PRESENCE_PREFIX + "gateway-1"
VALID_ENTRY = {"availability_zone": "zone-a", "region": "region", "cpu_cores": 1.0}
VALID_ENTRY |= {"host": "127.0.0.1", "link_port": 9}
ODD_VALUES = {
    "host": ["", "a\ud800", "h" * 100_000, "0.0.0.0", 7],
    "link_port": [0, 70_000, "9"],
    "cpu_cores": [float("nan"), 10**400],
    "availability_zone": ["zone\ud800"],
    "region": [[]],
}
ODD_FIELDS = [{name: each} for name, values in ODD_VALUES.items() for each in values]


def entry(**fields):
    value = json.dumps({**VALID_ENTRY, **fields}).encode()
    return KeyValue(KEY, value, 1, 1)


# Guards against an odd entry that ends the task which dials the gateway.
@pytest.mark.parametrize("fields", ODD_FIELDS, ids=lambda each: ascii(each)[:30])
@pytest.mark.parametrize("is_known", [True, False])
def test_odd_entry_of_a_gateway_changes_nothing(caplog, fields, is_known):
    caplog.set_level(logging.INFO)
    log = DecisionLog(logger=logging.getLogger("test"))
    notified = []
    presence = Presence(None, None, notified.append, PresenceSettings(), log)
    if is_known:
        presence.on_snapshot([entry()], False)
    presence.on_snapshot([entry(**fields)], False)
    presence.on_change(WatchEvent(KEY, entry(**fields), 2))
    assert [gateway.host for gateway in notified[-1]] == ["127.0.0.1"] * is_known
    assert "presence_unreadable" in caplog.messages
    presence.on_change(WatchEvent(KEY, None, 3))
    assert not notified[-1]
