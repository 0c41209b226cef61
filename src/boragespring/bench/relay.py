"""Benchmark the relaying of streams: CPU time, added latency and memory."""

import asyncio
import contextlib
import json
import tempfile
from collections.abc import AsyncGenerator
from pathlib import Path

import aiohttp
import cattrs
from attrs import frozen

from boragespring.bench.process_usage import cpu_time_s, resident_bytes
from boragespring.bench.streams import percentile, run_stream, run_streams
from boragespring.child_processes import ProcessSet, free_ports
from boragespring.local import LOCAL_API_KEY, local_document

__all__ = ["run"]

CLI = "boragespring.cli"
SERVICE = "asistente-rutas"
MODEL_ZONE = "quito-a"
MEMORY_TOKENS = 10_000_000
STREAMS = 200
STREAM_TOKENS = 300
LIGHT_LOAD_STREAMS = 10
LIGHT_LOAD_ROUNDS = 30
LIGHT_LOAD_SPREAD_S = 0.2
LIGHT_LOAD_TOKENS = 30
SHORT_STREAMS = 3000
SHORT_CALLERS = 32
CONCURRENT_STREAMS = 1000
CONCURRENT_STREAM_TOKENS = 60
READY_TIMEOUT_S = 20.0


@frozen
class BaseUrls:
    """Base URLs of the running processes."""

    engine: str
    relay: str
    entry: str


@frozen
class BenchmarkResult:
    """One measured value and its target.

    Parameters
    ----------
    name : str
        What was measured.
    value : float
        Measured value.
    unit : str
        Unit of the value.
    target : float or None
        Largest value that meets the target, if there is one.
    """

    name: str
    value: float
    unit: str
    target: float | None = None

    def to_line(self) -> str:
        """Return the result as one line of the report."""
        line = f"{self.name:<58}{self.value:10.3f} {self.unit}"
        if self.target is None:
            return line
        verdict = "met" if self.value <= self.target else "MISSED"
        return f"{line} (target <= {self.target:g}: {verdict})"


def run() -> None:
    """Run all measurements and print the results."""
    for result in asyncio.run(_measure()):
        print(result.to_line())


async def _measure() -> list[BenchmarkResult]:
    with tempfile.TemporaryDirectory() as name:
        async with _running_deployment(Path(name)) as (processes, base_urls):
            timeout = aiohttp.ClientTimeout(total=None)
            connector = aiohttp.TCPConnector(limit=0)
            headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
            async with aiohttp.ClientSession(
                connector=connector, timeout=timeout, headers=headers
            ) as session:
                await _wait_until_ready(session, base_urls.entry)
                return [
                    *await _measure_cpu_time(processes, session, base_urls),
                    *await _measure_added_latency(session, base_urls),
                    await _measure_request_rate(processes, session, base_urls),
                    await _measure_memory(processes, session, base_urls),
                ]


@contextlib.asynccontextmanager
async def _running_deployment(
    directory: Path,
) -> AsyncGenerator[tuple[ProcessSet, BaseUrls], None]:
    ports = free_ports(7)
    engine, relay, store, agent_link, agent_http, entry_link, entry_http = ports
    urls = [f"http://127.0.0.1:{port}" for port in ports]
    files = _write_files(directory, urls, ports)
    async with ProcessSet(directory) as processes:
        await processes.start(
            "engine",
            CLI,
            *("standin", "engine", "--port", str(engine)),
            *("--memory-tokens", str(MEMORY_TOKENS)),
        )
        await processes.start(
            "store",
            CLI,
            *("standin", "store", "--port", str(store)),
            *("--instances", str(files["instances"])),
            *("--lists", str(files["lists"])),
        )
        await processes.wait_for_ports([engine, store])
        await processes.start("agent", CLI, "agent", "--settings", str(files["agent"]))
        await processes.start(
            "relay", "boragespring.bench.bare_relay", str(relay), urls[0]
        )
        await processes.start("entry", CLI, "entry", "--settings", str(files["entry"]))
        await processes.wait_for_ports([agent_link, agent_http, relay, entry_http])
        yield processes, BaseUrls(urls[0], urls[1], urls[6])


def _write_files(directory: Path, urls: list[str], ports: list[int]) -> dict[str, Path]:
    _, _, _, agent_link, agent_http, entry_link, entry_http = ports
    common = {
        "placement": {
            "deployment": "local",
            "region": "local-1",
            "availability_zone": MODEL_ZONE,
        },
        "platform": {"store_urls": [urls[2]], "instances_url": urls[2]},
    }
    documents: dict[str, object] = {
        "agent": {
            **common,
            "name": "agent-0",
            "http": {"host": "127.0.0.1", "port": agent_http},
            "link": {"host": "127.0.0.1", "port": agent_link},
            "server": {
                "service": SERVICE,
                "vendor": "vllm",
                "url": urls[0],
                "memory_tokens": MEMORY_TOKENS,
                "concurrency_max": 10_000,
            },
        },
        "entry": {
            **common,
            "name": "entry-0",
            "http": {"host": "127.0.0.1", "port": entry_http},
            "link": {"host": "127.0.0.1", "port": entry_link},
        },
        "lists": cattrs.unstructure(local_document()),
        "instances": {
            "instances": [
                _instance("agent-0", "agent", SERVICE, agent_link, agent_http),
                _instance("entry-0", "entry", "", entry_link, entry_http),
            ]
        },
    }
    files = {name: directory / f"{name}.json" for name in documents}
    for name, path in files.items():
        path.write_text(json.dumps(documents[name]), encoding="utf-8")
    return files


def _instance(
    name: str, role: str, service: str, link_port: int, http_port: int
) -> dict[str, object]:
    return {
        "name": name,
        "role": role,
        "service": service,
        "region": "local-1",
        "availability_zone": MODEL_ZONE,
        "host": "127.0.0.1",
        "link_port": link_port,
        "http_port": http_port,
    }


async def _wait_until_ready(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            async with session.get(f"{url}/readyz") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.05)


async def _measure_cpu_time(
    processes: ProcessSet, session: aiohttp.ClientSession, base_urls: BaseUrls
) -> list[BenchmarkResult]:
    """Compare the CPU time per relayed token with that of the bare relay."""
    tokens = STREAMS * STREAM_TOKENS
    await run_streams(session, base_urls.relay, STREAMS, 20)
    await run_streams(session, base_urls.entry, STREAMS, 20)
    before_s = cpu_time_s(processes.pid("relay"))
    await run_streams(session, base_urls.relay, STREAMS, STREAM_TOKENS)
    relay_us = (cpu_time_s(processes.pid("relay")) - before_s) / tokens * 1e6
    before_entry_s, before_agent_s = (
        cpu_time_s(processes.pid("entry")),
        cpu_time_s(processes.pid("agent")),
    )
    await run_streams(session, base_urls.entry, STREAMS, STREAM_TOKENS)
    entry_us = (cpu_time_s(processes.pid("entry")) - before_entry_s) / tokens * 1e6
    agent_us = (cpu_time_s(processes.pid("agent")) - before_agent_s) / tokens * 1e6
    return [
        BenchmarkResult("CPU time per token, bare relay", relay_us, "us"),
        BenchmarkResult("CPU time per token, entry", entry_us, "us"),
        BenchmarkResult("CPU time per token, agent", agent_us, "us"),
        BenchmarkResult(
            "CPU time per token, entry / bare relay", entry_us / relay_us, "x", 1
        ),
        BenchmarkResult(
            "CPU time per token, agent / bare relay", agent_us / relay_us, "x"
        ),
    ]


async def _measure_added_latency(
    session: aiohttp.ClientSession, base_urls: BaseUrls
) -> list[BenchmarkResult]:
    """Compare a few concurrent streams with direct calls to the engine."""
    first_token_s: dict[str, list[float]] = {}
    intervals_s: dict[str, list[float]] = {}
    for _ in range(LIGHT_LOAD_ROUNDS):
        for url in (base_urls.engine, base_urls.entry):
            all_times = await run_streams(
                session, url, LIGHT_LOAD_STREAMS, LIGHT_LOAD_TOKENS, LIGHT_LOAD_SPREAD_S
            )
            first_token_s.setdefault(url, []).extend(
                times.first_token_s for times in all_times
            )
            intervals_s.setdefault(url, []).extend(
                interval_s for times in all_times for interval_s in times.intervals_s
            )
    urls = (base_urls.engine, base_urls.entry)
    first_token_ms = [percentile(first_token_s[url], 0.95) * 1000 for url in urls]
    interval_ms = [percentile(intervals_s[url], 0.99) * 1000 for url in urls]
    return [
        BenchmarkResult(
            "time to first token p95, engine called directly", first_token_ms[0], "ms"
        ),
        BenchmarkResult(
            "time to first token p95, added",
            first_token_ms[1] - first_token_ms[0],
            "ms",
            5,
        ),
        BenchmarkResult(
            "inter-token interval p99, engine called directly", interval_ms[0], "ms"
        ),
        BenchmarkResult(
            "inter-token interval p99, added", interval_ms[1] - interval_ms[0], "ms", 2
        ),
    ]


async def _measure_request_rate(
    processes: ProcessSet, session: aiohttp.ClientSession, base_urls: BaseUrls
) -> BenchmarkResult:
    """Measure how many short streams one CPU core of the entry serves per second."""
    numbers = iter(range(SHORT_STREAMS))

    async def call_repeatedly() -> None:
        for _ in numbers:
            await run_stream(session, base_urls.entry, 1)

    before_s = cpu_time_s(processes.pid("entry"))
    await asyncio.gather(*(call_repeatedly() for _ in range(SHORT_CALLERS)))
    rate = SHORT_STREAMS / (cpu_time_s(processes.pid("entry")) - before_s)
    return BenchmarkResult(
        "one-token requests per second of entry CPU time", rate, "1/s"
    )


async def _measure_memory(
    processes: ProcessSet, session: aiohttp.ClientSession, base_urls: BaseUrls
) -> BenchmarkResult:
    before_bytes = resident_bytes(processes.pid("entry"))
    tasks = [
        asyncio.create_task(
            run_stream(session, base_urls.entry, CONCURRENT_STREAM_TOKENS)
        )
        for _ in range(CONCURRENT_STREAMS)
    ]
    peak_bytes = before_bytes
    while not all(task.done() for task in tasks):
        await asyncio.sleep(0.2)
        peak_bytes = max(peak_bytes, resident_bytes(processes.pid("entry")))
    await asyncio.gather(*tasks)
    kib_per_stream = (peak_bytes - before_bytes) / CONCURRENT_STREAMS / 1024
    return BenchmarkResult("memory per concurrent stream, entry", kib_per_stream, "KiB")
