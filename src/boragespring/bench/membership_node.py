"""One end of the links of the measurement of membership, as a process.

``python -m boragespring.bench.membership_node ROLE SIDE COUNT [PORT...]``: the
side ``node`` is the process that is measured, ``peers`` holds its peers. The
side that listens prints its ports, the node prints its figures.
"""

import asyncio
import gc
import json
import os
import resource
import sys
import time

import psutil
from prometheus_client import CollectorRegistry, Counter

from boragespring.admission import AdmissionQueue, AdmissionSettings
from boragespring.agent.workload import Workload
from boragespring.entry.agent_chooser import AgentChooser
from boragespring.links import (
    Dispatcher,
    Identity,
    Link,
    LinkContext,
    LinkDialer,
    LinkServer,
)
from boragespring.links.messages import PROTOCOL_VERSION
from boragespring.lists import ListsReplica
from boragespring.lists.distribution import ListsDistribution
from boragespring.membership import AgentPeers, AgentState, LeaveNotice
from boragespring.metrics import LinkMetrics
from boragespring.routing import AgentLoad, CacheDigest, RouterSettings
from boragespring.settings import AddressSettings, LinkSettings
from boragespring.store.instances import Instance, InstanceRole

__all__ = ["main"]

HOST = "127.0.0.1"
SERVICE, ZONE = "model-pool", "jihlava"
SETTLE_S = 3.0
WINDOW_S = 2.5
WINDOWS = 4
LINK_TIMEOUT_S = 30.0
POLL_S = 0.05


class _StaticList:
    """Instance list that never changes."""

    def __init__(self, ports: list[int]) -> None:
        self._instances = tuple(
            Instance(
                f"agent-{number}",
                InstanceRole.AGENT,
                SERVICE,
                "vysocina",
                ZONE,
                HOST,
                port,
                0,
            )
            for number, port in enumerate(ports)
        )

    async def fetch(self) -> tuple[Instance, ...]:
        """Return the list."""
        return self._instances

    async def close(self) -> None:
        """Do nothing."""


def _identity(name: str, role: str) -> Identity:
    return Identity(PROTOCOL_VERSION, name, role, time.time_ns(), ZONE, SERVICE)


def _agent_dispatcher() -> Dispatcher:
    """Return the handlers of an agent at rest."""
    dispatcher = Dispatcher()
    queue = AdmissionQueue(AdmissionSettings(memory_tokens=100_000))
    workload = Workload(queue)

    def tell(link: Link) -> None:
        link.send(workload.state())
        link.send(workload.load())

    dispatcher.on(LeaveNotice, lambda *_: None)
    dispatcher.on_up(tell)
    dispatcher.on_tick(tell)
    ListsDistribution(ListsReplica(), dispatcher, is_entry=False)
    return dispatcher


def _entry_dispatcher() -> Dispatcher:
    """Return the handlers of an entry that only listens to loads."""
    dispatcher = Dispatcher()
    for cls in (AgentState, AgentLoad, CacheDigest):
        dispatcher.on(cls, lambda *_: None)
    ListsDistribution(ListsReplica(), dispatcher, is_entry=True)
    return dispatcher


async def _start_agent(name: str, metrics: LinkMetrics) -> LinkServer:
    server = LinkServer(
        AddressSettings(HOST),
        LinkContext(
            _identity(name, "agent"), _agent_dispatcher(), LinkSettings(), metrics
        ),
    )
    await server.start()
    return server


async def _hold_agents(count: int) -> None:
    """Run agents that wait for the links of the node."""
    metrics = LinkMetrics(CollectorRegistry())
    servers = [await _start_agent(f"agent-{n}", metrics) for n in range(count)]
    _print([server.port for server in servers])
    await asyncio.Event().wait()


async def _hold_entries(count: int, port: int) -> None:
    """Run entries that link to the node."""
    metrics = LinkMetrics(CollectorRegistry())
    dialers = [
        LinkDialer(
            HOST,
            port,
            LinkContext(
                _identity(f"entry-{number}", "entry"),
                _entry_dispatcher(),
                LinkSettings(),
                metrics,
            ),
        )
        for number in range(count)
    ]
    await asyncio.gather(*(dialer.run() for dialer in dialers))


async def _measure_entry(ports: list[int]) -> None:
    """Link to the agents of the ports and measure."""
    registry = CollectorRegistry()
    metrics = LinkMetrics(registry)
    dispatcher = Dispatcher()
    before_bytes = _memory_bytes()
    peers = AgentPeers(
        _StaticList(ports),
        LinkContext(_identity("entry-0", "entry"), dispatcher, LinkSettings(), metrics),
        2.0,
    )
    AgentChooser(peers, dispatcher, ZONE, RouterSettings())
    ListsDistribution(ListsReplica(), dispatcher, is_entry=True)
    task = asyncio.create_task(peers.run())
    async with asyncio.timeout(LINK_TIMEOUT_S):
        while _linked(peers) < len(ports):  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
    await _measure(metrics, before_bytes)
    task.cancel()


async def _measure_agent(count: int) -> None:
    """Wait for the links of the entries and measure."""
    metrics = LinkMetrics(CollectorRegistry())
    before_bytes = _memory_bytes()
    server = await _start_agent("agent-0", metrics)
    _print([server.port])
    async with asyncio.timeout(LINK_TIMEOUT_S):
        while sum(link.is_up for link in server.links) < count:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
    await _measure(metrics, before_bytes)
    await server.stop()


def _linked(peers: AgentPeers) -> int:
    return sum(peer.link is not None for peer in peers.of_service(SERVICE))


async def _measure(metrics: LinkMetrics, before_bytes: int) -> None:
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    memory_bytes = _memory_bytes() - before_bytes
    start_s = time.monotonic()
    sent, received = _counts(metrics)
    cpu_shares = [await _cpu_share() for _ in range(WINDOWS)]
    took_s = time.monotonic() - start_s
    sent_after, received_after = _counts(metrics)
    figures = {
        # Other programs on the machine only add to the time.
        "cpu_share": min(cpu_shares),
        "sent_bytes_per_s": (sent_after - sent) / took_s,
        "received_bytes_per_s": (received_after - received) / took_s,
        "memory_bytes": memory_bytes,
    }
    _print(figures)


async def _cpu_share() -> float:
    start_cpu_s, start_s = _cpu_s(), time.monotonic()
    await asyncio.sleep(WINDOW_S)
    return (_cpu_s() - start_cpu_s) / (time.monotonic() - start_s)


def _counts(metrics: LinkMetrics) -> tuple[float, float]:
    return _value(metrics.sent_bytes), _value(metrics.received_bytes)


def _value(counter: Counter) -> float:
    return next(iter(counter.collect())).samples[0].value


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _memory_bytes() -> int:
    used: int = psutil.Process(os.getpid()).memory_info().rss
    return used


def _print(value: object) -> None:
    sys.stdout.write(json.dumps(value) + "\n")
    sys.stdout.flush()


def main(arguments: list[str]) -> None:
    """Run one side."""
    role, side, count, *ports = arguments
    match role, side:
        case "entry", "peers":
            asyncio.run(_hold_agents(int(count)))
        case "entry", "node":
            asyncio.run(_measure_entry([int(port) for port in ports]))
        case "agent", "node":
            asyncio.run(_measure_agent(int(count)))
        case "agent", "peers":
            asyncio.run(_hold_entries(int(count), int(ports[0])))


if __name__ == "__main__":
    main(sys.argv[1:])
