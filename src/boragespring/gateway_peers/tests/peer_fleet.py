"""Many gateways in one process, with links in memory, in virtual time."""

import asyncio
import logging
from collections import Counter, deque
from types import SimpleNamespace

from attrs import define, field

from boragespring.decisions import DecisionLog
from boragespring.fleet import Fleet, FleetSettings, Registration
from boragespring.fleet.model import RunLoad, ServerAddress
from boragespring.gateway_peers import (
    CrashSharing,
    EvacuationSharing,
    LoadSharing,
    LoadSharingSettings,
    ObservationSharing,
    PeerNetwork,
    PeerNetworkSettings,
    RateSharing,
    StopSharing,
)
from boragespring.links import Dispatcher, LinkClosedError
from boragespring.outliers import OutlierDetector, OutlierSettings
from boragespring.quarantine import (
    CrashEvidence,
    QuarantineSettings,
    RequestQuarantine,
)
from boragespring.server_rates import (
    PermitIssuer,
    RateLimiterSettings,
    ServerRateLimiter,
)
from boragespring.store.instances import Instance, InstanceRole

LATENCY_S = 0.001
REDIAL_S = 0.1
SILENCE_S = 1.2
REFRESH_S = 0.25


@define(eq=False)
class MemoryLink:
    """One end of a link; what one end sends, the other one handles later."""

    local: "PeerGateway"
    peer: SimpleNamespace
    other: "MemoryLink | None" = None
    is_up: bool = True
    in_transit: deque = field(factory=deque)

    def send(self, message):
        if not self.is_up:
            raise LinkClosedError("closed")
        # Timers of equal times may run in any order, messages may not.
        self.other.in_transit.append(message)
        asyncio.get_running_loop().call_later(LATENCY_S, self.other.receive)

    def receive(self):
        message = self.in_transit.popleft()
        gateways = self.local.group
        if not self.is_up or gateways.is_cut(self.local.name, self.peer.name):
            return
        self.local.received[type(message).__name__] += 1
        self.local.dispatcher.handlers[type(message)](self, message)

    async def call(self, message, reply_type, timeout_s):
        """Let the other end handle a call, and return its reply."""
        await asyncio.sleep(LATENCY_S)
        if not self.is_up or self.local.group.is_cut(self.local.name, self.peer.name):
            raise LinkClosedError("closed")
        other = self.other
        reply = await other.local.dispatcher.call_handlers[type(message)](
            other, message
        )
        assert type(reply) is reply_type
        await asyncio.sleep(LATENCY_S)
        return reply

    def close(self):
        if self.is_up:
            self.is_up = False
            for hook in self.local.dispatcher.down_hooks:
                hook(self)


class MemoryEntries:
    """Dials the selected gateways again and again until they answer."""

    def __init__(self, gateway):
        self._gateway = gateway
        self._select = frozenset
        self._dialed = {}
        self.entries = ()

    def add_selector(self, select):
        self._select = select

    def apply_instances(self, instances):
        self.entries = instances
        self.refresh()

    def refresh(self):
        wanted = self._select() - {self._gateway.name}
        for name in sorted(self._dialed.keys() - wanted):
            self._dialed.pop(name).close()
        for name in sorted(wanted - self._dialed.keys()):
            self._dialed[name] = Dial(self._gateway, name)

    def down_since_s(self, name):
        dial = self._dialed.get(name)
        if dial is None or (dial.link is not None and dial.link.is_up):
            return float("inf")
        return dial.down_since_s

    def stop(self):
        for dial in self._dialed.values():
            dial.task.cancel()


class Dial:
    """Connection attempts to one gateway."""

    def __init__(self, gateway, name):
        self.link = None
        self.down_since_s = asyncio.get_running_loop().time()
        self.task = asyncio.create_task(self._run(gateway, name))

    async def _run(self, gateway, name):
        while True:
            await asyncio.sleep(LATENCY_S)
            if gateway.group.is_reachable(gateway.name, name):
                self.link = gateway.group.connect(gateway, name)
                await gateway.group.wait_until_broken(self.link)
                self.down_since_s = asyncio.get_running_loop().time()
            await asyncio.sleep(REDIAL_S)

    def close(self):
        self.task.cancel()
        if self.link is not None and self.link.is_up:
            self.link.other.close()
            self.link.close()


class PeerGateway:
    """Components of one gateway that talk to other gateways."""

    def __init__(self, group, instance, servers):
        clock = asyncio.get_running_loop().time
        self.group = group
        self.instance = instance
        self.received = Counter()
        self.ended = Counter()
        self.dispatcher = Dispatcher()
        self.entries = MemoryEntries(self)
        self.fleet = Fleet(
            FleetSettings(), DecisionLog(logger=logging.Logger("quiet", 60)), clock
        )
        for server_id in servers:
            self.fleet.register(
                Registration(server_id, "m", ServerAddress("h", 1), "zone-0", 8)
            )
        self.network = PeerNetwork(
            instance, self.dispatcher, self.entries, PeerNetworkSettings(), clock
        )
        self.loads = LoadSharing(
            self.fleet, self.dispatcher, self.network, LoadSharingSettings(), clock
        )
        self.stops = StopSharing(self.dispatcher, self.network, clock)
        self.evacuations = EvacuationSharing(self.network, self.loads.has_load)
        self.evacuations.leaving_hooks.append(self._count_leaving)
        sharing = RateSharing(self.fleet, self.dispatcher, self.network)
        sharing.issuer = PermitIssuer(clock=clock)
        self.rates = ServerRateLimiter(
            sharing,
            lambda: len(self.entries.entries),
            RateLimiterSettings(),
            DecisionLog(logger=logging.Logger("quiet", 60)),
            clock,
        )
        sharing.limiter = self.rates
        self.notify_rate = sharing.notify_rate
        self.quarantine = RequestQuarantine(
            CrashEvidence(clock=clock),
            QuarantineSettings(),
            lambda key: False,
            DecisionLog(logger=logging.Logger("quiet", 60)),
            clock,
        )
        CrashSharing(self.quarantine, self.dispatcher, self.network, clock)
        self.outliers = OutlierDetector(
            self.fleet,
            lambda: len(self.entries.entries),
            OutlierSettings(),
            DecisionLog(logger=logging.Logger("quiet", 60)),
            clock=clock,
        )
        self.outcomes = ObservationSharing(self.dispatcher, self.network, clock)
        self.outliers.outcome_hooks.append(self.outcomes.record_outcome)
        self.outcomes.outcome_hooks.append(self.outliers.add_outcomes)
        self.tasks = [
            asyncio.create_task(self.outcomes.run()),
            asyncio.create_task(self.loads.run()),
            asyncio.create_task(self._refresh()),
        ]

    @property
    def name(self):
        return self.instance.name

    async def _refresh(self):
        while True:
            await asyncio.sleep(REFRESH_S)
            self.loads.expire_outdated()
            self.stops.expire_outdated()
            self.outliers.evaluate()
            self.network.refresh()

    def _count_leaving(self, notice):
        self.ended[notice.server_id] += 1

    def place(self, server_id, run_id, tokens=100):
        server = self.fleet.find(server_id)
        server.runs[run_id] = RunLoad(tokens, 10.0, 0.0)
        self.loads.schedule_update()

    def seen_runs(self):
        return {server.server_id: server.open_runs for server in self.fleet.servers}

    def stop(self):
        self.entries.stop()
        for task in self.tasks:
            task.cancel()


class PeerFleet:
    """Gateways in several zones that can be killed, added and cut off."""

    def __init__(self, count, zones, servers):
        self._zones = zones
        self.servers = [f"server-{number}" for number in range(servers)]
        self.gateways = {}
        self.cut_zone = None
        self._numbers = iter(range(100_000))
        self.add(count)

    def add(self, count):
        for _ in range(count):
            number = next(self._numbers)
            instance = Instance(
                name=f"gateway-{number:03}",
                role=InstanceRole.ENTRY,
                service="",
                region="r",
                availability_zone=f"zone-{number % self._zones}",
                host="h",
                link_port=1,
                http_port=0,
                cpu_cores=2.0 if number % 7 == 0 else 0.4,
            )
            self.gateways[instance.name] = PeerGateway(self, instance, self.servers)
        self.publish()

    def publish(self):
        """Apply the list of the running gateways everywhere."""
        instances = tuple(gateway.instance for gateway in self.gateways.values())
        for gateway in self.gateways.values():
            gateway.network.apply_gateways(instances)

    def kill(self, names):
        """End gateways; the list of gateways still contains them."""
        for name in names:
            gateway = self.gateways.pop(name)
            gateway.stop()
            for links in list(gateway.network._links.values()):
                for link in list(links):
                    link.is_up = False
                    link.other.close()

    def is_cut(self, one, other):
        zones = {
            self.gateways[name].instance.availability_zone
            for name in (one, other)
            if name in self.gateways
        }
        return len(zones) == 2 and self.cut_zone in zones

    def is_reachable(self, one, other):
        return other in self.gateways and not self.is_cut(one, other)

    def connect(self, gateway, name):
        peer = self.gateways[name]
        local = MemoryLink(gateway, SimpleNamespace(name=name))
        local.other = MemoryLink(peer, SimpleNamespace(name=gateway.name), local)
        for end in (local, local.other):
            for hook in end.local.dispatcher.up_hooks:
                hook(end)
        return local

    async def wait_until_broken(self, link):
        """Wait until a link was closed, or silent for too long."""
        silent_s = 0.0
        while link.is_up:
            await asyncio.sleep(REDIAL_S)
            is_silent = self.is_cut(link.local.name, link.peer.name)
            silent_s = silent_s + REDIAL_S if is_silent else 0.0
            if silent_s > SILENCE_S:
                link.other.close()
                link.close()

    def true_runs(self, names=None):
        """Return the number of runs on each server by all, or the named gateways."""
        totals = Counter(dict.fromkeys(self.servers, 0))
        for name in names or self.gateways:
            for server in self.gateways[name].fleet.servers:
                totals[server.server_id] += len(server.runs)
        return dict(totals)

    def disagreeing(self, expected, names=None):
        """Return the gateways that see other loads than the expected ones."""
        return [
            name
            for name in names or self.gateways
            if self.gateways[name].seen_runs() != expected
        ]

    def names_in(self, zone):
        return [
            name
            for name, gateway in self.gateways.items()
            if gateway.instance.availability_zone == zone
        ]
