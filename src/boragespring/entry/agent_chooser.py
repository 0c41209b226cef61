"""Selection of an agent among those that an entry is linked to."""

from boragespring.admission import TrafficClass
from boragespring.answers import NotRunError
from boragespring.answers.messages import SubmitGeneration
from boragespring.links import Dispatcher, Link
from boragespring.membership import AgentPeer, AgentPeers
from boragespring.routing import (
    AgentLoad,
    CacheDigest,
    Placement,
    RouteOutcome,
    Router,
    RouteRefusedCode,
    RouteRefusedError,
    RouteRequest,
    RouterSettings,
    prefix_hashes,
)

__all__ = ["AgentChooser"]


class AgentChooser:
    """Choose agents with one router per service.

    The routers are updated with the loads and cache digests that agents send.

    Parameters
    ----------
    peers : AgentPeers
        Agents that the entry is linked to.
    dispatcher : Dispatcher
        Receives the loads and cache digests from the links.
    zone : str
        Availability zone of the entry.
    settings : RouterSettings
        Routing policy and its limits.
    """

    def __init__(
        self,
        peers: AgentPeers,
        dispatcher: Dispatcher,
        zone: str,
        settings: RouterSettings,
    ) -> None:
        self._peers = peers
        self._zone = zone
        self._settings = settings
        self._routers: dict[str, Router] = {}
        dispatcher.on(AgentLoad, self._on_load)
        dispatcher.on(CacheDigest, self._on_digest)

    def __call__(
        self,
        service: str,
        excluded: frozenset[str],
        request: SubmitGeneration | None = None,
    ) -> AgentPeer | None:
        """Return an agent for a request, or None if no agent is available.

        Parameters
        ----------
        service : str
            Name of the service.
        excluded : frozenset of str
            Names of agents that must not be chosen.
        request : SubmitGeneration or None
            The generation; None for a call to a plain service.

        Raises
        ------
        NotRunError
            If the service is overloaded and sheds requests of this traffic class.
        """
        available = {
            peer.name: peer for peer in self._peers.available_agents(service, excluded)
        }
        router = self.router(service)
        self._update_router(service, router, available)
        try:
            return available[router.choose(_to_route_request(request), excluded)]
        except RouteRefusedError as error:
            if error.code is RouteRefusedCode.NO_AGENT:
                return None
            reason = f"{service} is overloaded and sheds this traffic class"
            raise NotRunError(error.code, reason, error.retry_after_s) from error

    def record_served(self, service: str, name: str) -> None:
        """Record that an agent completed an answer."""
        self.router(service).record_outcome(name, RouteOutcome.SERVED)

    def record_failed(self, service: str, name: str) -> None:
        """Record that an agent failed to complete an answer."""
        self.router(service).record_outcome(name, RouteOutcome.FAILED)

    def ejected(self) -> list[str]:
        """Return the names of all agents that are ejected after failures."""
        return sorted(
            name
            for router in self._routers.values()
            for name in router.ejected_agents()
        )

    def router(self, service: str) -> Router:
        """Return the router of a service, creating it on first use."""
        router = self._routers.get(service)
        if router is None:
            router = Router(self._zone, self._settings)
            self._routers[service] = router
        return router

    def _update_router(
        self, service: str, router: Router, available: dict[str, AgentPeer]
    ) -> None:
        if not router.candidates.keys() >= available.keys():
            router.set_agents(
                Placement(peer.name, peer.instance.availability_zone)
                for peer in self._peers.of_service(service)
            )
        for name in router.candidates:
            peer = available.get(name)
            router.set_linked(name, peer is not None)
            if peer is not None:
                router.set_open_requests(name, peer.in_flight, peer.share)

    def _on_load(self, link: Link, load: AgentLoad) -> None:
        self.router(link.peer.service).update_load(link.peer.name, load)

    def _on_digest(self, link: Link, digest: CacheDigest) -> None:
        self.router(link.peer.service).update_digest(link.peer.name, digest)


def _to_route_request(request: SubmitGeneration | None) -> RouteRequest:
    if request is None:
        # A call to a plain service uses no engine memory and is shed last.
        return RouteRequest(class_rank=0)
    return RouteRequest(
        TrafficClass.from_name(request.traffic_class).rank,
        request.prompt_tokens,
        request.max_tokens,
        prefix_hashes(request.prompt),
    )
