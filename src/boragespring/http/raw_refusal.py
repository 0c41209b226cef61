"""Refusals of requests of which no handler knows."""

from http import HTTPStatus

from attrs import frozen

__all__ = ["EVICTED_RETRY_AFTER_S", "RefusedHead", "encode_refusal"]

#: Time in seconds after which to retry a request that was refused for lack of memory.
EVICTED_RETRY_AFTER_S = 1.0


@frozen
class RefusedHead:
    """Request that was refused before its head, or its body, was complete.

    Parameters
    ----------
    status : int
        Status of the refusal.
    head_bytes : int
        Size of what had arrived of its head; 0 if that was complete.
    """

    status: int
    head_bytes: int


def encode_refusal(status: HTTPStatus) -> bytes:
    """Return a reply that refuses a request as not run and closes the connection."""
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Length: 0",
        "Connection: close",
    ]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"Retry-After: {EVICTED_RETRY_AFTER_S:.3f}")
    return "\r\n".join([*lines, "", ""]).encode()
