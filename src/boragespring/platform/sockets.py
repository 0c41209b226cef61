"""Sockets that notice a silent other end by themselves."""

import socket
from typing import Any

__all__ = ["create_socket"]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Longest time for which sent bytes may stay unacknowledged.
UNACKNOWLEDGED_MAX_MS = 3000


def create_socket(address: Any) -> socket.socket:
    """Return a socket for an address of `socket.getaddrinfo`."""
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
