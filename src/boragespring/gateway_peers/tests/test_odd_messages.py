"""Messages of other gateways whose values cannot be used are left out as a whole."""

import asyncio
import logging
import math
from types import SimpleNamespace

import pytest

from boragespring.decisions import DecisionLog
from boragespring.external_values import UnusableValueError
from boragespring.gateway_peers import SnapshotSharing, SnapshotSharingSettings
from boragespring.gateway_peers.messages import (
    GatewayLoads,
    LeavingRuns,
    PermitReply,
    PermitRequest,
    ServerCrashes,
    ServerObservations,
    ServerRate,
    SnapshotAge,
    SnapshotReply,
    StoreChanges,
)
from boragespring.gateway_peers.tests.peer_fleet import PeerFleet
from boragespring.gateway_peers.tests.test_observations import play
from boragespring.links import Dispatcher
from boragespring.store.follower import PrefixFollower

SERVER = "server-0"
GOOD_LOAD = [SERVER, 3, 100, 0]
GOOD_OBSERVATION = [SERVER, 0, 1, 1, 1, 10, 100, 5]
ODD_NUMBERS = [math.nan, math.inf, -1.0, 2**63, "1", None, []]


def with_odd_numbers(row, column, build):
    """Return messages of two rows, the second of which has an odd number."""
    rows = [[*row[:column], each, *row[column + 1 :]] for each in ODD_NUMBERS]
    return [build([row, odd]) for odd in rows]


ODD_MESSAGES = [
    *with_odd_numbers(GOOD_LOAD, 1, lambda rows: GatewayLoads(rows, True)),
    *with_odd_numbers(GOOD_LOAD, 2, lambda rows: GatewayLoads(rows, True)),
    *with_odd_numbers(GOOD_OBSERVATION, 3, ServerObservations),
    *with_odd_numbers(GOOD_OBSERVATION, 7, ServerObservations),
    *with_odd_numbers(
        [SERVER, 1, "m", 5, [], [], []], 3, lambda rows: ServerCrashes(rows, [])
    ),
    ServerCrashes([[SERVER, 1, "m", 5, [[7]], [], []]], []),
    ServerCrashes([], [["m", "request:1", [[SERVER]]]]),
    GatewayLoads([GOOD_LOAD, 7], True),
    GatewayLoads([GOOD_LOAD, [SERVER, 1]], True),
    LeavingRuns(SERVER, [["r1", 5, math.nan, 10, 0]]),
    ServerRate(SERVER, 0, True, math.nan),
    ServerRate(SERVER, 0, True, math.inf),
    ServerRate(SERVER, 0, True, -1.0),
    PermitRequest("gateway-001", 1, SERVER, 0, 0.0, 100),
    PermitRequest("gateway-001", 1, SERVER, 0, math.nan, 100),
    PermitReply("gateway-000", 1, True, -5),
]


# Guards against odd numbers of a peer in costs and timers, and against rows applied in
# part.
@pytest.mark.parametrize("message", ODD_MESSAGES, ids=lambda message: str(message)[:60])
def test_odd_message_is_left_out_as_a_whole(message):
    async def scenario():
        fleet = PeerFleet(2, 1, 1)
        await asyncio.sleep(1.0)
        gateway = fleet.gateways["gateway-000"]
        server = gateway.fleet.find(SERVER)
        observed = []
        gateway.outcomes.outcome_hooks.append(lambda *outcome: observed.append(outcome))
        link = next(iter(gateway.network.links()))
        with pytest.raises(UnusableValueError):
            gateway.dispatcher.handlers[type(message)](link, message)
        assert not observed
        assert not server.peer_loads
        assert server.rate_limit_per_s is None
        assert not gateway.quarantine.evidence.crashes

    play(scenario)


class RefusingListener:
    """Listener that expects no call."""


def make_sharing():
    """Return the sharing of snapshots of one gateway, and its follower."""
    log = DecisionLog(logger=logging.getLogger("test"))
    listener = RefusingListener()
    follower = PrefixFollower(None, "", listener, listener)
    network = SimpleNamespace(forward_to_joined=lambda changes: None)
    settings = SnapshotSharingSettings()
    sharing = SnapshotSharing(follower, Dispatcher(), network, settings, log)
    return sharing, follower


ODD_ROWS = [["k", b"", -1], ["k", "text", 1], [7, b"", 1], ["k", b""], 7]
ODD_REPLIES = [*(SnapshotReply(1, 1, 0, [row]) for row in ODD_ROWS)]
ODD_REPLIES += [SnapshotReply(1, 1, -5, [])]


# Guards against a peer's age for which a gateway takes its own snapshot for complete.
@pytest.mark.parametrize("age_ms", [-1, -(2**60), 2**63])
def test_odd_age_of_a_snapshot_is_not_believed(age_ms):
    sharing, follower = make_sharing()
    link = SimpleNamespace(peer=SimpleNamespace(name="gateway-1"))
    with pytest.raises(UnusableValueError):
        sharing._handle_age(link, SnapshotAge(0, age_ms))
    assert follower.complete_at_s == -math.inf


@pytest.mark.parametrize("row", ODD_ROWS, ids=str)
def test_changes_with_an_odd_row_are_left_out(row):
    sharing, follower = make_sharing()
    with pytest.raises(UnusableValueError):
        sharing._handle_changes(None, StoreChanges(0, 1, [row]))
    assert not follower.items


@pytest.mark.parametrize("reply", ODD_REPLIES, ids=str)
async def test_snapshot_with_an_odd_row_is_refused(caplog, reply):
    caplog.set_level(logging.INFO)
    sharing, follower = make_sharing()

    async def call(*_):
        return reply

    peer = SimpleNamespace(name="gateway-1")
    link = SimpleNamespace(peer=peer, call=call)
    sharing._handle_age(link, SnapshotAge(1, 0))
    await sharing._adopt(sharing._find_newer())
    assert "copy_refused" in caplog.messages
    assert not follower.position.revision
