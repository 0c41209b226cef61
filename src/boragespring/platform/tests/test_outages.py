"""The store away, slow or forgetful; gateways that start, stop and reload."""

import asyncio
import itertools
import time

import aiohttp
import pytest
from attrs import evolve

from boragespring.bench.processes import free_ports
from boragespring.platform import names
from boragespring.platform.emulator import StoreMode
from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    log_records,
    prompt_headers,
    read_events,
    recording_log,
    request_headers,
    wait_until,
)

UNAVAILABLE_MODES = (
    StoreMode.BUSY,
    StoreMode.REFUSING,
    StoreMode.RESETTING,
    StoreMode.SILENT,
)


@pytest.mark.parametrize("mode", UNAVAILABLE_MODES)
async def test_requests_are_served_while_the_store_is_away(session, mode):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        platform.store.mode = mode
        platform.store.keyspace.wake()
        await wait_until(lambda: log_records(process, "store_lost"))
        assert await fetch_status(session, process) == 200
        # An unknown key may be one of a newer catalog: not run, no 401.
        await asyncio.sleep(2.1)
        assert await fetch_status(session, process, key="key-9") == 503
        assert await fetch_status(session, process, path="/none/") == 503
        platform.store.mode = StoreMode.SERVING
        await wait_until(lambda: log_records(process, "store_regained"))
        assert await fetch_status(session, process, key="key-9") == 401


async def test_a_store_that_turns_most_calls_away_by_its_rate(session):
    async with deployment(services=1, gateways=3) as platform:
        platform.store.calls_per_s = 3.0
        for count in range(3):
            platform.keys = {"coop": [f"key-{count}"]}
            platform.configure()
            await asyncio.sleep(2.0)
            for process in platform.gateways:
                assert await fetch_status(session, process, key=f"key-{count}") == 200
        assert platform.store.refused


async def test_a_change_is_in_force_at_once(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        platform.keys["coop"] = ["key-2"]
        platform.configure()
        await wait_until(
            lambda: len(log_records(process, "catalog")) == 2, timeout_s=0.5
        )
        assert await fetch_status(session, process, key="key-1") == 401
        assert await fetch_status(session, process, key="key-2") == 200


async def test_an_older_catalog_never_comes_back(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        old = platform.store.keyspace.get(names.CATALOG_KEY).item.value
        platform.keys["coop"] = ["key-2"]
        platform.configure()
        await wait_until(lambda: len(log_records(process, "catalog")) == 2)
        platform.store.put(names.CATALOG_KEY, old)
        await asyncio.sleep(0.2)
        assert await fetch_status(session, process, key="key-1") == 401


async def test_a_catalog_that_cannot_be_read_changes_nothing(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        platform.store.put(names.CATALOG_KEY, b"{no json")
        platform.store.put(names.REGISTRATION_PREFIX + "forged", b'{"service": 5}')
        platform.store.put(names.REGISTRATION_PREFIX + "desk-9", b"\xff")
        await wait_until(lambda: log_records(process, "catalog_unreadable"))
        await wait_until(
            lambda: len(log_records(process, "registration_unreadable")) == 2
        )
        assert await fetch_status(session, process) == 200


async def test_the_history_is_gone_while_a_watch_waits(session):
    async with deployment(services=2) as platform:
        process = platform.gateways[0]
        platform.store.mode = StoreMode.BUSY
        platform.store.keyspace.wake()
        await wait_until(lambda: log_records(process, "store_lost"))
        platform.store.remove(names.REGISTRATION_PREFIX + "desk-0")
        platform.store.keyspace.compact(platform.store.keyspace.revision)
        platform.store.mode = StoreMode.SERVING
        # The entry may have lapsed in the outage: two seconds to come back.
        await wait_until(lambda: log_records(process, "server_leaving"), timeout_s=4)
        for number in range(4):
            assert await fetch_status(session, process, request_id=f"r{number}") == 200
        assert not platform.services["desk-0"].runs


async def test_a_gateway_turned_away_learns_from_another_one(session):
    async with deployment(services=1) as platform:
        # This one's store never answers; it knows the first gateway as a seed.
        silent = platform.__class__().store
        await silent.start()
        silent.mode = StoreMode.SILENT
        log, lines = recording_log()
        process = await platform.add_gateway(
            "cut-off",
            free_ports(4),
            log,
            seeds=[platform.gateways[0].settings.peers.port],
            store_url=f"http://{silent.address}",
        )
        process.notes["lines"] = lines
        await wait_until(lambda: log_records(process, "copy_taken"))
        assert await fetch_status(session, process) == 200
        platform.keys["coop"] = ["key-2"]
        platform.configure()
        await wait_until(
            lambda: len(log_records(process, "catalog")) == 2, timeout_s=7.0
        )
        assert await fetch_status(session, process, key="key-1") == 401
        await silent.stop()


async def test_a_start_without_store_and_peers_refuses_as_not_run(session):
    async with deployment(services=1, gateways=0) as platform:
        platform.store.mode = StoreMode.BUSY
        process = await platform.add_gateway("alone", free_ports(4))
        assert process.gateway.why_not_ready()
        async with session.post(
            process.url + "/book/x", headers=request_headers("r1")
        ) as response:
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0
        platform.store.mode = StoreMode.SERVING
        await wait_until(lambda: not process.gateway.why_not_ready())


async def test_leaving_servers_are_found_without_the_store(session):
    async with deployment(engines=2, gateways=2) as platform:
        platform.store.mode = StoreMode.SILENT
        platform.store.keyspace.wake()
        sent = request_headers("s1", remaining_ms=20_000, **prompt_headers(1000, 1200))
        url = platform.gateways[0].url + "/draft/x"
        async with session.post(url, headers=sent) as response:
            await wait_until(lambda: log_records(platform.gateways[0], "inspection"))
            leaving = next(one for one in platform.engines.values() if one.runs)
            leaving.leaves_at_s = time.monotonic() + 1.0
            await asyncio.sleep(1.0)
            assert not leaving.runs
            await leaving.crash()
            assert await read_events(response) == list(range(1, 301))


async def test_all_gateways_learn_of_a_crash_without_the_store(session):
    async with deployment(engines=2, gateways=3) as platform:
        platform.store.mode = StoreMode.SILENT
        platform.store.keyspace.wake()
        await wait_until(
            lambda: all(log_records(one, "inspection") for one in platform.gateways)
        )
        await platform.engines["engine-1"].crash()
        await wait_until(
            lambda: all(log_records(one, "server_leaving") for one in platform.gateways)
        )
        known = [
            [line["is_leaving"] for line in one.gateway.status()["servers"]]
            for one in platform.gateways
        ]
        assert all(sorted(states) == [False, True] for states in known)


async def test_servers_are_asked_soon_once_the_store_resets_calls(session):
    async with deployment(engines=1, gateways=1) as platform:
        process = platform.gateways[0]
        await asyncio.sleep(0.3)
        platform.store.mode = StoreMode.RESETTING
        platform.configure()
        begun_s = time.monotonic()
        await wait_until(lambda: log_records(process, "inspection"))
        # A single gateway without failed calls waits for its whole watch.
        assert time.monotonic() - begun_s < 1.5


async def test_a_stop_refuses_what_it_would_cut_and_ends_the_rest(session):
    async with deployment(engines=1, services=1, gateways=2) as platform:
        process = platform.gateways[0]
        short = request_headers("short", remaining_ms=20_000, **prompt_headers(10, 100))
        url = process.url + "/draft/x"
        async with session.post(url, headers=short) as running:
            drain = asyncio.create_task(process.gateway.drain())
            await wait_until(process.gateway.why_not_ready)
            long = request_headers(
                "long", remaining_ms=20_000, **prompt_headers(10, 9000)
            )
            async with session.post(url, headers=long) as refused:
                assert refused.status == 503
                assert 0 < float(refused.headers["Retry-After"]) < 0.2
                assert refused.headers["Connection"] == "close"
            assert await fetch_status(session, process) == 200
            assert await read_events(running) == list(range(1, 26))
        await drain
        assert platform.engines["engine-0"].started == ["short"]


async def test_many_starts_and_stops_leave_no_presence(session):
    async with deployment(services=1, gateways=2) as platform:
        first, second = platform.gateways
        await second.gateway.stop()
        platform.gateways.remove(second)
        await wait_until(lambda: log_records(first, "peer_down"))
        assert await fetch_status(session, first) == 200
        found = platform.store.keyspace.range("boragespring/", "boragespring0")
        assert [item.key for item in found.items] == ["boragespring/gateways/gateway-0"]


async def test_metrics_and_status(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        await fetch_status(session, process)
        address = process.settings.metrics
        base = f"http://{address.host}:{address.port}"
        async with (
            aiohttp.ClientSession() as plain,
            plain.get(base + "/metrics") as got,
        ):
            text = await got.text()
        assert (
            'boragespring_gateway_requests_total{kind="non_idempotent",'
            'outcome="status 200",workspace="coop"} 1.0' in text
        )
        assert "boragespring_gateway_answer_seconds_bucket" in text
        assert "boragespring_gateway_store_copy_age_seconds" in text


async def test_a_reload_takes_over_the_bounds(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        platform.store.mode = StoreMode.SILENT
        platform.store.keyspace.wake()
        bounds = evolve(process.settings.bounds, revocation_age_max_s=0.2)
        process.gateway.apply(evolve(process.settings, bounds=bounds, region="other"))
        await wait_until(process.gateway.why_not_ready)
        assert await fetch_status(session, process) == 503
        (line,) = log_records(process, "reloaded")
        assert sorted(line.changed) == ["bounds", "region"]
        assert line.needs_restart == ["region"]
        process.gateway.apply(process.settings)
        assert await fetch_status(session, process) == 200


async def test_steps_of_the_clock_change_nothing(session, monkeypatch):
    """The time of day jumps forward and back while requests run."""
    async with deployment(engines=2, services=1, gateways=2) as platform:
        real_s = time.time
        steps_s = itertools.cycle((3600.0, -7200.0, 0.0, 5.0))
        monkeypatch.setattr(time, "time", lambda: real_s() + next(steps_s))
        url = platform.gateways[0].url + "/draft/x"
        sent = request_headers("s1", remaining_ms=20_000, **prompt_headers(100, 400))
        async with session.post(url, headers=sent) as response:
            await asyncio.sleep(0.3)
            leaving = next(one for one in platform.engines.values() if one.runs)
            end = platform.reclaim(leaving.server_id, notice_s=0.8)
            assert await read_events(response) == list(range(1, 101))
            await end
        platform.keys["coop"].remove("key-1")
        platform.configure()
        await asyncio.sleep(0.3)
        for process in platform.gateways:
            assert await fetch_status(session, process) == 401
        assert not any(log_records(one, "peer_down") for one in platform.gateways)


async def test_few_gateways_watch_for_the_others_of_their_zone(session):
    async with deployment(services=1, gateways=5) as platform:
        await wait_until(
            lambda: all(len(log_records(g, "peer_up")) >= 4 for g in platform.gateways)
        )
        calls = platform.store.calls
        await asyncio.sleep(2.5)
        before = calls["kv-watch"]
        for _ in range(10):
            platform.configure()
            await asyncio.sleep(0.05)
        # Two watch; all five would ask once for each change.
        assert calls["kv-watch"] - before < 30
        for count in (5, 3):
            platform.keys = {"coop": [f"key-{count}"]}
            platform.configure()
            await asyncio.sleep(0.3)
            for process in platform.gateways:
                assert await fetch_status(session, process) == 401
                assert await fetch_status(session, process, key=f"key-{count}") == 200
            # Those that watched are gone; others of the zone take their part.
            for process in platform.gateways[:2]:
                await process.gateway.stop()
            del platform.gateways[:2]
            await asyncio.sleep(0.5)
