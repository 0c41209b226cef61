"""Crashes that gateways exchange, in virtual time."""

import asyncio
import time

import pytest

from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.decisions import DecisionLog
from boragespring.fleet import ServerProcess
from boragespring.gateway_peers.crash_sharing import CrashSharing
from boragespring.gateway_peers.messages import ServerCrashes
from boragespring.gateway_peers.tests.peer_fleet import PeerFleet
from boragespring.links.codec import FRAME_MAX_BYTES, encode
from boragespring.quarantine import (
    Crash,
    CrashEvidence,
    QuarantineSettings,
    RequestQuarantine,
)

SERVICE = "m"
#: A crash is news once on each link, in each direction at most.
MESSAGES_PER_LINK_MAX = 2


def make_crash(number, *parts):
    return Crash(
        ServerProcess(f"crashed-{number}", 1),
        SERVICE,
        asyncio.get_running_loop().time(),
        frozenset([frozenset(parts)]),
    )


def refusing(fleet):
    """Return the names of the gateways that refuse prompts with the part."""
    prompt = frozenset(["any", "bad"])
    return {
        name
        for name, gateway in fleet.gateways.items()
        if gateway.quarantine.check(SERVICE, prompt, "r") is not None
    }


def crash_messages(fleet):
    name = ServerCrashes.__name__
    return sum(gateway.received[name] for gateway in fleet.gateways.values())


def play(scenario):
    run_in_virtual_time(scenario())


@pytest.mark.parametrize(("count", "zones"), [(2, 1), (6, 3), (30, 4), (68, 5)])
def test_crashes_at_different_gateways_are_joined_at_once_and_news_ends(count, zones):
    async def scenario():
        fleet = PeerFleet(count, zones, 2)
        await asyncio.sleep(1.0)
        names = sorted(fleet.gateways)
        for number in range(3):
            gateway = fleet.gateways[names[number % count]]
            gateway.quarantine.record_crash(make_crash(number, f"f{number}", "bad"))
        await asyncio.sleep(0.1)
        assert refusing(fleet) == set(names)
        links = sum(len(each.network.links()) for each in fleet.gateways.values()) / 2
        assert crash_messages(fleet) <= 3 * MESSAGES_PER_LINK_MAX * links
        received = crash_messages(fleet)
        await asyncio.sleep(5.0)
        assert crash_messages(fleet) == received

    play(scenario)


def test_gateways_that_were_cut_off_or_start_anew_learn_the_crashes():
    async def scenario():
        fleet = PeerFleet(9, 3, 2)
        await asyncio.sleep(1.0)
        fleet.cut_zone = "zone-1"
        await asyncio.sleep(3.0)
        cut = set(fleet.names_in("zone-1"))
        reporter = fleet.gateways[fleet.names_in("zone-0")[0]]
        for number in range(3):
            reporter.quarantine.record_crash(make_crash(number, f"f{number}", "bad"))
        await asyncio.sleep(0.1)
        assert refusing(fleet) == fleet.gateways.keys() - cut
        fleet.add(1)
        fleet.cut_zone = None
        await asyncio.sleep(3.0)
        assert refusing(fleet) == fleet.gateways.keys()

    play(scenario)


# Guards against news of dropped parts that gateways send each other without end.
def test_news_of_crashes_with_more_parts_than_are_kept_ends():
    async def scenario():
        fleet = PeerFleet(6, 3, 2)
        await asyncio.sleep(1.0)
        names = sorted(fleet.gateways)
        for number in range(12):
            parts = (f"{number}-{part}" for part in range(3000))
            gateway = fleet.gateways[names[number % len(names)]]
            gateway.quarantine.record_crash(make_crash(number, *parts, "bad"))
            await asyncio.sleep(0.1)
        assert refusing(fleet) == set(names)
        await asyncio.sleep(1.0)
        received = crash_messages(fleet)
        fleet.cut_zone = "zone-1"
        await asyncio.sleep(3.0)
        fleet.cut_zone = None
        await asyncio.sleep(3.0)
        after_reunion = crash_messages(fleet)
        await asyncio.sleep(5.0)
        assert crash_messages(fleet) == after_reunion > received
        assert refusing(fleet) == set(names)

    play(scenario)


class CapturingLink:
    """Link that keeps the messages that are sent over it."""

    peer = "gateway-1"

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)


class NetworkWithoutLinks:
    def links(self):
        return []


class LinkHooks:
    """Dispatcher that keeps the hooks for links that are opened."""

    def __init__(self):
        self.up_hooks = []

    def on(self, message_type, handler):
        pass

    def on_up(self, hook):
        self.up_hooks.append(hook)


def make_crash_at_the_bounds(number, settings):
    """Return a crash with as many runs, traits and characters as are kept."""
    parts_count = settings.traits_max // settings.runs_max - 1
    runs = [
        frozenset(
            (
                f"request:{number:016x}.{run:024x}",
                *(f"{number:03d}-{run:03d}-{part:032d}" for part in range(parts_count)),
            )
        )
        for run in range(3 * settings.runs_max)
    ]
    process = ServerProcess(f"crashed-{number}", 1)
    kinds = (frozenset(runs[kind::3]) for kind in range(3))
    return Crash(process, SERVICE, time.monotonic(), *kinds)


def test_all_crashes_of_made_up_prompts_fit_into_frames():
    evidence = CrashEvidence()
    quarantine = RequestQuarantine(
        evidence, QuarantineSettings(), lambda key: True, DecisionLog()
    )
    crashes = evidence.settings.crashes_max
    for number in range(crashes):
        evidence.add_crash(make_crash_at_the_bounds(number, evidence.settings))
    hooks, link = LinkHooks(), CapturingLink()
    CrashSharing(quarantine, hooks, NetworkWithoutLinks())
    for hook in hooks.up_hooks:
        hook(link)
    assert sum(len(message.crashes) for message in link.messages) == crashes
    assert max(len(encode(message)) for message in link.messages) < FRAME_MAX_BYTES
