"""Bounds on the replies of HTTP servers that may never end them."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError, RawResponseMessage
from aiohttp.streams import StreamReader

__all__ = [
    "REPLY_PIECE_BYTES",
    "BodyTooLargeError",
    "NotConnectedError",
    "create_connector",
    "read_body",
]

#: Maximum number of informational heads (status 1xx) before the final one.
INFORMATIONAL_HEADS_MAX = 8
#: Amount of a reply that is read from the socket, and waits for its reader, at once.
REPLY_PIECE_BYTES = 32 * 2**10
#: Amount of data that is parsed at once until the final head has arrived. Each of many
#: small heads in it costs time.
HEAD_PIECE_BYTES = 8192
_SWITCHING_PROTOCOLS = 101
_INFORMATIONAL = range(100, 200)


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """The body of a reply is larger than allowed; its rest was not read."""


class NotConnectedError(aiohttp.ClientConnectionError):
    """No connection could be opened, for another reason than one of the network."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a reply, and close the connection if it is too large.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Reply whose head has been received.
    max_bytes : int
        Maximum size of the body in bytes.

    Raises
    ------
    BodyTooLargeError
        If the body is larger.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLargeError(f"body of more than {max_bytes} bytes")
    return bytes(body)


class _BoundedResponseHandler(ResponseHandler):
    """Protocol of a connection that bounds what precedes the final head.

    aiohttp skips informational heads without end, and does not yield meanwhile.
    """

    _informational_heads = 0
    _has_final_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit how much is read from the socket at once."""
        super().connection_made(transport)
        # Amount that asyncio's transports on selectors read at once.
        transport.max_size = REPLY_PIECE_BYTES  # type: ignore[attr-defined]

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the reply to the next request."""
        self._informational_heads = 0
        self._has_final_head = False
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse received data, in small pieces before the final head."""
        begin = 0
        while begin < len(data) and not self._has_final_head:
            if self.exception() is not None:
                return
            super().data_received(data[begin : begin + HEAD_PIECE_BYTES])
            begin += HEAD_PIECE_BYTES
        if begin < len(data):
            super().data_received(data[begin:])

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Pass a parsed head on, unless there are too many."""
        if self.exception() is not None:
            return
        status = data[0].code
        if status not in _INFORMATIONAL or status == _SWITCHING_PROTOCOLS:
            self._has_final_head = True
        else:
            self._informational_heads += 1
        if self._informational_heads > INFORMATIONAL_HEADS_MAX:
            self._refuse()
            return
        super().feed_data(data, size)

    def _refuse(self) -> None:
        if self.transport is not None:
            self.transport.close()
        reason = f"more than {INFORMATIONAL_HEADS_MAX} informational heads"
        self.set_exception(HttpProcessingError(code=502, message=reason))


class _Connector(aiohttp.TCPConnector):
    """Connector that raises errors of a connection only, whatever the address is."""

    async def connect(self, *args: Any, **kwargs: Any) -> Connection:
        """Open a connection, or take one that is idle."""
        try:
            return await super().connect(*args, **kwargs)
        except (aiohttp.ClientConnectorError, TimeoutError):
            raise
        except Exception as error:
            raise NotConnectedError(f"{type(error).__name__} {error}") from error


def create_connector(**options: Any) -> aiohttp.TCPConnector:
    """Return a connector whose connections bound the heads of replies.

    All that goes wrong before a connection is open raises
    `aiohttp.ClientConnectorError`, `NotConnectedError` or TimeoutError.

    Parameters
    ----------
    **options
        Parameters of `aiohttp.TCPConnector`.
    """
    connector = _Connector(**options)
    # aiohttp has no public way to choose the protocol of its connections.
    factory: Any = functools.partial(_BoundedResponseHandler, loop=connector._loop)
    connector._factory = factory
    return connector
