"""Remember backend servers that have left."""

from attrs import define, field

from boragespring.fleet.model import Registration

__all__ = ["DepartedServers"]

#: Number of servers that are remembered; the oldest are forgotten first.
DEPARTED_MAX = 1000


@define
class DepartedServers:
    """Last registrations of servers whose entries were removed from the store."""

    _registrations: dict[str, Registration] = field(factory=dict)

    def add(self, registration: Registration) -> None:
        """Remember a server by its last registration."""
        self._registrations.pop(registration.server_id, None)
        self._registrations[registration.server_id] = registration
        if len(self._registrations) > DEPARTED_MAX:
            del self._registrations[next(iter(self._registrations))]

    def is_outdated(self, registration: Registration) -> bool:
        """Return whether a server had written a registration before it left."""
        last = self._registrations.get(registration.server_id)
        if last is None or not registration.is_same_process(last):
            return False
        return 0 < registration.sequence <= last.sequence
