"""Store outages, rate limits and compaction; gateway starts, stops and reloads."""

import asyncio
import itertools
import time

import aiohttp
import pytest
from attrs import evolve

from boragespring.child_processes import free_ports
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
async def test_requests_are_served_while_the_store_is_unavailable(session, mode):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        platform.store.mode = mode
        platform.store.keyspace.wake()
        await wait_until(lambda: log_records(process, "store_lost"))
        assert await fetch_status(session, process) == 200
        # A newer catalog may contain the unknown key, so the gateway replies that the
        # request has not run instead of 401.
        await asyncio.sleep(2.1)
        assert await fetch_status(session, process, key="key-9") == 503
        assert await fetch_status(session, process, path="/none/") == 503
        platform.store.mode = StoreMode.SERVING
        await wait_until(lambda: log_records(process, "store_regained"))
        assert await fetch_status(session, process, key="key-9") == 401


async def test_catalog_changes_arrive_from_a_rate_limited_store(session):
    async with deployment(services=1, gateways=3) as platform:
        platform.store.calls_per_s = 3.0
        for count in range(3):
            platform.keys = {"coop": [f"key-{count}"]}
            platform.publish_catalog()
            await asyncio.sleep(2.0)
            for process in platform.gateways:
                assert await fetch_status(session, process, key=f"key-{count}") == 200
        assert platform.store.rate_limited_calls


async def test_catalog_change_takes_effect_at_once(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        platform.keys["coop"] = ["key-2"]
        platform.publish_catalog()
        await wait_until(
            lambda: len(log_records(process, "catalog")) == 2, timeout_s=0.5
        )
        assert await fetch_status(session, process, key="key-1") == 401
        assert await fetch_status(session, process, key="key-2") == 200


async def test_older_catalog_is_ignored(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        old = platform.store.keyspace.get(names.CATALOG_KEY).item.value
        platform.keys["coop"] = ["key-2"]
        platform.publish_catalog()
        await wait_until(lambda: len(log_records(process, "catalog")) == 2)
        platform.store.put(names.CATALOG_KEY, old)
        await asyncio.sleep(0.2)
        assert await fetch_status(session, process, key="key-1") == 401


async def test_unreadable_documents_are_ignored(session):
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


async def test_removal_is_noticed_after_compaction_during_an_outage(session):
    async with deployment(services=2) as platform:
        process = platform.gateways[0]
        platform.store.mode = StoreMode.BUSY
        platform.store.keyspace.wake()
        await wait_until(lambda: log_records(process, "store_lost"))
        platform.store.remove(names.REGISTRATION_PREFIX + "desk-0")
        platform.store.keyspace.compact(platform.store.keyspace.revision)
        platform.store.mode = StoreMode.SERVING
        # The registration may have expired during the outage, so the server has two
        # seconds to register again.
        await wait_until(lambda: log_records(process, "server_leaving"), timeout_s=4)
        for number in range(4):
            assert await fetch_status(session, process, request_id=f"r{number}") == 200
        assert not platform.services["desk-0"].runs


async def test_gateway_without_store_takes_snapshots_from_a_peer(session):
    async with deployment(services=1) as platform:
        # The store of this gateway never responds; its seed is the first gateway.
        silent_store = platform.__class__().store
        await silent_store.start()
        silent_store.mode = StoreMode.SILENT
        log, handler = recording_log()
        process = await platform.add_gateway(
            "cut-off",
            free_ports(4),
            log,
            seeds=[platform.gateways[0].settings.peers.port],
            store_url=f"http://{silent_store.address}",
        )
        process.metadata["lines"] = handler
        await wait_until(lambda: log_records(process, "copy_taken"))
        assert await fetch_status(session, process) == 200
        platform.keys["coop"] = ["key-2"]
        platform.publish_catalog()
        await wait_until(
            lambda: len(log_records(process, "catalog")) == 2, timeout_s=7.0
        )
        assert await fetch_status(session, process, key="key-1") == 401
        await silent_store.stop()


async def test_start_without_store_and_peers_refuses_as_not_run(session):
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


async def test_leaving_server_is_detected_without_the_store(session):
    async with deployment(engines=2, gateways=2) as platform:
        platform.store.mode = StoreMode.SILENT
        platform.store.keyspace.wake()
        sent_headers = request_headers(
            "s1", remaining_ms=20_000, **prompt_headers(1000, 1200)
        )
        url = platform.gateways[0].url + "/draft/x"
        async with session.post(url, headers=sent_headers) as response:
            await wait_until(lambda: log_records(platform.gateways[0], "inspection"))
            leaving_server = next(
                server for server in platform.engines.values() if server.runs
            )
            leaving_server.leaves_at_s = time.monotonic() + 1.0
            await asyncio.sleep(1.0)
            assert not leaving_server.runs
            await leaving_server.crash()
            assert await read_events(response) == list(range(1, 301))


async def test_all_gateways_detect_a_crash_without_the_store(session):
    async with deployment(engines=2, gateways=3) as platform:
        platform.store.mode = StoreMode.SILENT
        platform.store.keyspace.wake()
        await wait_until(
            lambda: all(
                log_records(gateway_process, "inspection")
                for gateway_process in platform.gateways
            )
        )
        await platform.engines["engine-1"].crash()
        await wait_until(
            lambda: all(
                log_records(gateway_process, "server_leaving")
                for gateway_process in platform.gateways
            )
        )
        known = [
            [line["is_leaving"] for line in gateway_process.gateway.status()["servers"]]
            for gateway_process in platform.gateways
        ]
        assert all(sorted(states) == [False, True] for states in known)


async def test_servers_are_probed_soon_after_the_store_resets_calls(session):
    async with deployment(engines=1, gateways=1) as platform:
        process = platform.gateways[0]
        await asyncio.sleep(0.3)
        platform.store.mode = StoreMode.RESETTING
        platform.publish_catalog()
        started_at_s = time.monotonic()
        await wait_until(lambda: log_records(process, "inspection"))
        # Without failed calls, a single gateway would wait for its entire watch.
        assert time.monotonic() - started_at_s < 1.5


async def test_drain_refuses_long_streams_and_completes_the_rest(session):
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
        assert platform.engines["engine-0"].started_run_ids == ["short"]


async def test_request_that_arrives_after_the_drain_is_refused_as_not_run(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        await fetch_status(session, process, request_id="r1")
        await process.gateway.drain()
        assert await fetch_status(session, process, request_id="r2") == 503
        assert platform.services["desk-0"].runs == ["r1"]


async def test_stopped_gateway_leaves_no_presence(session):
    async with deployment(services=1, gateways=2) as platform:
        first, second = platform.gateways
        await second.gateway.stop()
        platform.gateways.remove(second)
        await wait_until(lambda: log_records(first, "peer_down"))
        assert await fetch_status(session, first) == 200
        found = platform.store.keyspace.range("boragespring/", "boragespring0")
        assert [item.key for item in found.items] == ["boragespring/gateways/gateway-0"]


async def test_metrics_endpoint(session):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        await fetch_status(session, process)
        address = process.settings.metrics
        base = f"http://{address.host}:{address.port}"
        async with (
            aiohttp.ClientSession() as plain,
            plain.get(base + "/metrics") as response,
        ):
            text = await response.text()
        assert (
            'boragespring_gateway_requests_total{kind="non_idempotent",'
            'outcome="status 200",workspace="coop"} 1.0' in text
        )
        assert "boragespring_gateway_answer_seconds_bucket" in text
        assert "boragespring_gateway_store_copy_age_seconds" in text


async def test_reload_applies_changed_bounds(session):
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


async def test_wall_clock_steps_have_no_effect(session, monkeypatch):
    """Guard against timeouts that use the wall clock instead of a monotonic one.

    The wall clock steps forward and back while requests run.
    """
    async with deployment(engines=2, services=1, gateways=2) as platform:
        real_time = time.time
        steps_s = itertools.cycle((3600.0, -7200.0, 0.0, 5.0))
        monkeypatch.setattr(time, "time", lambda: real_time() + next(steps_s))
        url = platform.gateways[0].url + "/draft/x"
        sent_headers = request_headers(
            "s1", remaining_ms=20_000, **prompt_headers(100, 400)
        )
        async with session.post(url, headers=sent_headers) as response:
            await asyncio.sleep(0.3)
            leaving_server = next(
                server for server in platform.engines.values() if server.runs
            )
            reclaim = platform.reclaim(leaving_server.server_id, notice_s=0.8)
            assert await read_events(response) == list(range(1, 101))
            await reclaim
        platform.keys["coop"].remove("key-1")
        platform.publish_catalog()
        await asyncio.sleep(0.3)
        for process in platform.gateways:
            assert await fetch_status(session, process) == 401
        assert not any(
            log_records(gateway_process, "peer_down")
            for gateway_process in platform.gateways
        )


async def test_few_gateways_watch_on_behalf_of_their_zone(session):
    async with deployment(services=1, gateways=5) as platform:
        # The two relays of the zone link to each other and to the three others.
        await wait_until(
            lambda: (
                sorted(
                    len({record.peer for record in log_records(process, "peer_up")})
                    for process in platform.gateways
                )[-2:]
                == [4, 4]
            )
        )
        calls = platform.store.calls
        await asyncio.sleep(2.5)
        before = calls["kv-watch"]
        for _ in range(10):
            platform.publish_catalog()
            await asyncio.sleep(0.05)
        # Only two gateways watch; otherwise all five would call once per change.
        assert calls["kv-watch"] - before < 30
        for count in (5, 3):
            platform.keys = {"coop": [f"key-{count}"]}
            platform.publish_catalog()
            await asyncio.sleep(0.3)
            for process in platform.gateways:
                assert await fetch_status(session, process) == 401
                assert await fetch_status(session, process, key=f"key-{count}") == 200
            # After the watching gateways stop, others of the zone take over.
            for process in platform.gateways[:2]:
                await process.gateway.stop()
            del platform.gateways[:2]
            await asyncio.sleep(0.5)
