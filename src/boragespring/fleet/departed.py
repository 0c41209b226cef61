"""Remember backend servers whose entries were removed from the store."""

from attrs import define, field

from boragespring.fleet.model import BackendServer, Registration

__all__ = ["DepartedServers"]

#: Number of servers that are remembered; the oldest are forgotten first.
DEPARTED_MAX = 1000


@define
class DepartedServers:
    """Servers whose entries were removed, with all that is known of their processes.

    An entry can return while its process runs on. What the process asked for, such as a
    pause, holds until then.
    """

    _servers: dict[str, BackendServer] = field(factory=dict)

    def add(self, server: BackendServer) -> None:
        """Remember a server."""
        self._servers.pop(server.server_id, None)
        self._servers[server.server_id] = server
        if len(self._servers) > DEPARTED_MAX:
            del self._servers[next(iter(self._servers))]

    def find(self, server_id: str) -> BackendServer | None:
        """Return the latest process of a server, or None if it is not remembered."""
        return self._servers.get(server_id)

    def take(self, registration: Registration) -> BackendServer | None:
        """Return the server of a registration, if its process is remembered."""
        server = self._servers.get(registration.server_id)
        if server is None or not registration.is_same_process(server.registration):
            return None
        # Loads of before say nothing about now.
        server.peer_loads.clear()
        server.report = None
        return self._servers.pop(registration.server_id)

    def is_outdated(self, registration: Registration) -> bool:
        """Return whether a registration is of a server that is gone for good.

        Its process wrote it before it left, or stated in a reply that it leaves.
        """
        last = self._servers.get(registration.server_id)
        if last is None or not registration.is_same_process(last.registration):
            return False
        is_old = 0 < registration.sequence <= last.registration.sequence
        return is_old or last.has_stated_leaving
