"""Ends of replies without a length or chunks, without a network."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from attrs import evolve

from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet, FleetSettings, Registration, ServerAddress
from boragespring.forwarding import Reachability, ReplyBrokenError
from boragespring.forwarding.unframed_end import UnframedEndCheck
from boragespring.http.connection_watch import ConnectionWatch
from boragespring.http.reply_end import ReplyFraming

ACCEPTING, REFUSING, SILENT = Reachability
ENTRY = Registration("one", "svc", ServerAddress("h", 1), "a", 4, started_at_ms=1)
OTHER_ADDRESS = ServerAddress("h", 2)


class Calls:
    """Server that responds to connections in given ways, one after the other."""

    def __init__(self, *found):
        self.found = list(found)
        self.watch = ConnectionWatch()

    async def try_connection(self, server):
        return self.found.pop(0)

    async def watch_connection(self, server):
        return self.watch


async def is_complete(calls, framing=ReplyFraming.CONNECTION, entries=(), body_s=0.01):
    """Return whether a reply is taken as complete, with entries that follow its end."""
    fleet = Fleet(FleetSettings(), DecisionLog())
    fleet.register(ENTRY)
    context = SimpleNamespace(calls=calls, fleet=fleet)
    server = fleet.find("one")
    server.runs["r"] = None
    with UnframedEndCheck(context, server, framing) as end:
        await asyncio.sleep(body_s)
        for entry in entries:
            fleet.register(entry)
        try:
            await end.verify()
        except ReplyBrokenError:
            return False
    return True


@pytest.mark.parametrize(
    ("found", "complete"),
    [
        ((ACCEPTING,), True),
        ((SILENT, ACCEPTING), True),
        ((SILENT, SILENT), False),
        ((REFUSING,), False),
    ],
)
async def test_reply_is_complete_if_its_server_accepts_connections(found, complete):
    calls = Calls(*found)
    assert await is_complete(calls) == complete
    assert not calls.found


@pytest.mark.parametrize(("age_s", "complete"), [(0.0, False), (0.5, True)])
async def test_process_has_ended_if_its_connections_end_together(age_s, complete):
    calls = Calls(ACCEPTING)
    calls.watch.closed_at_s = time.monotonic() - age_s
    assert await is_complete(calls) == complete


@pytest.mark.parametrize(
    ("entry", "complete"),
    [
        (evolve(ENTRY, sequence=5), True),
        (evolve(ENTRY, started_at_ms=2), False),
        (evolve(ENTRY, server_id="two"), False),
        (evolve(ENTRY, server_id="two", address=OTHER_ADDRESS), True),
    ],
)
async def test_process_has_ended_if_another_one_has_registered(entry, complete):
    assert await is_complete(Calls(ACCEPTING), entries=(entry,)) == complete


@pytest.mark.parametrize("framing", [ReplyFraming.LENGTH, ReplyFraming.CHUNKS])
async def test_framed_reply_costs_no_connection(framing):
    assert await is_complete(Calls(), framing)
