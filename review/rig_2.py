"""Parts that the scripts of the second review share.

The gateways are the project's own program, started as separate processes with the
command of the deploy file. The store and the engines are the project's stand-ins, run in
the process of the script, with the history of the store bounded as the settings say. The
plain workers are stand-ins of their own. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from boragespring.child_processes import free_ports
from boragespring.platform.emulator import EmulatedPlatform
from boragespring.store.store import WatchCompactedError

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LIMIT_S = 112.0

HEARTBEAT_S = 1.2
HISTORY_S = 20.0
CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIGURATION_S = 2.0

#: The settings of a small deployment, as `fleetbench wire` prints them.
SETTINGS = """node = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip_address = "{host}"
zone = "zone-a"
region = "region"
internal_ports = [{peers},{peers}]
seeds = {seeds}
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "region"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
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
budget_slack = 52
recovery_s = 12
pass_ms = 120
reuse_window_s = 6.9
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
    """What was sent, answered and run, written to a file at the end."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.began_s = time.monotonic()
        self.lines = []

    def now_s(self):
        return time.monotonic() - self.began_s

    def add(self, what, **fields):
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now_s():8.3f} {what} {values}".rstrip())

    def say(self, text):
        print(text)
        self.lines.append(f"{self.now_s():8.3f} # {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class GatewayProcess:
    """One gateway and its settings file."""

    def __init__(self, name, host, path, front, ready):
        self.name, self.host, self.path = name, host, path
        self.front, self.ready = front, ready
        self.child = None

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200" in line
        except (OSError, TimeoutError):
            return False


class Deployment:
    """The store, its workers and the gateways of one case."""

    def __init__(self, record, gateways=4, **options):
        self.record = record
        self.platform = EmulatedPlatform(**options)
        self.platform.store.delay_s = 0.004
        self.count = gateways
        self.gateways = []
        self.workers = []
        self.tasks = []
        self.directory = None
        self._subnet = socket.socket()

    async def __aenter__(self):
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        return self

    async def start(self, engines=0):
        """Start the store, the engines and the gateways, and wait until all are ready."""
        await self.platform.start(engines, 0)
        self.tasks = [asyncio.create_task(self._bound_history())]
        self.tasks.append(asyncio.create_task(self._beat()))
        hosts = self._hosts()
        front, ready, control, peers = free_ports(4)
        seeds = json.dumps([f"{host}:{control}" for host in hosts[:3]])
        for number, host in enumerate(hosts):
            path = self.directory / f"front-{number}.toml"
            text = SETTINGS.format(
                name=f"front-{number}",
                host=host,
                peers=peers,
                seeds=seeds,
                front=front,
                ready=ready,
                control=control,
                store=self.platform.store.address,
            )
            path.write_text(text, encoding="utf-8")
            gateway = GatewayProcess(f"front-{number}", host, path, front, ready)
            self.gateways.append(gateway)
            await self.spawn(gateway)
        async with asyncio.timeout(20.0):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.05)
        # All machines are in touch from here on.
        await asyncio.sleep(CONTACT_S + 0.5)

    async def spawn(self, gateway):
        """Start a gateway with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            **role["env"],
            "PYTHONPATH": "target/deps",
            "BORAGESPRING_NODE_FILE": str(gateway.path),
        }
        log = self.directory / f"{gateway.name}.log"
        with log.open("ab") as output:
            gateway.child = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def log_lines(self, gateway, event):
        text = (self.directory / f"{gateway.name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if f'"event": "{event}"' in line]

    def dead(self):
        """Return the gateways that ended by themselves."""
        return [each.name for each in self.gateways if each.child.returncode is not None]

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.child is not None and gateway.child.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    gateway.child.send_signal(signal.SIGCONT)
                    gateway.child.kill()
                await gateway.child.wait()
        for worker in self.workers:
            worker.stop()
        await self.platform.stop()
        self._subnet.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.directory, ignore_errors=True)
        else:
            print("kept", self.directory)

    def _hosts(self):
        for _ in range(200):
            number = random.randrange(1, 250)
            with contextlib.suppress(OSError):
                self._subnet.bind((f"127.79.{number}.250", 7199))
                return [f"127.79.{number}.{index + 1}" for index in range(self.count)]
        raise RuntimeError("no loopback subnet is free")

    async def _bound_history(self):
        """Drop what is older than the history of the store."""
        keyspace, marks = self.platform.store.keyspace, []
        while True:
            marks.append((time.monotonic(), keyspace.revision))
            old = [revision for at_s, revision in marks if at_s < time.monotonic() - HISTORY_S]
            if old and old[-1] > keyspace.compacted_revision:
                with contextlib.suppress(WatchCompactedError):
                    keyspace.compact(old[-1])
            marks = [mark for mark in marks if mark[0] >= time.monotonic() - HISTORY_S - 2.0]
            await asyncio.sleep(0.5)

    async def _beat(self):
        """Write the entry of each live worker again, as workers do."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.platform.register_again()
            for worker in self.workers:
                if worker.is_up:
                    worker.register()


class PlainWorker:
    """Worker of a plain service, as the users' pages describe it.

    It runs `slots` requests at once and queues a few, echoes the identifier of the
    request, signs its successes, and rejects what is meant for another worker.
    `reply` may return other bytes in place of an answer. A run for which `is_deadly`
    returns true ends the worker; it is back under a new identity `back_s` later.
    """

    def __init__(self, deployment, name, service="desk", slots=6, work_s=0.09):
        self.deployment, self.name, self.service = deployment, name, service
        self.slots, self.work_s = slots, work_s
        self.number = 0
        self.back_s = 3.0
        self.is_up = False
        self.is_deadly = lambda request: False
        self.reply = None
        self.on_arrival = lambda worker, request: None
        self.on_run = lambda worker, request: None
        self.on_crash = lambda worker: None
        self._writers = set()
        self._running = self._waiting = 0
        self._server = None
        deployment.workers.append(self)

    @property
    def server_id(self):
        return f"{self.name}.{self.number}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._running = self._waiting = 0
        self._slots = asyncio.Semaphore(self.slots)
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.register()

    def register(self):
        self.deployment.platform.register(
            self.server_id, self.service, self.port, self.slots, born=self.born
        )

    def stop(self):
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _crash(self):
        if not self.is_up:
            return
        entry = f"servers/{self.server_id}"
        self.stop()
        self.on_crash(self)

        async def come_back():
            await asyncio.sleep(self.back_s)
            self.number += 1
            await self.start()
            # The old entry ends after three check-in intervals of silence.
            await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - self.back_s))
            self.deployment.platform.store.remove(entry)

        self.deployment.tasks.append(asyncio.create_task(come_back()))

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            request = await read_request(reader)
            self.on_arrival(self, request)
            await self._answer(request, reader, writer)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        request_id = request.headers.get("boragespring-attempt-id", "")
        if request.headers.get("boragespring-expected-instance", self.server_id) != self.server_id:
            writer.write(self._encode(421, request_id, b""))
            return
        if not request_id:
            writer.write(self._encode(400, "", b"", {"Boragespring-Not-Executed": "1"}))
            return
        if self._waiting >= 24:
            writer.write(self._encode(503, request_id, b"", {"Boragespring-Not-Executed": "1"}))
            return
        left = asyncio.create_task(reader.read(1))
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            if left.done():
                return
            self.on_run(self, request)
            if self.is_deadly(request):
                await asyncio.sleep(0.05)
                await self._crash()
                return
            done, _ = await asyncio.wait((left,), timeout=self.work_s)
            if done:
                return
            odd = self.reply(request) if self.reply else None
            body = f"answer to {request_id}".encode()
            signed = {"Boragespring-Response-Signature": "signed"}
            writer.write(odd if odd is not None else self._encode(200, request_id, body, signed))
        finally:
            left.cancel()
            self._running -= 1
            self._slots.release()

    def _encode(self, status, request_id, body, headers=None):
        fields = {
            "Boragespring-Instance-Id": self.server_id,
            "Boragespring-Server-Load": f"{self._running},{self._waiting},{self.slots}",
            **(headers or {}),
            "Content-Length": str(len(body)),
        }
        if request_id:
            fields["Boragespring-Attempt-Id"] = request_id
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"HTTP/1.1 {status} Reason\r\n{head}\r\n".encode() + body


class Request:
    """Request as a worker received it; names of headers are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.rstrip("\r\n").split("\r\n")
    method, target, _ = line.split(" ")
    pairs = (field.partition(":") for field in fields)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


_numbers = iter(range(1, 10**9))


def new_id():
    return f"{os.getpid():06x}{next(_numbers):010x}"


def encode_request(method, target, request_id, remaining_ms, body=b"", key="key-1", headers=None):
    fields = {
        "Host": "desk.example",
        "Boragespring-Attempt-Id": request_id,
        "Boragespring-Time-Remaining": str(remaining_ms),
        "Boragespring-Credential": key,
        **(headers or {}),
    }
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body


async def exchange(gateway, data, timeout_s):
    """Send one request on a new connection; return its status and body.

    The status is 0 if the answer is not complete.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
            writer.write(data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            line, *fields = head.rstrip("\r\n").split("\r\n")
            pairs = (field.partition(":") for field in fields)
            headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
            if headers.get("transfer-encoding") == "chunked":
                body = await _read_chunks(reader)
            else:
                body = await reader.readexactly(int(headers.get("content-length", "0")))
            return int(line.split(" ")[1]), body
    except (asyncio.IncompleteReadError, TimeoutError, OSError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def _read_chunks(reader):
    body = b""
    while size := int((await reader.readline()).strip(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


def run_case(folder, case):
    """Run a case; return the exit code that the issue asks for."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        async with asyncio.timeout(LIMIT_S):
            return await case(record, has_trouble)

    try:
        is_broken = asyncio.run(bounded())
        code = BROKEN if is_broken else HELD
    except Exception as error:  # the case could not run
        record.say(f"could not run: {type(error).__name__} {error}")
        code = COULD_NOT_RUN
    record.say(f"trouble={int(has_trouble)} exit={code}")
    record.write()
    sys.exit(code)
