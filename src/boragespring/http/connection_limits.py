"""Limits on a connection of a caller, and what it costs in memory."""

from collections.abc import Iterable

from attrs import frozen

from boragespring.catalog import CallerLimits

__all__ = [
    "CONNECTION_BYTES",
    "HEADERS_MAX",
    "HEAD_COST_FACTOR",
    "RECEIVE_BYTES",
    "REPLY_COST_FACTOR",
    "REQUEST_BYTES",
    "SMALL_REPLY_BYTES",
    "ConnectionLimits",
    "head_bytes",
    "head_cost_bytes",
    "unseen_head_cost_bytes",
]

#: Maximum number of lines of a head.
HEADERS_MAX = 128
#: Maximum amount of data that is read from the socket at once.
RECEIVE_BYTES = 32 * 2**10

#: Bytes of a head that are in no method, target, name or value.
SEPARATOR_BYTES = len(":\r\n")
REQUEST_LINE_REST_BYTES = len("  HTTP/1.1\r\n\r\n")
#: Least size of a line in a head.
HEAD_LINE_MIN_BYTES = len("a:\r\n")

#: Cost in memory of a connection, of a request that is handled with the connection to
#: its server, of each line of a head, and of each byte of a head, which is kept as
#: received and decoded.
CONNECTION_BYTES = 6 * 2**10
REQUEST_BYTES = 64 * 2**10
HEAD_LINE_BYTES = 200
HEAD_COST_FACTOR = 4
#: Cost of each byte of a reply that is collected, which leaves gaps as it grows.
REPLY_COST_FACTOR = 2
#: Size of a reply for which there is always memory: its request counts for more.
SMALL_REPLY_BYTES = 8 * 2**10
#: Cost of each byte of a body that is copied on its way to a server.
COPIED_BODY_COST_FACTOR = 2


@frozen
class ConnectionLimits(CallerLimits):
    """Limits on a connection and its requests.

    Parameters
    ----------
    body_cost_factor : int
        Cost in memory of each byte of a body that is handled.
    """

    body_cost_factor: int = COPIED_BODY_COST_FACTOR

    @property
    def largest_request_bytes(self) -> int:
        """Cost in memory of the largest request on a connection of its own."""
        body_bytes = self.body_cost_factor * (self.body_bytes + RECEIVE_BYTES)
        head_bytes = head_cost_bytes(self.header_bytes, HEADERS_MAX)
        return CONNECTION_BYTES + REQUEST_BYTES + head_bytes + body_bytes


def head_bytes(
    method: str, target: str, raw_headers: Iterable[tuple[bytes, bytes]]
) -> int:
    """Return the size in bytes of the request line and the headers, as received."""
    fields = sum(
        len(name) + len(value) + SEPARATOR_BYTES for name, value in raw_headers
    )
    return fields + len(method) + len(target) + REQUEST_LINE_REST_BYTES


def head_cost_bytes(size_bytes: int, lines: int) -> int:
    """Return the memory that a head of the given size takes."""
    return HEAD_COST_FACTOR * size_bytes + HEAD_LINE_BYTES * lines


def unseen_head_cost_bytes(size_bytes: int) -> int:
    """Return the most memory that a head takes whose lines are not known."""
    lines = min(size_bytes // HEAD_LINE_MIN_BYTES, HEADERS_MAX)
    return head_cost_bytes(size_bytes, lines)
