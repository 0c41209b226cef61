"""Share the rates that servers name, and the permits for their requests."""

from boragespring.external_values import check_integer, check_number
from boragespring.fleet import Fleet, ServerProcess
from boragespring.gateway_peers.messages import (
    PermitReply,
    PermitRequest,
    ServerRate,
)
from boragespring.gateway_peers.network import PeerNetwork
from boragespring.links import Dispatcher, Link, LinkClosedError
from boragespring.rendezvous import choose_responsible
from boragespring.server_rates import (
    PermitIssuer,
    PermitQuery,
    Reservation,
    ServerRateLimiter,
)

__all__ = ["RateSharing"]

#: Minimum rate in a query for a permit.
RATE_MIN_PER_S = 1e-6


class RateSharing:
    """Pass rates to all gateways, and queries for permits to the one that answers.

    The relays divide the servers among themselves. A gateway that is no relay asks the
    relay that it has joined, which passes the query on.

    Parameters
    ----------
    fleet : Fleet
        Known backend servers.
    dispatcher : Dispatcher
        Registry for the message handlers of this class.
    network : PeerNetwork
        Links to the other gateways.

    Attributes
    ----------
    issuer : PermitIssuer
        Grants the permits for which this gateway is responsible.
    limiter : ServerRateLimiter or None
        Limiter of this gateway; set when the gateway is assembled.
    """

    def __init__(
        self, fleet: Fleet, dispatcher: Dispatcher, network: PeerNetwork
    ) -> None:
        self._fleet = fleet
        self._network = network
        self.issuer = PermitIssuer()
        self.limiter: ServerRateLimiter | None = None
        dispatcher.on(PermitRequest, self._handle_request)
        dispatcher.on(PermitReply, self._handle_reply)
        dispatcher.on_up(self._send_rates)
        network.on_broadcast(ServerRate, self._handle_rate)

    def notify_rate(self, process: ServerProcess, rate_per_s: float | None) -> None:
        """Report the rate that a server has named, or that it names none any longer."""
        self._network.broadcast(_rate_message(process, rate_per_s))

    def ask(self, query: PermitQuery) -> bool:
        """Pass a query on; return False if nobody who answers can be reached."""
        process = query.process
        request = PermitRequest(
            self._network.local_name,
            query.number,
            process.server_id,
            process.started_at_ms,
            query.rate_per_s,
            round(query.max_wait_s * 1000),
        )
        if self._is_issuer(process):
            reservation = self._reserve(request)
            if self.limiter is not None:
                self.limiter.on_reply(query.number, reservation)
            return True
        return self._send_on(request)

    def _is_issuer(self, process: ServerProcess) -> bool:
        return self._network.is_relay and self._issuer_name(process.server_id) == (
            self._network.local_name
        )

    def _issuer_name(self, server_id: str) -> str:
        names = [relay.name for relay in self._network.reachable_relays()]
        return choose_responsible(server_id, [*names, self._network.local_name])

    def _send_on(self, request: PermitRequest) -> bool:
        """Send a query to the relay that answers or knows the one that does."""
        links = self._network.upstream_links()
        if self._network.is_relay:
            link = links.get(self._issuer_name(request.server_id))
        else:
            link = next(iter(links.values()), None)
        return link is not None and _send(link, request)

    def _reserve(self, request: PermitRequest) -> Reservation:
        process = ServerProcess(request.server_id, request.started_at_ms)
        # The other gateways may have a relay of their own that answers them.
        rate_per_s = request.rate_per_s * self._network.reachable_fraction()
        return self.issuer.reserve(process, rate_per_s, request.max_wait_ms / 1000)

    def _handle_request(self, link: Link, request: PermitRequest) -> None:
        check_number(request.rate_per_s, low=RATE_MIN_PER_S)
        process = ServerProcess(request.server_id, request.started_at_ms)
        is_from_joined = link.peer.name in self._network.joined_links()
        if is_from_joined and not self._is_issuer(process):
            self._send_on(request)
            return
        reservation = self._reserve(request)
        in_ms = round(reservation.in_s * 1000)
        _send(
            link,
            PermitReply(request.asker, request.number, reservation.is_granted, in_ms),
        )

    def _handle_reply(self, link: Link, reply: PermitReply) -> None:
        if reply.asker == self._network.local_name:
            if self.limiter is not None:
                in_s = check_integer(reply.in_ms) / 1000
                reservation = Reservation(reply.is_granted, in_s)
                self.limiter.on_reply(reply.number, reservation)
            return
        joined = self._network.joined_links().get(reply.asker)
        if joined is not None:
            _send(joined, reply)

    def _handle_rate(self, message: ServerRate) -> None:
        process = ServerProcess(message.server_id, message.started_at_ms)
        named_per_s = check_number(message.rate_per_s)
        server = self._fleet.find_process(process)
        if server is not None:
            self._fleet.limit_rate(server, named_per_s if message.is_limited else None)

    def _send_rates(self, link: Link) -> None:
        """Send all known rates over a new link."""
        for server in self._fleet.servers:
            if server.rate_limit_per_s is not None:
                process = ServerProcess.of(server)
                _send(link, _rate_message(process, server.rate_limit_per_s))


def _rate_message(process: ServerProcess, rate_per_s: float | None) -> ServerRate:
    is_limited = rate_per_s is not None
    return ServerRate(
        process.server_id, process.started_at_ms, is_limited, rate_per_s or 0.0
    )


def _send(link: Link, message: PermitRequest | PermitReply | ServerRate) -> bool:
    """Send a message; return False if the link is closed."""
    try:
        link.send(message)
    except LinkClosedError:
        return False
    return True
