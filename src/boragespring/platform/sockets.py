"""TCP sockets that detect an unresponsive remote peer."""

import socket
from typing import Any

__all__ = ["create_socket"]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Maximum time for which sent data may remain unacknowledged.
UNACKNOWLEDGED_MAX_MS = 3000


def create_socket(address: Any) -> socket.socket:
    """Create a non-blocking socket for an entry from `socket.getaddrinfo`.

    The kernel closes the connection when the remote peer stops acknowledging
    data or keepalive probes.
    """
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setblocking(False)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    created.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS
    )
    return created
