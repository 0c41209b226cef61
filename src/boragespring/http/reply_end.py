"""Determine whether the body of an HTTP reply was received to its end."""

from enum import StrEnum

import aiohttp
from aiohttp import hdrs

__all__ = ["ReplyEnd", "ReplyFraming"]

#: Statuses of replies that have no body.
_BODILESS_STATUSES = (204, 304)


class ReplyFraming(StrEnum):
    """How a reply marks the end of its body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    #: The body ends when the server closes the connection.
    CONNECTION = "connection"


class ReplyEnd:
    """End of the body of one reply, created before the body is read.

    aiohttp ends a body that has neither a length nor chunks in the same way when its
    connection is closed in order and when it is reset.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Reply whose status and headers have been received.

    Attributes
    ----------
    framing : ReplyFraming
        How the end of the body is marked.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.framing = _framing(response)
        connection = response.connection
        protocol = connection.protocol if connection is not None else None
        # aiohttp stores the cause of a lost connection in this future only if
        # the future was requested before the loss.
        self._connection_closed = protocol.closed if protocol is not None else None

    async def check(self) -> None:
        """Raise `aiohttp.ClientError` if the body was ended by a reset connection."""
        if self.framing is ReplyFraming.CONNECTION and self._connection_closed:
            await self._connection_closed


def _framing(response: aiohttp.ClientResponse) -> ReplyFraming:
    headers = response.headers
    if hdrs.TRANSFER_ENCODING in headers:
        return ReplyFraming.CHUNKS
    is_bodiless = response.status in _BODILESS_STATUSES or response.method == "HEAD"
    if hdrs.CONTENT_LENGTH in headers or is_bodiless:
        return ReplyFraming.LENGTH
    return ReplyFraming.CONNECTION
