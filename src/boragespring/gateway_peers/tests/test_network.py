"""What gateways know of each other's loads, by way of relays, and what it costs."""

import asyncio
import random

import pytest

from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.fleet.model import LeavingNotice
from boragespring.gateway_peers import LoadSharingSettings, PeerNetworkSettings
from boragespring.gateway_peers.tests.peer_fleet import (
    REFRESH_S,
    SILENCE_S,
    PeerFleet,
)
from boragespring.gateway_peers.topology import TopologySettings, build_topology

ZONES = 5
SERVERS = 30
#: From a placement to its last receiver: sender, relay and remote relay each wait.
SPREAD_S = LoadSharingSettings().update_interval_s * 3
#: Times in a row that the next gateways of a zone turn out to have failed too.
ROUNDS = 3
#: Time in which failed relays are noticed and replaced.
REPLACE_S = (
    ROUNDS * (PeerNetworkSettings().unreachable_after_s + 2 * REFRESH_S) + SPREAD_S
)
#: Time in which the loads of lost gateways are dropped everywhere.
FORGET_S = LoadSharingSettings().lost_link_grace_s + REPLACE_S


def place_randomly(fleet, count, seed):
    rng = random.Random(seed)
    names = sorted(fleet.gateways)
    for number in range(count):
        gateway = fleet.gateways[rng.choice(names)]
        gateway.place(rng.choice(fleet.servers), f"run-{seed}-{number}")


def play(scenario):
    async def main():
        await scenario()

    run_in_virtual_time(main())


@pytest.mark.parametrize(("count", "zones"), [(2, 1), (5, 3), (31, 4), (100, 5)])
def test_every_gateway_knows_the_load_of_all(count, zones):
    async def scenario():
        fleet = PeerFleet(count, zones, SERVERS)
        await asyncio.sleep(1.0)
        place_randomly(fleet, 200, 1)
        await asyncio.sleep(SPREAD_S)
        assert fleet.disagreeing(fleet.true_runs()) == []
        for gateway in fleet.gateways.values():
            for server in gateway.fleet.servers:
                server.runs.clear()
        await asyncio.sleep(SPREAD_S)
        assert fleet.disagreeing(dict.fromkeys(fleet.servers, 0)) == []
        # Servers come and go all day, so nothing may remain of those without load.
        assert not any(
            sent.loads
            for gateway in fleet.gateways.values()
            for sent in gateway.loads._sent.values()
        )

    play(scenario)


def test_a_small_fleet_is_linked_directly():
    async def scenario():
        fleet = PeerFleet(6, 3, 1)
        await asyncio.sleep(1.0)
        assert all(
            len(gateway.network.linked_names()) == 5 and gateway.network.is_relay
            for gateway in fleet.gateways.values()
        )

    play(scenario)


def test_messages_to_a_gateway_do_not_grow_with_the_fleet():
    def received(count):
        totals = []

        async def scenario():
            fleet = PeerFleet(count, ZONES, SERVERS)
            await asyncio.sleep(2.0)
            plain = [g for g in fleet.gateways.values() if not g.network.is_relay]
            before = [gateway.received.total() for gateway in plain]
            for second in range(10):
                place_randomly(fleet, 27, second)
                await asyncio.sleep(1.0)
            totals.extend(
                gateway.received.total() - count
                for gateway, count in zip(plain, before, strict=True)
            )
            assert all(len(gateway.network.linked_names()) == 2 for gateway in plain)

        play(scenario)
        return max(totals)

    assert received(300) <= 1.5 * received(30)


@pytest.mark.parametrize("seed", range(4))
def test_loads_converge_after_half_of_the_gateways_died(seed):
    async def scenario():
        fleet = PeerFleet(100, ZONES, SERVERS)
        await asyncio.sleep(1.0)
        place_randomly(fleet, 300, seed)
        await asyncio.sleep(SPREAD_S)
        fleet.kill(random.Random(seed).sample(sorted(fleet.gateways), 50))
        await asyncio.sleep(FORGET_S)
        assert fleet.disagreeing(fleet.true_runs()) == []

    play(scenario)


def test_loads_converge_after_all_relays_died():
    async def scenario():
        fleet = PeerFleet(100, ZONES, SERVERS)
        await asyncio.sleep(1.0)
        place_randomly(fleet, 300, 1)
        await asyncio.sleep(SPREAD_S)
        fleet.kill([n for n, g in fleet.gateways.items() if g.network.is_relay])
        await asyncio.sleep(FORGET_S)
        place_randomly(fleet, 100, 2)
        await asyncio.sleep(SPREAD_S)
        assert fleet.disagreeing(fleet.true_runs()) == []

    play(scenario)


def test_a_zone_that_is_cut_off_knows_itself_and_rejoins():
    async def scenario():
        fleet = PeerFleet(100, ZONES, SERVERS)
        await asyncio.sleep(1.0)
        place_randomly(fleet, 300, 3)
        fleet.cut_zone = "zone-2"
        await asyncio.sleep(SILENCE_S + FORGET_S)
        inside = fleet.names_in("zone-2")
        outside = [name for name in fleet.gateways if name not in inside]
        assert fleet.disagreeing(fleet.true_runs(inside), inside) == []
        assert fleet.disagreeing(fleet.true_runs(outside), outside) == []
        fleet.cut_zone = None
        await asyncio.sleep(FORGET_S)
        assert fleet.disagreeing(fleet.true_runs()) == []

    play(scenario)


def test_loads_converge_after_a_restart_of_all_and_with_added_gateways():
    async def scenario():
        fleet = PeerFleet(80, ZONES, SERVERS)
        await asyncio.sleep(1.0)
        place_randomly(fleet, 300, 4)
        fleet.kill(sorted(fleet.gateways))
        fleet.add(80)
        await asyncio.sleep(REPLACE_S)
        place_randomly(fleet, 100, 5)
        fleet.add(20)
        await asyncio.sleep(FORGET_S)
        assert fleet.disagreeing(fleet.true_runs()) == []

    play(scenario)


def test_a_broadcast_reaches_every_other_gateway_once():
    async def scenario():
        fleet = PeerFleet(100, ZONES, SERVERS)
        await asyncio.sleep(1.0)
        for sender in ("gateway-000", "gateway-099", "gateway-050"):
            fleet.gateways[sender].evacuations.notify_leaving(
                LeavingNotice(sender, 0, is_final=True)
            )
            await asyncio.sleep(SPREAD_S)
            counts = {n: g.ended[sender] for n, g in fleet.gateways.items()}
            assert counts.pop(sender) == 0
            assert set(counts.values()) == {1}

    play(scenario)


def test_a_leaving_relay_is_left_by_those_that_joined_it():
    async def scenario():
        fleet = PeerFleet(100, ZONES, SERVERS)
        await asyncio.sleep(1.0)
        relay = next(g for g in fleet.gateways.values() if g.network.joined_links())
        relay.stops.leave()
        await asyncio.sleep(2 * REFRESH_S)
        assert not relay.network.joined_links()
        place_randomly(fleet, 100, 6)
        await asyncio.sleep(SPREAD_S)
        assert fleet.disagreeing(fleet.true_runs()) == []

    play(scenario)


# Guards against callers that are sent to a gateway that stops as well: a new link took
# back what was known of its stop.
def test_stop_of_a_gateway_is_known_on_a_link_that_opens_during_it():
    async def scenario():
        fleet = PeerFleet(2, 1, 1)
        await asyncio.sleep(1.0)
        stopping, other = fleet.gateways.values()
        stopping.stops.leave()
        await asyncio.sleep(SPREAD_S)
        assert not other.stops.has_serving_peer()
        for link in other.network.links():
            link.close()
            link.other.close()
        await asyncio.sleep(1.0)
        assert other.network.links()
        assert not other.stops.has_serving_peer()

    play(scenario)


def test_unreachable_relay_is_replaced_by_the_next_gateway_of_its_zone():
    async def scenario():
        fleet = PeerFleet(9, 1, 1)
        instances = [gateway.instance for gateway in fleet.gateways.values()]
        settings = TopologySettings()
        first = build_topology(instances, (), settings)
        lost = first.relays["zone-0"][0]
        second = build_topology(instances, {lost}, settings)
        assert lost not in second.relays["zone-0"]
        assert second.relays["zone-0"][0] == first.relays["zone-0"][1]
        assert lost in second.candidates["zone-0"]
        assert len(second.relays["zone-0"]) == settings.relays_per_zone

    play(scenario)
