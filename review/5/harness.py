"""Stand-ins and helpers of this case.

The gateway is started as on the platform. The store is the project's emulated store;
the backend servers and the clients are the small ones of this file. Everything listens
on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from boragespring.platform.emulator.store import EmulatedStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-of-coop"
TENANT = "coop"
METRICS_PORT = 9464
HELD, BROKEN, NOT_RUN = 0, 1, 2
CASE_TIMEOUT_S = 110.0
START_TIMEOUT_S = 20.0
#: Bound of the rule RECOVER on rutas-quito.
RECOVERY_S = 12

SETTINGS = """node = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip_address = "{ip}"
zone = "quito-a"
region = "sierra-norte"
internal_ports = [{peers},{peers}]
seeds = {seeds}
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = [
    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
    "tenants", "platform",
]
[zones]
quito-a = "sierra-norte"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 150
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
acknowledge_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
configuration_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revocation = false
revocation_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
recovery_s = {recovery_s}
pass_ms = 120
reuse_window_s = 4.4
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line)


# ---------------------------------------------------------------- clients


@dataclass
class Answer:
    """What a client got; `error` says why it is not complete."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    request_id: str = ""

    @property
    def is_complete(self) -> bool:
        return not self.error

    def __str__(self) -> str:
        shown = f"status {self.status}, body of {len(self.body)} bytes"
        return shown + (f", NOT COMPLETE: {self.error}" if self.error else ", complete")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader, into: bytearray) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        into += await reader.readexactly(size)
        await reader.readexactly(2)


class Client:
    """Requester with one channel, which it keeps for several requests."""

    def __init__(self, ip: str, port: int, record: Record, name: str = "client"):
        self._ip, self._port, self._record, self._name = ip, port, record, name
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await asyncio.open_connection(
                self._ip, self._port
            )

    async def send(
        self,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        budget_ms: int = 1500,
        method: str = "POST",
        request_id: str = "",
        key: str = KEY,
    ) -> Answer:
        """Send a request on the open channel and return its answer."""
        if self._writer is None:
            await self.open()
        assert self._writer is not None
        request_id = request_id or f"{random.getrandbits(64):016x}"
        fields = {
            "Host": HOST,
            "Boragespring-Attempt-Id": request_id,
            "Boragespring-Time-Remaining": str(budget_ms),
            "Boragespring-Credential": key,
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self._record(f"{self._name} sends {method} {path} id {request_id}")
        answer = Answer(request_id=request_id)
        collected = bytearray()
        try:
            self._writer.write(
                f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body
            )
            async with asyncio.timeout(budget_ms / 1000 + 0.5):
                await self._writer.drain()
                await self._read(answer, collected)
        except TimeoutError:
            answer.error = "no complete answer within the time budget"
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            answer.error = f"the channel ended: {type(error).__name__} {error}"
        answer.body = bytes(collected)
        self._record(f"{self._name} got for id {request_id}: {answer}")
        is_closing = answer.headers.get("connection", "").lower() == "close"
        if answer.error or is_closing:
            self.close()
        return answer

    async def _read(self, answer: Answer, into: bytearray) -> None:
        first, answer.headers = await read_head(self._reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            await read_chunks(self._reader, into)
        elif "content-length" in answer.headers:
            into += await self._reader.readexactly(
                int(answer.headers["content-length"])
            )
        else:
            into += await self._reader.read(-1)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._writer = None


# ---------------------------------------------------------------- backend servers


@dataclass
class Received:
    """Request as a backend server got it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("boragespring-attempt-id", "")


Handler = Callable[["Worker", Received, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """Backend server; its handler runs each request that is meant for it."""

    def __init__(self, name: str, service: str, handler: Handler, record: Record):
        self.name, self.service, self._handler = name, service, handler
        self.record = record
        self.runs: list[str] = []
        self.received: list[Received] = []
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        #: Requests that run here and have no answer yet.
        self.waiting: set[str] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        self.ip = ip
        self._server = await asyncio.start_server(self._serve, ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    def crash(self) -> None:
        """Close the port and all channels, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        self.record(f"{self.name}: crashes")

    def signed(self, request: Received, body_bytes: int) -> dict[str, str]:
        return {
            "Boragespring-Attempt-Id": request.request_id,
            "Boragespring-Response-Signature": f"3e1b.07.5a2.{body_bytes}.0.c9f2a4d1",
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            first, headers = await read_head(reader)
            method, target, _ = first.split(" ")
            body = bytearray()
            if headers.get("transfer-encoding", "").lower() == "chunked":
                await read_chunks(reader, body)
            else:
                length = int(headers.get("content-length", "0"))
                body += await reader.readexactly(length)
            request = Received(method, target, headers, bytes(body))
            if headers.get("boragespring-expected-instance", self.name) != self.name:
                writer.write(encode_head(421, {"Content-Length": "0"}))
                return
            self.received.append(request)
            if request.request_id:
                self.runs.append(request.request_id)
                self.record(
                    f"{self.name} runs {method} {target} id {request.request_id}"
                )
            await self._handler(self, request, writer)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} Reason\r\n{fields}\r\n".encode()


def event(number: int) -> bytes:
    return f"id: {number}\ndata: tokens of event {number}\n\n".encode()


async def answer_report(
    writer: asyncio.StreamWriter, leaves_at_s: float | None = None
) -> None:
    report = {
        "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "busy": False,
        "sequence": 1,
        "waiting": 0,
        "running": 1,
        "kv_cache_used": 3000,
        "kv_cache_total": 34272,
        "handles": 0,
        "state": "ready" if leaves_at_s is None else "draining",
    }
    if leaves_at_s is not None:
        report["leaves_ms"] = round((leaves_at_s - time.monotonic()) * 1000)
    body = json.dumps(report).encode()
    writer.write(encode_head(200, {"Content-Length": str(len(body))}) + body)


# ---------------------------------------------------------------- the platform


def route(prefix: str, kind: str, service: str, timeout_ms: int, **more) -> dict:
    return {
        "name": "r" + prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "latency_goal_ms": 400,
        "attempts": 2 if kind == "idempotent" else 1,
        "priority": 1,
        **more,
    }


STREAM_ROUTE = route(
    "/draft/",
    "streaming",
    "models",
    6000,
    latency_goal_ms=1500,
    gap_target_ms=180,
    sticky=True,
)
BOOK_ROUTE = route("/book/", "non_idempotent", "desk", 1500)
LOOK_ROUTE = route("/look/", "idempotent", "desk", 1500)
ENGINE = {
    "slots": 24,
    "kv_cache_tokens": 34272,
    "kv_token_bytes": 1000,
    "link_mbps": 2000,
    "moves": True,
    "backups": True,
    "stride": 4,
    "handle_s": 5.0,
}


class Platform:
    """Store with the operator's configuration and the servers' entries."""

    def __init__(self, record: Record) -> None:
        self.store = EmulatedStore()
        self.record = record
        self._version = 1
        self._sequence = 0

    async def start(self) -> None:
        await self.store.start()

    def configure(self, routes: list[dict] | None = None, **more) -> None:
        self._version += 3
        document = {
            "version": self._version,
            "routes": routes or [STREAM_ROUTE, BOOK_ROUTE, LOOK_ROUTE],
            "services": [
                {"name": "models", "connection_limit": 252, "engine": ENGINE},
                {"name": "desk", "connection_limit": 110},
            ],
            "limits": {
                "header_bytes": 16384,
                "body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
            **more,
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record(f"operator: configuration {self._version} acknowledged")

    def register(self, worker: Worker, state: str = "ready") -> None:
        self._sequence += 1
        entry = {
            "service": worker.service,
            "address": worker.address,
            "zone": "quito-a",
            "version": "v1",
            "slots": 24 if worker.service == "models" else 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": 1,
        }
        self.store.put(f"servers/{worker.name}", json.dumps(entry).encode())
        self.record(f"store: entry of {worker.name} is {state}")


# ---------------------------------------------------------------- the gateway


def free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((ip, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def free_ip() -> str:
    """Return a loopback address on which the fixed metrics port is free."""
    for _ in range(100):
        ip = "127." + ".".join(str(random.randint(2, 250)) for _ in range(3))
        with socket.socket() as probe:
            try:
                probe.bind((ip, METRICS_PORT))
            except OSError:
                continue
        return ip
    raise RuntimeError("no free loopback address")


class GatewayProcess:
    """Gateway, started with the command of the deploy file."""

    def __init__(
        self, name: str, store: str, folder: Path, record: Record, recovery_s: int
    ) -> None:
        self._recovery_s = recovery_s
        self.name, self.ip, self._record = name, free_ip(), record
        self.front, self.ready, self.control, self.peers = free_ports(self.ip, 4)
        self.settings_path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self.write_settings(store)
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store: str, seeds: list[str] | None = None) -> None:
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            front=self.front,
            ready=self.ready,
            control=self.control,
            peers=self.peers,
            seeds=json.dumps(seeds or []),
            store=store,
            recovery_s=self._recovery_s,
        )
        self.settings_path.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        deploy = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        found = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)
        assert found is not None
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BORAGESPRING_NODE_FILE": str(self.settings_path),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/var/empty",
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *found.group(1).split(" "),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self._record(f"{self.name}: process started")

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                first = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in first

    async def wait_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)
        self._record(f"{self.name}: ready")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self._record(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        assert self.process is not None
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def log_lines(self, *words: str) -> list[str]:
        text = self._log.read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if all(w in line for w in words)]


# ---------------------------------------------------------------- running a case


class Case:
    """What a case has: its record, whether there is trouble, and the platform."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.platform = Platform(self.record)
        self.gateways: list[GatewayProcess] = []
        self.children: list[asyncio.subprocess.Process] = []

    def gateway(self, name: str, recovery_s: int = RECOVERY_S) -> GatewayProcess:
        address = self.platform.store.address
        gateway = GatewayProcess(name, address, self.directory, self.record, recovery_s)
        self.gateways.append(gateway)
        return gateway

    def client(self, gateway: GatewayProcess, name: str = "client") -> Client:
        return Client(gateway.ip, gateway.front, self.record, name)

    async def close(self) -> None:
        for gateway in self.gateways:
            await gateway.end()
        for child in self.children:
            if child.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    child.kill()
                await child.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2.0):
                await self.platform.store.stop()
        shutil.rmtree(self.directory, ignore_errors=True)


class CouldNotRun(Exception):
    """The case could not be brought about."""


def run(script: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if not, 2 if it failed."""

    async def main() -> int:
        case = Case(Path(script).resolve().parent)
        this_task = asyncio.current_task()
        assert this_task is not None
        # So that the processes of the case also end when it is stopped.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                is_broken = await play(case)
        except (Exception, asyncio.CancelledError):
            case.record("the case could not run: " + traceback.format_exc())
            return NOT_RUN
        finally:
            await case.close()
        case.record("RULE BROKEN" if is_broken else "the rule held")
        return BROKEN if is_broken else HELD

    sys.exit(asyncio.run(main()))
