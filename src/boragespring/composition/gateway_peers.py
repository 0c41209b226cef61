"""Build the links of a gateway to other gateways."""

import time
from collections.abc import Iterable

from attrs import evolve, frozen
from prometheus_client import CollectorRegistry

from boragespring.decisions import DecisionLog
from boragespring.gateway_peers import PeerNetwork, PeerNetworkSettings
from boragespring.gateway_peers.topology import SEED_NAME_PREFIX
from boragespring.links import Dispatcher, Identity, LinkContext, LinkServer
from boragespring.links.messages import PROTOCOL_VERSION
from boragespring.membership.entry_peers import EntryPeers
from boragespring.metrics import LinkMetrics
from boragespring.rendezvous import is_responsible
from boragespring.settings.gateway import GatewaySettings
from boragespring.store.instances import Instance, InstanceRole

__all__ = ["GatewayPeers", "build_gateway_peers", "local_instance"]


@frozen
class GatewayPeers:
    """Links to the other gateways.

    Parameters
    ----------
    dispatcher : Dispatcher
        Registry for the message handlers of all links.
    server : LinkServer
        Accepts links from other gateways.
    entries : EntryPeers
        Maintains the links that this gateway dials; gateways have the role of
        entries on links and in the instance list.
    network : PeerNetwork
        Chooses the gateways to dial and sends to all others.
    """

    dispatcher: Dispatcher
    server: LinkServer
    entries: EntryPeers
    network: PeerNetwork

    async def close(self) -> None:
        """Stop dialing and close the links that this gateway has dialed."""
        self.entries.stop()

    def is_responsible(self, key: str) -> bool:
        """Return whether this gateway, of all known ones, is responsible for a key."""
        return is_responsible(key, self.network.local_name, self.network.known_names())

    def count(self) -> int:
        """Return the number of known gateways, including this one; at least 1."""
        return max(1, len(self.entries.entries))


def build_gateway_peers(
    settings: GatewaySettings, registry: CollectorRegistry, log: DecisionLog
) -> GatewayPeers:
    """Return the links of a gateway, which first dial the seeds of its settings."""
    dispatcher = Dispatcher()
    dispatcher.on_up(lambda link: log.lifecycle("peer_up", peer=link.peer.name))
    dispatcher.on_down(
        lambda link: log.lifecycle(
            "peer_down", peer=link.peer.name, reason=link.close_reason
        )
    )
    identity = Identity(
        protocol_version=PROTOCOL_VERSION,
        name=settings.name,
        role="entry",
        incarnation=time.time_ns(),
        availability_zone=settings.availability_zone,
    )
    context = LinkContext(identity, dispatcher, settings.links, LinkMetrics(registry))
    entries = EntryPeers(context)
    network = PeerNetwork(
        local_instance(settings), dispatcher, entries, PeerNetworkSettings()
    )
    network.apply_gateways(tuple(_seed_instances(settings)))
    return GatewayPeers(
        dispatcher, LinkServer(settings.peers, context), entries, network
    )


def _seed_instances(settings: GatewaySettings) -> Iterable[Instance]:
    """Return placeholder instances for the seeds in the settings.

    The seeds are dialed until the store has returned the list of gateways.
    """
    return (
        evolve(
            local_instance(settings),
            name=f"{SEED_NAME_PREFIX}{seed.host}:{seed.port}",
            host=seed.host,
            link_port=seed.port,
        )
        for seed in settings.seeds
        if seed != settings.peers
    )


def local_instance(settings: GatewaySettings) -> Instance:
    """Return this gateway; ``settings.peers`` is its own address for links."""
    return Instance(
        name=settings.name,
        role=InstanceRole.ENTRY,
        service="",
        region=settings.region,
        availability_zone=settings.availability_zone,
        host=settings.peers.host,
        link_port=settings.peers.port,
        http_port=0,
        cpu_cores=settings.cpu_cores,
    )
