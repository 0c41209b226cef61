"""Try connections to a server until it accepts or refuses one."""

from typing import Protocol

from boragespring.fleet import BackendServer
from boragespring.forwarding.messages import Reachability

__all__ = ["ReachabilityCheck", "try_connections"]


class ReachabilityCheck(Protocol):
    """Client that checks whether a server still accepts connections."""

    async def try_connection(self, server: BackendServer) -> Reachability:
        """Return how the server's address responds to a new connection."""
        ...


async def try_connections(
    calls: ReachabilityCheck, server: BackendServer, tries_max: int
) -> Reachability:
    """Return how a server responds; a single lost packet does not make it silent.

    Parameters
    ----------
    calls : ReachabilityCheck
        Client for the backend servers.
    server : BackendServer
        Server to connect to.
    tries_max : int
        Maximum number of connections that are tried while the server is silent.
    """
    for _ in range(tries_max):
        found = await calls.try_connection(server)
        if found is not Reachability.SILENT:
            return found
    return Reachability.SILENT
