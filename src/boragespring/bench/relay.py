"""Cost of relaying streams: processor time, delay, memory."""

import asyncio
import contextlib
import json
import tempfile
from collections.abc import AsyncGenerator
from pathlib import Path

import aiohttp
import cattrs
from attrs import frozen

from boragespring.bench.processes import ProcessSet, free_ports
from boragespring.bench.streams import percentile, run_stream, run_streams
from boragespring.local import LOCAL_API_KEY, local_document

__all__ = ["run"]

CLI = "boragespring.cli"
SERVICE = "asistente-rutas"
MODEL_ZONE = "quito-a"
MEMORY_TOKENS = 10_000_000
STREAMS = 200
STREAM_TOKENS = 300
QUIET_STREAMS = 10
QUIET_ROUNDS = 30
QUIET_SPREAD_S = 0.2
QUIET_TOKENS = 30
SHORT_REQUESTS = 3000
SHORT_CALLERS = 32
OPEN_ANSWERS = 1000
OPEN_TOKENS = 60
READY_TIMEOUT_S = 20.0


@frozen
class Addresses:
    """Base addresses of the running set."""

    engine: str
    relay: str
    entry: str


@frozen
class Figure:
    """One measured figure beside its target."""

    name: str
    value: float
    unit: str
    target: float | None = None

    def to_line(self) -> str:
        """Return the figure as one line of the report."""
        line = f"{self.name:<58}{self.value:10.3f} {self.unit}"
        if self.target is None:
            return line
        verdict = "met" if self.value <= self.target else "MISSED"
        return f"{line} (target <= {self.target:g}: {verdict})"


def run() -> None:
    """Measure and print all figures."""
    for figure in asyncio.run(_measure()):
        print(figure.to_line())


async def _measure() -> list[Figure]:
    with tempfile.TemporaryDirectory() as name:
        async with _running_set(Path(name)) as (processes, addresses):
            timeout = aiohttp.ClientTimeout(total=None)
            connector = aiohttp.TCPConnector(limit=0)
            headers = {"Authorization": f"Bearer {LOCAL_API_KEY}"}
            async with aiohttp.ClientSession(
                connector=connector, timeout=timeout, headers=headers
            ) as session:
                await _wait_ready(session, addresses.entry)
                return [
                    *await _processor_time(processes, session, addresses),
                    *await _added_delay(session, addresses),
                    await _request_rate(processes, session, addresses),
                    await _memory(processes, session, addresses),
                ]


@contextlib.asynccontextmanager
async def _running_set(
    directory: Path,
) -> AsyncGenerator[tuple[ProcessSet, Addresses], None]:
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
        yield processes, Addresses(urls[0], urls[1], urls[6])


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


async def _wait_ready(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            async with session.get(f"{url}/readyz") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.05)


async def _processor_time(
    processes: ProcessSet, session: aiohttp.ClientSession, addresses: Addresses
) -> list[Figure]:
    """Compare the time for each relayed token with that of the bare relay."""
    tokens = STREAMS * STREAM_TOKENS
    await run_streams(session, addresses.relay, STREAMS, 20)
    await run_streams(session, addresses.entry, STREAMS, 20)
    before_s = processes.cpu_s("relay")
    await run_streams(session, addresses.relay, STREAMS, STREAM_TOKENS)
    relay_us = (processes.cpu_s("relay") - before_s) / tokens * 1e6
    before_entry_s, before_agent_s = processes.cpu_s("entry"), processes.cpu_s("agent")
    await run_streams(session, addresses.entry, STREAMS, STREAM_TOKENS)
    entry_us = (processes.cpu_s("entry") - before_entry_s) / tokens * 1e6
    agent_us = (processes.cpu_s("agent") - before_agent_s) / tokens * 1e6
    return [
        Figure("processor time per token, bare relay", relay_us, "us"),
        Figure("processor time per token, entry", entry_us, "us"),
        Figure("processor time per token, agent", agent_us, "us"),
        Figure("processor time per token, entry / bare", entry_us / relay_us, "x", 1),
        Figure("processor time per token, agent / bare", agent_us / relay_us, "x"),
    ]


async def _added_delay(
    session: aiohttp.ClientSession, addresses: Addresses
) -> list[Figure]:
    """Compare a few streams at a time with the engine called directly."""
    first_s: dict[str, list[float]] = {}
    between_s: dict[str, list[float]] = {}
    for _ in range(QUIET_ROUNDS):
        for url in (addresses.engine, addresses.entry):
            runs = await run_streams(
                session, url, QUIET_STREAMS, QUIET_TOKENS, QUIET_SPREAD_S
            )
            first_s.setdefault(url, []).extend(run.first_token_s for run in runs)
            between_s.setdefault(url, []).extend(
                interval_s for run in runs for interval_s in run.intervals_s
            )
    urls = (addresses.engine, addresses.entry)
    first_ms = [percentile(first_s[url], 0.95) * 1000 for url in urls]
    between_ms = [percentile(between_s[url], 0.99) * 1000 for url in urls]
    return [
        Figure("first token p95, engine directly", first_ms[0], "ms"),
        Figure("first token p95, added", first_ms[1] - first_ms[0], "ms", 5),
        Figure("between tokens p99, engine directly", between_ms[0], "ms"),
        Figure("between tokens p99, added", between_ms[1] - between_ms[0], "ms", 2),
    ]


async def _request_rate(
    processes: ProcessSet, session: aiohttp.ClientSession, addresses: Addresses
) -> Figure:
    """Return how many short streams one core of the entry carries a second."""
    numbers = iter(range(SHORT_REQUESTS))

    async def call_repeatedly() -> None:
        for _ in numbers:
            await run_stream(session, addresses.entry, 1)

    before_s = processes.cpu_s("entry")
    await asyncio.gather(*(call_repeatedly() for _ in range(SHORT_CALLERS)))
    rate = SHORT_REQUESTS / (processes.cpu_s("entry") - before_s)
    return Figure("requests of one token per second of entry core", rate, "1/s")


async def _memory(
    processes: ProcessSet, session: aiohttp.ClientSession, addresses: Addresses
) -> Figure:
    before_bytes = processes.memory_bytes("entry")
    tasks = [
        asyncio.create_task(run_stream(session, addresses.entry, OPEN_TOKENS))
        for _ in range(OPEN_ANSWERS)
    ]
    peak_bytes = before_bytes
    while not all(task.done() for task in tasks):
        await asyncio.sleep(0.2)
        peak_bytes = max(peak_bytes, processes.memory_bytes("entry"))
    await asyncio.gather(*tasks)
    each_kib = (peak_bytes - before_bytes) / OPEN_ANSWERS / 1024
    return Figure("memory per open answer, entry", each_kib, "KiB")
