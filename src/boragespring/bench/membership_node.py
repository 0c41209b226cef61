"""Run one side of the membership benchmark in a process of its own.

The command is ``python -m boragespring.bench.membership_node ROLE SIDE COUNT
[PORT...]``. The side ``node`` is the measured process, which has the given role;
the side ``peers`` runs the COUNT peers that are linked to it. Agents listen and
entries connect: the side of the agents prints its ports as JSON, and the node
prints its results as JSON.
"""

import asyncio
import gc
import json
import os
import resource
import sys
import time

from prometheus_client import CollectorRegistry, Counter

from boragespring.admission import AdmissionQueue, AdmissionSettings
from boragespring.agent.workload import Workload
from boragespring.bench.process_usage import resident_bytes
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
WARMUP_S = 3.0
WINDOW_S = 2.5
WINDOWS = 4
LINK_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class _StaticInstanceSource:
    """Source of an instance list that never changes.

    Parameters
    ----------
    ports : list of int
        Link port of each agent in the list.
    """

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
        """Return the instance list."""
        return self._instances

    async def close(self) -> None:
        """Do nothing, because there is no connection to close."""


def _identity(name: str, role: str) -> Identity:
    return Identity(PROTOCOL_VERSION, name, role, time.time_ns(), ZONE, SERVICE)


def _agent_dispatcher() -> Dispatcher:
    """Return a dispatcher with the message handlers of an idle agent."""
    dispatcher = Dispatcher()
    queue = AdmissionQueue(AdmissionSettings(memory_tokens=100_000))
    workload = Workload(queue)

    def send_state_and_load(link: Link) -> None:
        link.send(workload.state())
        link.send(workload.load())

    dispatcher.on(LeaveNotice, lambda *_: None)
    dispatcher.on_up(send_state_and_load)
    dispatcher.on_tick(send_state_and_load)
    ListsDistribution(ListsReplica(), dispatcher, is_entry=False)
    return dispatcher


def _entry_dispatcher() -> Dispatcher:
    """Return a dispatcher for an entry that ignores the state and load it receives."""
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


async def _run_agents(count: int) -> None:
    """Run agents that accept the links of the measured entry."""
    metrics = LinkMetrics(CollectorRegistry())
    servers = [await _start_agent(f"agent-{n}", metrics) for n in range(count)]
    _print_json([server.port for server in servers])
    await asyncio.Event().wait()


async def _run_entries(count: int, port: int) -> None:
    """Run entries that connect to the measured agent."""
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
    """Connect to the agents on the given ports and measure this entry."""
    registry = CollectorRegistry()
    metrics = LinkMetrics(registry)
    dispatcher = Dispatcher()
    before_bytes = resident_bytes(os.getpid())
    peers = AgentPeers(
        _StaticInstanceSource(ports),
        LinkContext(_identity("entry-0", "entry"), dispatcher, LinkSettings(), metrics),
        2.0,
    )
    AgentChooser(peers, dispatcher, ZONE, RouterSettings())
    ListsDistribution(ListsReplica(), dispatcher, is_entry=True)
    task = asyncio.create_task(peers.run())
    async with asyncio.timeout(LINK_TIMEOUT_S):
        while _count_links(peers) < len(ports):  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
    await _measure(metrics, before_bytes)
    task.cancel()


async def _measure_agent(count: int) -> None:
    """Wait for the links of the entries and measure this agent."""
    metrics = LinkMetrics(CollectorRegistry())
    before_bytes = resident_bytes(os.getpid())
    server = await _start_agent("agent-0", metrics)
    _print_json([server.port])
    async with asyncio.timeout(LINK_TIMEOUT_S):
        while sum(link.is_up for link in server.links) < count:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
    await _measure(metrics, before_bytes)
    await server.stop()


def _count_links(peers: AgentPeers) -> int:
    return sum(peer.link is not None for peer in peers.of_service(SERVICE))


async def _measure(metrics: LinkMetrics, before_bytes: int) -> None:
    await asyncio.sleep(WARMUP_S)
    gc.collect()
    memory_bytes = resident_bytes(os.getpid()) - before_bytes
    started_s = time.monotonic()
    sent, received = _traffic_bytes(metrics)
    cpu_shares = [await _cpu_share() for _ in range(WINDOWS)]
    elapsed_s = time.monotonic() - started_s
    sent_after, received_after = _traffic_bytes(metrics)
    results = {
        # Other programs on the machine can only increase the CPU time.
        "cpu_share": min(cpu_shares),
        "sent_bytes_per_s": (sent_after - sent) / elapsed_s,
        "received_bytes_per_s": (received_after - received) / elapsed_s,
        "memory_bytes": memory_bytes,
    }
    _print_json(results)


async def _cpu_share() -> float:
    start_cpu_time_s, started_s = _cpu_time_s(), time.monotonic()
    await asyncio.sleep(WINDOW_S)
    return (_cpu_time_s() - start_cpu_time_s) / (time.monotonic() - started_s)


def _traffic_bytes(metrics: LinkMetrics) -> tuple[float, float]:
    return _counter_value(metrics.sent_bytes), _counter_value(metrics.received_bytes)


def _counter_value(counter: Counter) -> float:
    return next(iter(counter.collect())).samples[0].value


def _cpu_time_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _print_json(value: object) -> None:
    sys.stdout.write(json.dumps(value) + "\n")
    sys.stdout.flush()


def main(arguments: list[str]) -> None:
    """Run the side of the benchmark that the command-line arguments specify."""
    role, side, count, *ports = arguments
    match role, side:
        case "entry", "peers":
            asyncio.run(_run_agents(int(count)))
        case "entry", "node":
            asyncio.run(_measure_entry([int(port) for port in ports]))
        case "agent", "node":
            asyncio.run(_measure_agent(int(count)))
        case "agent", "peers":
            asyncio.run(_run_entries(int(count), int(ports[0])))


if __name__ == "__main__":
    main(sys.argv[1:])
