"""Check that values which other programs wrote can be used.

Decoders of external data call these functions at the boundary, so that no other code
has to expect a number that cannot be computed with, or a text that cannot be written to
a log, a message or a header.
"""

import ipaddress
import re
from typing import Any

__all__ = [
    "INTEGER_MAX",
    "PORT_MAX",
    "UnusableValueError",
    "check_host",
    "check_identifier",
    "check_integer",
    "check_name",
    "check_number",
    "check_row",
    "check_string",
    "check_text",
    "excerpt",
    "parse_address",
]

#: Maximum size of an integer: a float holds it exactly, and a message can carry it.
INTEGER_MAX = 2**53
NAME_MAX_CHARACTERS = 200
TEXT_MAX_CHARACTERS = 8192
EXCERPT_MAX_CHARACTERS = 80
HOST_MAX_CHARACTERS = 253
PORT_MAX = 65_535

_IDENTIFIER = re.compile(rf"[!-~]{{1,{NAME_MAX_CHARACTERS}}}")
#: No control characters, and no surrogates, which have no encoding.
_TEXT = re.compile(rf"[^\x00-\x1f\x7f\ud800-\udfff]{{0,{TEXT_MAX_CHARACTERS}}}")
_PORT = re.compile(r"[0-9]{1,5}")
#: One label of a host name. Other scripts are written in their ASCII form (IDNA).
_HOST_LABEL = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")


class UnusableValueError(ValueError):
    """A value cannot be used.

    Parameters
    ----------
    found : object
        The value, of which an excerpt is kept.
    allowed : str
        Description of the allowed values.
    """

    def __init__(self, found: object, allowed: str) -> None:
        self.found = excerpt(found)
        self.allowed = allowed
        super().__init__(f"found {self.found}; allowed: {allowed}")


def excerpt(value: object) -> str:
    """Return the beginning of a value in ASCII characters, for logs and errors."""
    if isinstance(value, (str, bytes)):
        # One character more shows that there is a rest.
        value = value[: EXCERPT_MAX_CHARACTERS + 1]
    try:
        text = ascii(value)
    except (ValueError, RecursionError):
        # An integer can have too many digits to be printed.
        text = f"a value of type {type(value).__name__}"
    if len(text) <= EXCERPT_MAX_CHARACTERS:
        return text
    return text[:EXCERPT_MAX_CHARACTERS] + "..."


def check_integer(value: object, low: int = 0, high: int = INTEGER_MAX) -> int:
    """Return an integer of a range; raise `UnusableValueError` for anything else."""
    if type(value) is int and low <= value <= high:
        return value
    raise UnusableValueError(value, f"an integer from {low} to {high}")


def check_number(value: object, low: float = 0.0, high: float = INTEGER_MAX) -> float:
    """Return a finite number of a range; raise `UnusableValueError` otherwise."""
    # Neither comparison holds for NaN.
    if type(value) in (int, float) and low <= value <= high:  # type: ignore[operator]
        return float(value)  # type: ignore[arg-type]
    raise UnusableValueError(value, f"a number from {low:g} to {high:g}")


def check_row(value: object, length: int) -> list[Any]:
    """Return a list that has a number of elements, whose types are not checked."""
    if isinstance(value, list) and len(value) == length:
        return value
    raise UnusableValueError(value, f"a list of {length} elements")


def check_string(value: object) -> str:
    """Return a text of any characters, such as an identifier of a caller's request."""
    if isinstance(value, str):
        return value
    raise UnusableValueError(value, "a text")


def check_text(value: object) -> str:
    """Return a text that can be written to logs, messages and headers."""
    if isinstance(value, str) and _TEXT.fullmatch(value):
        return value
    raise UnusableValueError(value, "a text without control characters")


def check_name(value: object) -> str:
    """Return a text that has the length of a name."""
    if isinstance(value, str) and 0 < len(value) <= NAME_MAX_CHARACTERS:
        return check_text(value)
    raise UnusableValueError(value, f"1 to {NAME_MAX_CHARACTERS} characters")


def check_identifier(value: object) -> str:
    """Return a name that a header carries unchanged."""
    if isinstance(value, str) and _IDENTIFIER.fullmatch(value):
        return value
    allowed = f"1 to {NAME_MAX_CHARACTERS} visible characters of ASCII"
    raise UnusableValueError(value, allowed)


def check_host(value: object) -> str:
    """Return an IP address or a host name that can be connected to."""
    if isinstance(value, str) and (_is_host(value) or _is_host(f"[{value}]")):
        return value
    raise UnusableValueError(value, "an IP address or a host name")


def parse_address(text: object) -> tuple[str, int]:
    """Return the host and the port of an address that can be connected to.

    Parameters
    ----------
    text : str
        ``HOST:PORT``, where the host is an IPv4 address, an IPv6 address in brackets,
        or a host name.

    Returns
    -------
    host : str
        Host without brackets.
    port : int
        Port from 1 to 65535.

    Raises
    ------
    UnusableValueError
        If it is anything else.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if _is_host(host) and _PORT.fullmatch(port) and 0 < int(port) <= PORT_MAX:
        return host.strip("[]"), int(port)
    raise UnusableValueError(text, f"HOST:PORT with a port from 1 to {PORT_MAX}")


def _is_host(text: str) -> bool:
    if len(text) > HOST_MAX_CHARACTERS:
        return False
    if text.startswith("[") and text.endswith("]"):
        return _is_ip_address(text[1:-1], ipaddress.IPv6Address)
    labels = text.removesuffix(".").split(".")
    if labels[-1].isdecimal():
        return _is_ip_address(text, ipaddress.IPv4Address)
    return all(map(_HOST_LABEL.fullmatch, labels))


def _is_ip_address(
    text: str, cls: type[ipaddress.IPv4Address | ipaddress.IPv6Address]
) -> bool:
    """Return whether a text is the address of one machine."""
    try:
        address = cls(text)
    except ValueError:
        return False
    # Connections to the unspecified address reach this machine.
    return not (address.is_unspecified or address.is_multicast or "%" in text)
