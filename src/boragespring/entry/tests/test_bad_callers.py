"""Misbehaving callers and peers must not leave runs or tasks behind."""

import asyncio
import json
import socket

import aiohttp
import pytest

from boragespring.local import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalDeployment,
    LocalSettings,
)
from boragespring.settings import CallerSettings
from boragespring.settings.agent import AnswerSettings
from boragespring.standins import EngineCoreSettings

CLEANUP_TIMEOUT_S = 20.0
STABLE_SAMPLES = 12
FAST_ENGINE = EngineCoreSettings(
    memory_tokens=500_000, token_interval_s=0.00005, token_interval_per_run_s=0
)


@pytest.fixture
async def deployment():
    settings = LocalSettings(
        core=FAST_ENGINE,
        callers=CallerSettings(write_timeout_s=0.3, window_tokens=64),
        # With a longer timeout, the fast engine would finish before the cancellation.
        answers=AnswerSettings(resume_timeout_s=0.2),
    )
    async with LocalDeployment(settings) as running:
        async with aiohttp.ClientSession() as session:
            url = running.entries["entry-0"].url
            while True:
                async with session.get(f"{url}/readyz") as response:
                    if response.status == 200:
                        break
                await asyncio.sleep(0.02)
        yield running


class RemainingWork:
    """Work that runs in the deployment beyond its idle state."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.tasks = len(asyncio.all_tasks())

    def current(self):
        """Return the number of items beyond the idle state by kind."""
        ledgers = [engine.ledger for engine in self.deployment.engines]
        return {
            "generations": sum(
                run.state == "running" for ledger in ledgers for run in ledger
            ),
            "answers": sum(entry.running for entry in self.deployment.entries.values()),
            "at agents": sum(
                agent.running for agent in self.deployment.agents.values()
            ),
            "tasks": max(0, len(asyncio.all_tasks()) - self.tasks),
        }

    async def wait_until_none(self):
        """Wait until no work remains; fail with the last counts on a timeout."""
        try:
            async with asyncio.timeout(CLEANUP_TIMEOUT_S):
                while any(self.current().values()):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            pytest.fail(f"work that remains: {self.current()}")


@pytest.fixture
async def remaining_work(deployment):
    task_counts = [0]
    while (
        len(task_counts) < STABLE_SAMPLES or len({*task_counts[-STABLE_SAMPLES:]}) > 1
    ):
        await asyncio.sleep(0.05)
        task_counts.append(len(asyncio.all_tasks()))
    return RemainingWork(deployment)


def request_bytes(output_tokens, *headers):
    body = json.dumps(
        {
            "model": LOCAL_MODEL,
            "prompt": "p",
            "stream": True,
            "max_tokens": output_tokens,
            "standin_output_tokens": output_tokens,
        }
    ).encode()
    lines = (
        b"POST /v1/completions HTTP/1.1",
        b"Host: entry",
        f"Authorization: Bearer {LOCAL_API_KEY}".encode(),
        f"Content-Length: {len(body)}".encode(),
        *headers,
    )
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def connect(port, receive_buffer_bytes=None):
    client_socket = socket.socket()
    if receive_buffer_bytes is not None:
        client_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    client_socket.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client_socket, ("127.0.0.1", port))
    return await asyncio.open_connection(sock=client_socket, limit=1024)


async def test_caller_that_stops_reading_is_disconnected(deployment, remaining_work):
    entry = deployment.entries["entry-0"]
    reader, writer = await connect(entry.http_port, 4096)
    writer.write(request_bytes(100_000))
    while not deployment.engines[0].ledger:
        await asyncio.sleep(0.01)
    await remaining_work.wait_until_none()
    run = deployment.engines[0].ledger[0]
    assert run.state == "cancelled"
    assert run.produced_tokens < 100_000
    async with aiohttp.ClientSession() as session:
        async with session.get(f"{entry.url}/metrics") as response:
            page = await response.text()
    assert 'code="caller_too_slow"' in page
    writer.close()


async def test_disconnected_callers_leave_no_work_behind(deployment, remaining_work):
    entry = deployment.entries["entry-0"]
    connections = [await connect(entry.http_port) for _ in range(20)]
    for _, writer in connections:
        writer.write(request_bytes(50_000))
    for number, (reader, writer) in enumerate(connections):
        if number % 2:
            await reader.readline()
        writer.transport.abort()
    await remaining_work.wait_until_none()
    assert all(run.state == "cancelled" for run in deployment.engines[0].ledger)


MALFORMED_HEADS = {
    "large header": (b"X-Large: " + b"a" * 100_000, b"400"),
    "header that is not UTF-8": (b"X-Bytes: \xff\xfe", b"400"),
    "line that is not a header": (b"nonsense", b"400"),
}


@pytest.mark.parametrize("name", MALFORMED_HEADS)
async def test_malformed_head_is_rejected_without_a_run(
    deployment, remaining_work, name
):
    header, status = MALFORMED_HEADS[name]
    reader, writer = await connect(deployment.entries["entry-0"].http_port)
    writer.write(request_bytes(5, header))
    assert (await reader.readline()).split()[1] == status
    writer.close()
    await remaining_work.wait_until_none()
    assert not deployment.engines[0].ledger


@pytest.mark.parametrize(
    "garbage", [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 4096, b"\x93\x01\x00\x00"]
)
async def test_garbage_on_link_port_closes_connection_and_is_counted(
    deployment, remaining_work, garbage
):
    agent = deployment.agents["agent-0"]
    for port in (agent.link_port, deployment.entries["entry-0"].link_port):
        reader, writer = await connect(port)
        writer.write(garbage)
        async with asyncio.timeout(CLEANUP_TIMEOUT_S):
            while await reader.read(1024):
                pass
        writer.close()
    await remaining_work.wait_until_none()
    url = f"http://127.0.0.1:{agent.http_port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        page = await response.text()
    assert "boragespring_link_protocol_errors_total 1.0" in page
