"""Crowds of callers that do not behave, and the processes that have to bear them."""

import asyncio
import contextlib
import socket
from functools import partial
from pathlib import Path

import aiohttp
from attrs import define, evolve, frozen

from boragespring.child_processes import ProcessSet, free_ports
from boragespring.platform.emulator import EmulatedPlatform
from boragespring.platform.emulator.catalog import STANDARD_ROUTES
from boragespring.platform.soak.deployment import LoopbackNetwork
from boragespring.platform.tests.support import request_headers

SETTINGS = """node = "gateway"
zone = "zone-a"
region = "region"
ip_address = "{host}"
internal_ports = [{peers}, {peers}]
[listen]
front = "{host}:{callers}"
ready = "{host}:{ready}"
[limits]
memory_mb = {memory_mb}
file_descriptors = {file_descriptors}
[platform]
address = "{store}"
"""
MEGABYTE = 10**6
#: Receive buffer of a caller that does not take its replies.
SMALL_BUFFER_BYTES = 4096
#: Time in which the process takes what the crowd has sent, before it is looked at.
SETTLE_S = 3.0
ORDINARY_TRIES = 40
#: Beyond the duration of a test, whatever the speed of the machine.
ROUTE_TIMEOUT_MS = 100_000
RETRY_DELAY_S = 0.25


@frozen
class ProcessLimits:
    """Limits of the machine on which a process runs."""

    memory_mb: int
    file_descriptors: int


@define
class BearingProcess:
    """Process under test, and what it may use."""

    name: str
    processes: ProcessSet
    host: str
    port: int
    limits: ProcessLimits

    @property
    def pid(self):
        return self.processes.pid(self.name)

    def peak_memory_bytes(self):
        """Return the most memory that was resident since the start."""
        status = Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
        line = next(each for each in status.splitlines() if "VmHWM" in each)
        return int(line.split()[1]) * 1024

    def descriptors(self):
        return len(list(Path(f"/proc/{self.pid}/fd").iterdir()))

    async def check_bearing(self):
        """Check that the process lives within the limits of its machine."""
        with contextlib.suppress(TimeoutError):
            code = await self.processes.wait(self.name, 0.01)
            raise AssertionError(f"ended with {code}: {self.processes}")
        peak_mb = self.peak_memory_bytes() / MEGABYTE
        count = self.descriptors()
        print(f"peak memory of {peak_mb:.0f} MB, {count} open descriptors")
        assert peak_mb <= self.limits.memory_mb, f"peak memory of {peak_mb:.0f} MB"
        assert count <= self.limits.file_descriptors, f"{count} open descriptors"


@contextlib.asynccontextmanager
async def gateway_process(directory, limits, caller_limits, routes=STANDARD_ROUTES):
    """Run the store and a server here, and a gateway in a process of its own."""
    network = LoopbackNetwork(90)
    routes = [evolve(route, timeout_ms=ROUTE_TIMEOUT_MS) for route in routes]
    platform = EmulatedPlatform(limits=caller_limits, routes=routes)
    host = network.host(1)
    callers, ready, peers = free_ports(3)
    path = directory / "gateway.toml"
    try:
        await platform.start(engines=1, services=1)
        text = SETTINGS.format(
            host=host,
            peers=peers,
            callers=callers,
            ready=ready,
            memory_mb=limits.memory_mb,
            file_descriptors=limits.file_descriptors,
            store=platform.store.address,
        )
        path.write_text(text, encoding="utf-8")
        async with ProcessSet(directory) as processes:
            arguments = ("--settings", str(path))
            await processes.start("gateway", "boragespring.cli.gateway", *arguments)
            process = BearingProcess("gateway", processes, host, callers, limits)
            await wait_until_served(partial(look, process))
            yield process, platform
    finally:
        await platform.stop()
        network.close()


async def wait_until_served(send, tries=ORDINARY_TRIES):
    """Send an ordinary request, as often as refused, until it is answered.

    `send` gets the number of the try and returns the status.
    """
    seen = []
    for number in range(tries):
        try:
            status = await send(number)
        except (aiohttp.ClientError, TimeoutError) as error:
            status = repr(error)
        if status == 200:
            return
        seen.append(status)
        await asyncio.sleep(RETRY_DELAY_S)
    raise AssertionError(f"no ordinary request was answered: {seen}")


async def look(process, number):
    """Return the status of one ordinary request to a gateway."""
    url = f"http://{process.host}:{process.port}/look/x"
    headers = request_headers(f"ordinary-{number}")
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers, data=b"x" * 200) as response,
    ):
        await response.read()
        return response.status


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def head(request_id, path="/look/x", framing="Transfer-Encoding: chunked", more=""):
    headers = request_headers(request_id, remaining_ms=600_000)
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST {path} HTTP/1.1\r\n{fields}{more}{framing}\r\n\r\n".encode()


class Crowd:
    """Connections that send what they are given and never take a reply."""

    def __init__(self, process):
        self._process = process
        self._sockets = []
        self._tasks = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for each in self._sockets:
            each.close()

    async def add(self, pieces, receive_buffer_bytes=SMALL_BUFFER_BYTES):
        """Open a connection and begin to send pieces on it; it then stays open."""
        each = socket.socket()
        each.setblocking(False)
        if receive_buffer_bytes:
            each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self._sockets.append(each)
        task = asyncio.create_task(self._send(each, pieces))
        self._tasks.append(task)

    async def _send(self, each, pieces):
        loop = asyncio.get_running_loop()
        address = (self._process.host, self._process.port)
        # Being refused or closed is what may happen to such a caller.
        with contextlib.suppress(OSError):
            await loop.sock_connect(each, address)
            for piece in pieces:
                await loop.sock_sendall(each, piece)

    async def settle(self):
        """Wait until all is sent, or no longer taken by the process."""
        await asyncio.wait(self._tasks, timeout=SETTLE_S)
        await asyncio.sleep(SETTLE_S)
