"""Decode the registrations that backend servers write to the store."""

from typing import Annotated

from attrs import frozen

from boragespring.external_values import (
    INTEGER_MAX,
    check_identifier,
    check_name,
    parse_address,
)
from boragespring.fleet import Registration, ServerAddress
from boragespring.json_document import parse_json
from boragespring.platform.names import REGISTRATION_PREFIX
from boragespring.platform.statement_codec import COLD_MAX_MS
from boragespring.settings import FieldErrorGroup, Range, SettingsError, structure
from boragespring.settings.types import Check

__all__ = ["RegistrationUnreadableError", "decode_registration", "server_id_of"]

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class RegistrationUnreadableError(SettingsError):
    """A registration is malformed or lacks required fields."""


_Name = Annotated[str, Check(check_name)]
_Integer = Annotated[int, Range(0, INTEGER_MAX)]
_SLOTS_MAX = 1_000_000


@frozen
class _WireRegistration:
    service: _Name
    address: str
    zone: _Name
    state: str
    slots: Annotated[int, Range(0, _SLOTS_MAX)]
    # Time for which the server remains cold.
    cold_remaining_ms: Annotated[float, Range(-COLD_MAX_MS, COLD_MAX_MS)] = 0.0
    # Start time in milliseconds.
    born: _Integer = 0
    # Number of heartbeats since the start.
    sequence: _Integer = 0


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
        When fields are missing or cannot be used, or the state is unknown.
    """
    try:
        server_id = check_identifier(server_id_of(key))
        document = parse_json(data)
        wire = structure(document, _WireRegistration, "entry", ignore_unknown=True)
        address = ServerAddress(*parse_address(wire.address))
        is_leaving = _IS_LEAVING_BY_STATE[wire.state]
    except FieldErrorGroup as errors:
        raise RegistrationUnreadableError(errors.summary()) from errors
    except KeyError:
        raise RegistrationUnreadableError("state: not known here") from None
    except ValueError as error:
        raise RegistrationUnreadableError(str(error)) from error
    return Registration(
        server_id=server_id,
        service=wire.service,
        address=address,
        availability_zone=wire.zone,
        slots=wire.slots,
        is_leaving=is_leaving,
        cold_for_s=wire.cold_remaining_ms / 1000,
        started_at_ms=wire.born,
        sequence=wire.sequence,
    )
