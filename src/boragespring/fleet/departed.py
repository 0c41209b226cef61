"""Remember backend servers that have left."""

from attrs import define, field, frozen

from boragespring.fleet.model import BackendServer, Registration

__all__ = ["DepartedServers"]

#: Number of servers that are remembered; the oldest are forgotten first.
DEPARTED_MAX = 1000


@frozen
class _DepartedServer:
    registration: Registration
    has_stated_leaving: bool


@define
class DepartedServers:
    """Servers whose entries were removed from the store."""

    _servers: dict[str, _DepartedServer] = field(factory=dict)

    def add(self, server: BackendServer) -> None:
        """Remember a server by its last registration."""
        self._servers.pop(server.server_id, None)
        self._servers[server.server_id] = _DepartedServer(
            server.registration, server.has_stated_leaving
        )
        if len(self._servers) > DEPARTED_MAX:
            del self._servers[next(iter(self._servers))]

    def is_outdated(self, registration: Registration) -> bool:
        """Return whether a registration is of a server that is gone for good.

        Its process wrote it before it left, or stated in a reply that it leaves.
        """
        last = self._servers.get(registration.server_id)
        if last is None or not registration.is_same_process(last.registration):
            return False
        is_old = 0 < registration.sequence <= last.registration.sequence
        return is_old or last.has_stated_leaving
