"""Probes of servers while the store is unavailable, without a network."""

import asyncio
import logging

from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet, FleetSettings, Registration, ServerAddress
from boragespring.forwarding import (
    CrashDetector,
    CrashDetectorSettings,
    ServerUnreachableError,
)
from boragespring.forwarding.probing import ProbeSettings, ServerProber
from boragespring.forwarding.tests.test_crash_detection import (
    RefusingServers,
    make_job,
)

SERVER_ID = "engine-0"


class UnreachableServers:
    def __init__(self):
        self.calls = 0

    async def fetch_report(self, server):
        self.calls += 1
        raise ServerUnreachableError("refused")


def make_fleet():
    fleet = Fleet(FleetSettings(), DecisionLog())
    address = ServerAddress("127.0.0.1", 1)
    fleet.register(Registration(SERVER_ID, "models", address, "zone-a", 4))
    return fleet


def make_prober(fleet, calls):
    return ServerProber(
        fleet=fleet,
        calls=calls,
        settings=ProbeSettings(),
        local_name="gateway-0",
        prober_names=lambda: ["gateway-0", "gateway-1"],
        snapshot_age_limit_s=lambda: 2.0,
        snapshot_age_s=lambda: 0.5,
        serves_reports=lambda service: True,
        notify_leaving=lambda notice: None,
        notify_unreachable=lambda server_id: None,
        log=DecisionLog(),
    )


async def test_server_that_a_peer_cannot_reach_is_probed_while_the_own_copy_is_young():
    fleet = make_fleet()
    prober = make_prober(fleet, UnreachableServers())
    prober.on_server_unreachable(SERVER_ID)
    await asyncio.sleep(0.01)
    assert fleet.find(SERVER_ID).is_leaving


class FailingServers:
    async def fetch_report(self, server):
        raise OverflowError("a number too large")


# Guards against a background task whose error nobody sees.
async def test_probe_that_fails_unexpectedly_is_logged(caplog):
    fleet = make_fleet()
    make_prober(fleet, FailingServers()).on_server_unreachable(SERVER_ID)
    await asyncio.sleep(0.01)
    errors = [each for each in caplog.records if each.levelno >= logging.ERROR]
    assert [record.getMessage() for record in errors] == [
        "event=task_failed task=ServerProber._probe"
    ]


async def test_paused_server_that_a_peer_cannot_reach_is_not_probed():
    fleet, calls = make_fleet(), UnreachableServers()
    fleet.pause(fleet.find(SERVER_ID), 5.0)
    prober = make_prober(fleet, calls)
    prober.on_server_unreachable(SERVER_ID)
    await asyncio.sleep(0.01)
    assert not calls.calls


async def test_crash_is_reported_though_a_probe_finds_the_server_unreachable_first():
    fleet, crashes = make_fleet(), []
    server = fleet.find(SERVER_ID)
    detector = CrashDetector(RefusingServers(), CrashDetectorSettings(), DecisionLog())
    detector.crash_hooks.append(crashes.append)
    detector.run_sent(server, make_job(0, b""))
    detector.run_broke(server, "r0")
    make_prober(fleet, UnreachableServers()).on_server_unreachable(SERVER_ID)
    await asyncio.sleep(0.1)
    assert server.is_leaving
    assert len(crashes) == 1
