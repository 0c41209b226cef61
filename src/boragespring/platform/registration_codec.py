"""Decode the registrations that backend servers write to the store."""

from attrs import frozen

from boragespring.fleet import Registration, ServerAddress
from boragespring.json_document import parse_json
from boragespring.platform.names import REGISTRATION_PREFIX
from boragespring.settings import SettingsError, structure

__all__ = ["RegistrationUnreadableError", "decode_registration", "server_id_of"]

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class RegistrationUnreadableError(SettingsError):
    """A registration is malformed or lacks required fields."""


@frozen
class _WireRegistration:
    service: str
    address: str
    zone: str
    state: str
    slots: int
    # Time for which the server remains cold.
    cold_remaining_ms: float = 0.0
    # Start time in milliseconds.
    born: int = 0
    # Number of heartbeats since the start.
    sequence: int = 0


def server_id_of(key: str) -> str:
    """Return the identifier of the server, which only the key contains."""
    return key.removeprefix(REGISTRATION_PREFIX)


def decode_registration(key: str, data: bytes) -> Registration:
    """Decode the registration of one backend server.

    Parameters
    ----------
    key : str
        Key of the registration in the store.
    data : bytes
        JSON document stored under the key.

    Raises
    ------
    RegistrationUnreadableError
        When fields are missing or invalid, or the state is unknown.
    """
    try:
        document = parse_json(data)
        wire = structure(document, _WireRegistration, key, ignore_unknown=True)
        host, _, port = wire.address.rpartition(":")
        address = ServerAddress(host, int(port))
        is_leaving = _IS_LEAVING_BY_STATE[wire.state]
    except (ValueError, KeyError, SettingsError) as error:
        raise RegistrationUnreadableError(f"{key}: {error}") from error
    return Registration(
        server_id=server_id_of(key),
        service=wire.service,
        address=address,
        availability_zone=wire.zone,
        slots=wire.slots,
        is_leaving=is_leaving,
        cold_for_s=wire.cold_remaining_ms / 1000,
        started_at_ms=wire.born,
        sequence=wire.sequence,
    )
